//! Offsets of peers' clocks, and deadlines of gather requests by the reader's clock.

use std::time::Duration;

use hawthorn_route::clock_offset;
use hawthorn_route::clock_offset::Exchange;
use hawthorn_route::clock_offset::LocalDeadlines;
use hawthorn_route::clock_offset::PeerClock;
use hawthorn_route::clock_offset::SentDeadlines;
use proptest::prelude::prop_assert;
use proptest::proptest;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// An exchange that starts at `at` with a peer whose clock is ahead by `offset`. The latency of
/// the request, the time at the peer and the latency of the reply are in milliseconds.
fn exchange(at: Duration, offset: Duration, request: u64, work: u64, reply: u64) -> Exchange {
    let received = at + offset + ms(request);
    let reply_received = at + ms(request + work + reply);
    Exchange { sent: at, received, replied: received + ms(work), reply_received }
}

/// Guards against a wrong offset of a busy peer's clock: it reads most requests late and one at
/// once. That exchange determines the offset to within half of its round trip, and a converted
/// time is never later than the real one.
#[test]
fn the_exchange_with_the_shortest_round_trip_determines_the_offset() {
    let offset = Duration::from_secs(5000);
    let mut clock = PeerClock::default();
    assert_eq!(clock.to_peer_time(ms(1)), None);
    for (step, request) in [700, 90, 2, 300, 650].into_iter().enumerate() {
        let at = ms(10_000 + 1000 * step as u64);
        assert!(clock.record(&exchange(at, offset, request, 40, 2)));
    }
    assert_eq!(clock.round_trip(), Some(ms(4)));
    let deadline = ms(20_000);
    let peer_time = clock.to_peer_time(deadline).expect("exchanges were recorded");
    assert!(
        peer_time <= deadline + offset && peer_time + ms(4) >= deadline + offset,
        "{peer_time:?}"
    );
}

/// Guards against outdated offsets: a peer's machine reboots and its clock starts again. With the
/// previous offset every request would appear to be hours old, or to have hours left.
#[test]
fn previous_samples_are_dropped_when_a_clock_restarts() {
    let mut clock = PeerClock::default();
    (0..8).for_each(|step| {
        clock.record(&exchange(ms(1000 * step), Duration::from_secs(9000), 1, 5, 1));
    });
    assert!(clock.record(&exchange(ms(20_000), ms(3), 4, 5, 4)));
    let peer_time = clock.to_peer_time(ms(30_000)).expect("exchanges were recorded");
    assert!(peer_time <= ms(30_003) && peer_time + ms(8) >= ms(30_003), "{peer_time:?}");
}

/// Inconsistent timestamps are rejected: a reply before the request, or more time at the peer
/// than the exchange took.
#[test]
fn inconsistent_timestamps_are_rejected() {
    let good = exchange(ms(100), ms(5), 1, 10, 1);
    let cases = [
        Exchange { reply_received: ms(50), ..good },
        Exchange { replied: good.received - ms(1), ..good },
        Exchange { replied: good.received + Duration::from_secs(4_000_000_000), ..good },
    ];
    for case in cases {
        let mut clock = PeerClock::default();
        assert!(!clock.record(&case), "{case:?}");
        assert_eq!(clock.to_peer_time(ms(1)), None);
    }
}

/// Guards against deadlines that start when a request is read: a request is created with
/// 2,500 ms left and read 700 ms later, and targets receive 700 ms that the caller no longer has.
#[test]
fn time_left_accounts_for_delays_of_the_request() {
    struct Case {
        name: &'static str,
        /// Whether the sender knows the offset of the reader's clock.
        known: bool,
        /// How long the reader's event loop has been busy, ms.
        busy: u64,
        /// Time left when the request is read, ms.
        left: u64,
        /// Time left until the soft deadline, ms.
        soft_left: u64,
    }
    let cases = [
        Case {
            name: "delayed in the reader's socket",
            known: true,
            busy: 700,
            left: 1800,
            soft_left: 0,
        },
        Case {
            name: "delayed in the sender's socket",
            known: true,
            busy: 0,
            left: 1800,
            soft_left: 0,
        },
        Case { name: "event loop never idle", known: true, busy: 9000, left: 1800, soft_left: 0 },
        Case {
            name: "first exchange, busy reader",
            known: false,
            busy: 700,
            left: 1800,
            soft_left: 0,
        },
        Case {
            name: "first exchange, idle reader",
            known: false,
            busy: 0,
            left: 2500,
            soft_left: 130,
        },
    ];
    let created = Duration::from_secs(100);
    let now = created + ms(700);
    let (left, soft_left) = (ms(2500), ms(130));
    for case in cases {
        let reader_deadlines = case.known.then_some((created + left, created + soft_left));
        let local = clock_offset::to_local(
            &SentDeadlines { time_left: left, soft_time_left: soft_left, reader_deadlines },
            now,
            ms(case.busy),
            Duration::ZERO,
        );
        let LocalDeadlines { deadline, soft_deadline } = local.expect("the deadlines are valid");
        assert_eq!(deadline.saturating_sub(now), ms(case.left), "{}", case.name);
        assert_eq!(soft_deadline.saturating_sub(now), ms(case.soft_left), "{}", case.name);
    }
}

/// Guards against subtracting the sender's scheduling delay from the reader's time: a host with an
/// eighth of a core has a delay of 12 ms and delegates to a faster host, which would then answer
/// too early and omit parts that it had received.
#[test]
fn parts_are_due_earlier_by_the_readers_scheduling_delay() {
    let now = Duration::from_secs(50);
    let (left, soft_left) = (ms(900), ms(40));
    for reader_deadlines in [None, Some((now + left, now + soft_left))] {
        let sent = SentDeadlines { time_left: left, soft_time_left: soft_left, reader_deadlines };
        let local = clock_offset::to_local(&sent, now, Duration::ZERO, ms(2))
            .expect("the deadlines are valid");
        assert_eq!(local, LocalDeadlines { deadline: now + left, soft_deadline: now + ms(38) });
    }
}

/// A request is rejected if its deadlines are years away, passed years ago, or belong to another
/// clock.
#[test]
fn invalid_deadlines_are_rejected() {
    let year = Duration::from_secs(365 * 24 * 3600);
    let now = year * 3;
    let good =
        SentDeadlines { time_left: ms(500), soft_time_left: ms(100), reader_deadlines: None };
    let cases = [
        SentDeadlines { time_left: year, ..good },
        SentDeadlines { soft_time_left: year, ..good },
        SentDeadlines { reader_deadlines: Some((now + year, now)), ..good },
        SentDeadlines { reader_deadlines: Some((now, now - year)), ..good },
        SentDeadlines { reader_deadlines: Some((Duration::ZERO, Duration::ZERO)), ..good },
    ];
    for case in cases {
        assert_eq!(
            clock_offset::to_local(&case, now, Duration::ZERO, Duration::ZERO),
            None,
            "{case:?}"
        );
    }
    // A slightly wrong clock never extends the time left.
    let fast = SentDeadlines { reader_deadlines: Some((now + ms(900), now + ms(900))), ..good };
    let local = clock_offset::to_local(&fast, now, Duration::ZERO, Duration::ZERO)
        .expect("the deadlines are valid");
    assert_eq!(local, LocalDeadlines { deadline: now + ms(500), soft_deadline: now + ms(100) });
}

proptest! {
    /// Whatever the delays, a converted deadline is never later than the real one by the peer's
    /// clock.
    #[test]
    fn converted_deadlines_are_never_later(
        offset in 0_u64..1_000_000,
        delays in proptest::collection::vec((0_u64..800, 0_u64..200, 0_u64..800), 1..20),
    ) {
        let mut clock = PeerClock::default();
        for (step, (request, work, reply)) in delays.into_iter().enumerate() {
            let at = ms(2_000_000 + 2000 * step as u64);
            clock.record(&exchange(at, ms(offset), request, work, reply));
            let peer_time = clock.to_peer_time(at).expect("an exchange was recorded");
            prop_assert!(peer_time <= at + ms(offset));
        }
    }
}
