//! Confirmations of a host's mirror, over chains of hosts without sockets.

use std::time::Duration;

use hawthorn_route::confirmation::ConfirmationPlan;
use hawthorn_route::confirmation::KeyChange;
use hawthorn_route::confirmation::KeyChangeReport;
use hawthorn_route::confirmation::PeerAge;
use hawthorn_route::confirmation::StoreConfirmation;
use hawthorn_route::revision::StoreRevision;
use proptest::prelude::any;
use proptest::proptest;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// One host that passes a confirmation on. Times are in milliseconds.
#[derive(Clone, Copy, Debug)]
struct ChainHop {
    /// The receiver's clock at time zero.
    clock_offset: u64,
    /// Time between the source's confirmation and the sending of the request.
    idle: u64,
    request_delay: u64,
    /// Time for which the source holds the request, including suspension.
    held: u64,
    /// Time in which the reply travels, or in which a suspended receiver does not read it.
    reply_delay: u64,
}

/// The true time of a confirmation after each hop, for a state that the store confirmed at
/// `confirmed`; each host only reads its own clock.
fn pass_on(confirmed: u64, first_offset: u64, hops: &[ChainHop]) -> Vec<u64> {
    let (mut now, mut offset, mut at) = (confirmed, first_offset, ms(confirmed + first_offset));
    let pass = |hop: &ChainHop| {
        let sent = now + hop.idle;
        let received = sent + hop.request_delay;
        let replied = received + hop.held;
        let age = PeerAge { age: ms(replied + offset) - at, held: ms(replied - received) };
        (now, offset) = (replied + hop.reply_delay, hop.clock_offset);
        at = age.confirmed_at(ms(sent + offset)).expect("all ages are below the offsets");
        at.as_millis() as u64 - offset
    };
    hops.iter().map(pass).collect()
}

/// Guards against data that appears new because a reply was delayed: the age counted from the
/// receipt of the reply.
#[test]
fn a_delayed_reply_does_not_make_a_state_newer() {
    struct Case {
        name: &'static str,
        hops: &'static [ChainHop],
        /// True times of the confirmation after each hop.
        expected: &'static [u64],
    }
    const PROMPT: ChainHop =
        ChainHop { clock_offset: 700_000, idle: 0, request_delay: 0, held: 0, reply_delay: 0 };
    let cases = [
        Case { name: "prompt", hops: &[PROMPT], expected: &[1000] },
        Case { name: "long poll", hops: &[ChainHop { held: 900, ..PROMPT }], expected: &[1000] },
        Case {
            name: "delayed reply",
            hops: &[ChainHop { reply_delay: 60_000, ..PROMPT }],
            expected: &[1000],
        },
        Case {
            name: "delayed request, which makes the state appear older",
            hops: &[ChainHop { request_delay: 40, ..PROMPT }],
            expected: &[960],
        },
        Case {
            name: "delays at two hops",
            hops: &[
                ChainHop { request_delay: 5, reply_delay: 3000, ..PROMPT },
                ChainHop { clock_offset: 900_000, request_delay: 7, reply_delay: 9000, ..PROMPT },
            ],
            expected: &[995, 988],
        },
    ];
    for case in &cases {
        assert_eq!(pass_on(1000, 500_000, case.hops), case.expected, "{}", case.name);
    }
}

proptest! {
    /// Guards against any order of delays, suspensions and clock offsets at which a state appears
    /// newer than its confirmation.
    #[test]
    fn no_chain_makes_a_state_newer(
        first_offset in 1_000_000u64..9_000_000,
        delays in proptest::collection::vec(any::<[u16; 4]>(), 1..8),
        offsets in proptest::collection::vec(1_000_000u64..9_000_000, 8),
    ) {
        let hops: Vec<ChainHop> = delays
            .iter()
            .zip(&offsets)
            .map(|([idle, request, held, reply], clock_offset)| ChainHop {
                clock_offset: *clock_offset,
                idle: u64::from(*idle),
                request_delay: u64::from(*request),
                held: u64::from(*held),
                reply_delay: u64::from(*reply),
            })
            .collect();
        let confirmed = 600_000;
        let mut expected = confirmed;
        for (hop, at) in hops.iter().zip(pass_on(confirmed, first_offset, &hops)) {
            expected -= hop.request_delay;
            proptest::prop_assert_eq!(at, expected);
        }
    }
}

/// Guards against a host whose mirror lacks a revocation and counts as current, because the store
/// answered it.
#[test]
fn a_confirmation_waits_for_the_mirror() {
    struct Step {
        /// Revision of the answer and when it was requested; `None` if only the mirror advances.
        answer: Option<(StoreRevision, u64)>,
        mirror: StoreRevision,
        confirmed: Option<u64>,
    }
    let at = StoreRevision::new;
    let steps = [
        Step { answer: Some((at(0, 5), 100)), mirror: at(0, 4), confirmed: None },
        Step { answer: Some((at(0, 4), 90)), mirror: at(0, 4), confirmed: Some(90) },
        Step { answer: Some((at(0, 7), 120)), mirror: at(0, 4), confirmed: Some(90) },
        Step { answer: None, mirror: at(0, 6), confirmed: Some(100) },
        // An earlier request answered late does not make the state older.
        Step { answer: Some((at(0, 6), 80)), mirror: at(0, 6), confirmed: Some(100) },
        // The store was restored; the mirror is still in the earlier era.
        Step { answer: Some((at(1, 2), 130)), mirror: at(0, 9), confirmed: Some(120) },
        Step { answer: None, mirror: at(1, 2), confirmed: Some(130) },
    ];
    let mut confirmation = StoreConfirmation::default();
    for (index, step) in steps.iter().enumerate() {
        match step.answer {
            Some((revision, sent)) => confirmation.record(revision, ms(sent), step.mirror),
            None => confirmation.advance(step.mirror),
        }
        assert_eq!(confirmation.confirmed_at(), step.confirmed.map(ms), "step {index}");
    }
}

/// Guards against unbounded memory on a host whose mirror no longer advances; the newest
/// confirmations are kept, as only they can still be recent when the mirror advances.
#[test]
fn pending_confirmations_are_bounded() {
    let mut confirmation = StoreConfirmation::default();
    for number in 1..=100 {
        let revision = StoreRevision::new(0, number);
        confirmation.record(revision, ms(number), StoreRevision::NONE);
    }
    confirmation.advance(StoreRevision::new(0, 50));
    assert_eq!(confirmation.confirmed_at(), None);
    confirmation.advance(StoreRevision::new(0, 100));
    assert_eq!(confirmation.confirmed_at(), Some(ms(100)));
}

/// Guards against a host that sends with an old key, and against one that refuses where keys need
/// not be revoked in time.
#[test]
fn keys_are_current_up_to_the_limit() {
    struct Case {
        within: Option<u64>,
        age: Option<u64>,
        is_current: bool,
        needs_refresh: bool,
    }
    let cases = [
        Case { within: None, age: None, is_current: true, needs_refresh: false },
        Case { within: None, age: Some(90_000), is_current: true, needs_refresh: false },
        Case { within: Some(5000), age: None, is_current: false, needs_refresh: true },
        Case { within: Some(5000), age: Some(2350), is_current: true, needs_refresh: false },
        Case { within: Some(5000), age: Some(2351), is_current: true, needs_refresh: true },
        Case { within: Some(5000), age: Some(4699), is_current: true, needs_refresh: true },
        Case { within: Some(5000), age: Some(4700), is_current: false, needs_refresh: true },
    ];
    for case in &cases {
        let (within, age) = (case.within.map(ms), case.age.map(ms));
        let plan = ConfirmationPlan::new(within);
        assert_eq!(plan.is_current(age), case.is_current, "{within:?} {age:?}");
        assert_eq!(plan.needs_refresh(age), case.needs_refresh, "{within:?} {age:?}");
    }
}

/// Guards against a change that is reported twice or not at all, and against a report of each start,
/// at which the first confirmation is still awaited.
#[test]
fn changes_of_the_keys_are_reported_once() {
    struct Case {
        now: u64,
        confirmed: Option<u64>,
        change: Option<KeyChange>,
    }
    let cases = [
        Case { now: 1000, confirmed: None, change: None },
        Case { now: 5699, confirmed: None, change: None },
        Case { now: 5700, confirmed: None, change: Some(KeyChange::Stale) },
        Case { now: 6000, confirmed: None, change: None },
        Case { now: 6100, confirmed: Some(6050), change: Some(KeyChange::Current) },
        Case { now: 7000, confirmed: Some(6050), change: None },
        Case { now: 10_750, confirmed: Some(6050), change: Some(KeyChange::Stale) },
        Case { now: 11_000, confirmed: Some(10_900), change: Some(KeyChange::Current) },
    ];
    let plan = ConfirmationPlan::new(Some(ms(5000)));
    let mut report = KeyChangeReport::new(ms(1000));
    for case in &cases {
        let change = report.observe(&plan, case.confirmed.map(ms), ms(case.now));
        assert_eq!(change, case.change, "at {}", case.now);
    }
    let mut report = KeyChangeReport::new(ms(1000));
    assert_eq!(report.observe(&ConfirmationPlan::new(None), None, ms(900_000)), None);
}

/// Guards against a host that asks silent peers for good because one call to the store has failed.
#[test]
fn a_failed_call_keeps_a_host_from_the_store_for_a_while() {
    struct Case {
        name: &'static str,
        failed_ago: Option<Duration>,
        expected: bool,
    }
    let cases = [
        Case { name: "no call failed", failed_ago: None, expected: true },
        Case { name: "just failed", failed_ago: Some(ms(0)), expected: false },
        Case { name: "failed lately", failed_ago: Some(ms(2499)), expected: false },
        Case { name: "failed before", failed_ago: Some(ms(2500)), expected: true },
    ];
    for within in [None, Some(ms(5000))] {
        let plan = ConfirmationPlan::new(within);
        for case in &cases {
            assert_eq!(plan.may_read_store(case.failed_ago), case.expected, "{}", case.name);
        }
    }
}
