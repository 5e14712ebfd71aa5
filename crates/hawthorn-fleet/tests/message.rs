//! Datagrams: encoding round trips, and invalid datagrams are rejected.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use hawthorn_fleet::FleetAction;
use hawthorn_fleet::FleetMessage;
use hawthorn_fleet::MemberDigest;
use hawthorn_fleet::MemberHealth;
use hawthorn_fleet::MemberId;
use hawthorn_fleet::MemberPhase;
use hawthorn_fleet::MemberPlace;
use hawthorn_fleet::MemberStamp;
use hawthorn_fleet::MemberTable;
use hawthorn_fleet::member::Options;
use hawthorn_fleet::message;
use hawthorn_fleet::message::DATAGRAM_LIMIT;
use hawthorn_fleet::message::DatagramWriter;
use hawthorn_fleet::message::FleetBody;
use hawthorn_fleet::message::MESSAGE_FORMAT;
use hawthorn_fleet::message::MemberUpdate;
use hawthorn_fleet::message::NAME_LIMIT;
use hawthorn_fleet::message::SenderHeader;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

type TestResult = Result<(), Box<dyn Error>>;

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn message(body: FleetBody) -> FleetMessage {
    FleetMessage {
        format: MESSAGE_FORMAT,
        fleet: 0,
        sender: SenderHeader {
            id: MemberId::of("host-a"),
            stamp: MemberStamp { incarnation: 1_700_000_000_000, sequence: 3 },
            phase: MemberPhase::Serving,
            digest: MemberDigest::default(),
            fingerprint: 7,
        },
        body,
        zones: Default::default(),
    }
}

fn update(host: &str) -> Result<MemberUpdate, Box<dyn Error>> {
    Ok(MemberUpdate {
        id: MemberId::of(host),
        stamp: MemberStamp { incarnation: 1_700_000_000_000, sequence: 1 },
        phase: MemberPhase::Serving,
        health: MemberHealth::Alive,
        place: Some(MemberPlace {
            host: host.to_owned(),
            zone: "kurasini".to_owned(),
            peer: "10.0.0.1:7000".parse()?,
            capacity: 0,
        }),
    })
}

#[test]
fn datagrams_round_trip_within_the_limit() -> TestResult {
    let message = message(FleetBody::Ping { number: 9 });
    let mut writer = DatagramWriter::new(&message);
    let mut pushed = Vec::new();
    for number in 0..100 {
        let update = update(&format!("host-{number}"))?;
        if writer.push(&update, usize::MAX) {
            pushed.push(update);
        }
    }
    let bytes = writer.finish();
    assert!(bytes.len() <= DATAGRAM_LIMIT && pushed.len() > 20, "{} bytes", bytes.len());
    assert_eq!(message::decode(&bytes)?, (message, pushed));
    Ok(())
}

#[test]
fn invalid_datagrams_are_rejected() -> TestResult {
    let mut other_format = message(FleetBody::Gossip);
    other_format.format += 1;
    let mut bad_name = DatagramWriter::new(&message(FleetBody::Gossip));
    bad_name.push(&MemberUpdate { id: MemberId(5), ..update("host-a")? }, usize::MAX);
    let mut long_name = DatagramWriter::new(&message(FleetBody::Gossip));
    long_name.push(&update(&"h".repeat(NAME_LIMIT + 1))?, usize::MAX);
    let rejection = |bytes: &[u8]| message::decode(bytes).err();
    let format = rejection(&DatagramWriter::new(&other_format).finish());
    assert_eq!(format, Some(message::Error::OtherFormat(MESSAGE_FORMAT + 1)));
    assert_eq!(rejection(&bad_name.finish()), Some(message::Error::BadName));
    assert_eq!(rejection(&long_name.finish()), Some(message::Error::BadName));
    let long = vec![0; DATAGRAM_LIMIT + 1];
    assert_eq!(rejection(&long), Some(message::Error::TooLong(DATAGRAM_LIMIT + 1)));
    Ok(())
}

/// Guards against a daemon that panics on random bytes or a corrupted message.
#[test]
fn random_bytes_never_panic_and_change_no_member() -> TestResult {
    let from: SocketAddr = "10.0.0.9:7000".parse()?;
    let place = update("host-b")?.place.ok_or("a place")?;
    let valid = DatagramWriter::new(&message(FleetBody::SyncRequest { after: 0 })).finish();
    let bytes = prop_oneof![
        proptest::collection::vec(any::<u8>(), 0..1_500),
        (0..valid.len(), any::<u8>()).prop_map(move |(at, value)| {
            let mut bytes = valid.clone();
            bytes[at] = value;
            bytes
        }),
    ];
    runner(2_000).run(&bytes, |bytes| {
        let mut table = MemberTable::new(place.clone(), 5, Options::default(), 1);
        let _rejected = table.receive(Duration::from_secs(1), from, &bytes);
        prop_assert_eq!(table.records().count(), 1);
        while let Some(action) = table.poll_action() {
            if let FleetAction::Send { bytes, .. } = action {
                prop_assert!(bytes.len() <= DATAGRAM_LIMIT);
            }
        }
        Ok(())
    })?;
    Ok(())
}
