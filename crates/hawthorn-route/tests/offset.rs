//! How peers' clocks stand to each other, and what an order's end is worth there.

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

/// An exchange that begins at `at` with a peer whose clock shows `offset` more,
/// with so long on the way there, at the peer, and back.
fn exchange(at: Duration, offset: Duration, there: u64, work: u64, back: u64) -> Exchange {
    let received = at + offset + ms(there);
    let heard = at + ms(there + work + back);
    Exchange { sent: at, received, replied: received + ms(work), reply_received: heard }
}

/// A busy peer takes in most orders late, and one at once. That one tells how the
/// clocks stand, to within half of its round trip, and never that more time is
/// left than there is.
#[test]
fn the_quickest_exchange_tells_how_clocks_stand() {
    let offset = Duration::from_secs(5000);
    let mut clock = PeerClock::default();
    assert_eq!(clock.to_peer_time(ms(1)), None);
    for (step, there) in [700, 90, 2, 300, 650].into_iter().enumerate() {
        let at = ms(10_000 + 1000 * step as u64);
        assert!(clock.learn(&exchange(at, offset, there, 40, 2)));
    }
    assert_eq!(clock.round_trip(), Some(ms(4)));
    let end = ms(20_000);
    let theirs = clock.to_peer_time(end).expect("there were exchanges");
    assert!(theirs <= end + offset && theirs + ms(4) >= end + offset, "{theirs:?}");
}

/// A peer's machine loses power, and its clock begins anew: what was known of it
/// would make every order look hours old, or hours young.
#[test]
fn a_clock_that_begins_anew_is_learnt_anew() {
    let mut clock = PeerClock::default();
    (0..8).for_each(|step| {
        clock.learn(&exchange(ms(1000 * step), Duration::from_secs(9000), 1, 5, 1));
    });
    assert!(clock.learn(&exchange(ms(20_000), ms(3), 4, 5, 4)));
    let theirs = clock.to_peer_time(ms(30_000)).expect("there were exchanges");
    assert!(theirs <= ms(30_003) && theirs + ms(8) >= ms(30_003), "{theirs:?}");
}

/// Times that cannot be are none: a reply before the order, more work than there
/// was time.
#[test]
fn absurd_times_are_refused() {
    let good = exchange(ms(100), ms(5), 1, 10, 1);
    let cases = [
        Exchange { reply_received: ms(50), ..good },
        Exchange { replied: good.received - ms(1), ..good },
        Exchange { replied: good.received + Duration::from_secs(4_000_000_000), ..good },
    ];
    for case in cases {
        let mut clock = PeerClock::default();
        assert!(!clock.learn(&case), "{case:?}");
        assert_eq!(clock.to_peer_time(ms(1)), None);
    }
}

/// An order is made with 2,500 ms left and taken up 700 ms later. Once, its span
/// began then, and targets were handed 700 ms that the caller no longer had,
/// unless the reader's loop had been at work all the while.
#[test]
fn an_order_is_as_old_as_it_is_wherever_it_lay() {
    struct Case {
        name: &'static str,
        /// The sender knew the reader's clock.
        known: bool,
        /// How long the reader's loop has been at work, ms.
        busy: u64,
        /// What is left by the time it is taken up, ms.
        left: u64,
        aim: u64,
    }
    let cases = [
        Case { name: "in the reader's socket", known: true, busy: 700, left: 1800, aim: 0 },
        Case { name: "in the sender's", known: true, busy: 0, left: 1800, aim: 0 },
        Case { name: "under a loop that never rests", known: true, busy: 9000, left: 1800, aim: 0 },
        Case { name: "first of all, busy reader", known: false, busy: 700, left: 1800, aim: 0 },
        Case { name: "first of all, else", known: false, busy: 0, left: 2500, aim: 130 },
    ];
    let made = Duration::from_secs(100);
    let now = made + ms(700);
    let (left, aim_left) = (ms(2500), ms(130));
    for case in cases {
        let ends = case.known.then_some((made + left, made + aim_left));
        let span = clock_offset::to_local(
            &SentDeadlines { time_left: left, soft_time_left: aim_left, reader_deadlines: ends },
            now,
            ms(case.busy),
            Duration::ZERO,
        );
        let LocalDeadlines { deadline: ends, soft_deadline: aim_at } =
            span.expect("its times can be");
        assert_eq!(ends.saturating_sub(now), ms(case.left), "{}", case.name);
        assert_eq!(aim_at.saturating_sub(now), ms(case.aim), "{}", case.name);
    }
}

/// A host of an eighth of a core hands its query to a quick one. Once, its own lag of
/// 12 ms was taken off the quick one's time, on top of what it had taken off for
/// itself, and parts that had come were left behind.
#[test]
fn parts_are_due_sooner_by_the_lag_of_who_gathers_them() {
    let now = Duration::from_secs(50);
    let (left, aim_left) = (ms(900), ms(40));
    for ends in [None, Some((now + left, now + aim_left))] {
        let sent =
            SentDeadlines { time_left: left, soft_time_left: aim_left, reader_deadlines: ends };
        let span =
            clock_offset::to_local(&sent, now, Duration::ZERO, ms(2)).expect("its times can be");
        assert_eq!(span, LocalDeadlines { deadline: now + left, soft_deadline: now + ms(38) });
    }
}

/// A peer says that years are left, or that all ended years ago, or names a
/// moment of another clock. It is told that its order makes no sense here.
#[test]
fn orders_whose_times_cannot_be_are_none() {
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
    // A clock that is a little wrong only shortens.
    let fast = SentDeadlines { reader_deadlines: Some((now + ms(900), now + ms(900))), ..good };
    let span = clock_offset::to_local(&fast, now, Duration::ZERO, Duration::ZERO)
        .expect("its times can be");
    assert_eq!(span, LocalDeadlines { deadline: now + ms(500), soft_deadline: now + ms(100) });
}

proptest! {
    /// Whatever the delays, the end of an order is never later by the peer's clock
    /// than it is.
    #[test]
    fn no_time_is_ever_added(
        offset in 0_u64..1_000_000,
        delays in proptest::collection::vec((0_u64..800, 0_u64..200, 0_u64..800), 1..20),
    ) {
        let mut clock = PeerClock::default();
        for (step, (there, work, back)) in delays.into_iter().enumerate() {
            let at = ms(2_000_000 + 2000 * step as u64);
            clock.learn(&exchange(at, ms(offset), there, work, back));
            let theirs = clock.to_peer_time(at).expect("there was an exchange");
            prop_assert!(theirs <= at + ms(offset));
        }
    }
}
