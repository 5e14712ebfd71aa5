//! Bulk messages on a narrow link.

use std::time::Duration;

use hawthorn_route::pace::BulkPacer;
use hawthorn_route::pace::Options;

/// A link that sends one message after the other.
#[derive(Default)]
struct NarrowLink {
    free_at: Duration,
}

impl NarrowLink {
    /// When a message given to the link now has been sent.
    fn send(&mut self, now: Duration, bytes: usize) -> Duration {
        let taken = Duration::from_secs_f64(bytes as f64 / LINK_RATE);
        self.free_at = self.free_at.max(now) + taken;
        self.free_at
    }
}

/// 15.4 Mbit/s.
const LINK_RATE: f64 = 1_925_000.0;
const REQUEST_BYTES: usize = 600;

struct Case {
    name: &'static str,
    peers: usize,
    bytes: usize,
    longest_request: Duration,
    all_told: Duration,
}

/// Requests waited 0.3 s behind a shard move told to thirty peers at once.
#[test]
fn requests_leave_in_time_while_all_peers_are_told() {
    let cases = [
        Case {
            name: "entries of a moved index",
            peers: 30,
            bytes: 34_000,
            longest_request: Duration::from_millis(40),
            all_told: Duration::from_millis(1500),
        },
        Case {
            name: "whole readings",
            peers: 12,
            bytes: 130_000,
            longest_request: Duration::from_millis(140),
            all_told: Duration::from_millis(2200),
        },
    ];
    for Case { name, peers, bytes, longest_request, all_told } in cases {
        let options = Options::for_link(LINK_RATE);
        let (mut pacer, mut link) = (BulkPacer::default(), NarrowLink::default());
        // When each peer's message is given to the link, once that is known.
        let mut due: Vec<Option<Duration>> = vec![None; peers];
        let (mut told, mut longest) = (Duration::ZERO, Duration::ZERO);
        for tick in 0..4_000 {
            let now = Duration::from_millis(tick);
            for at in &mut due {
                if at.is_none() {
                    *at = pacer.reserve(now, bytes, &options).map(|delay| now + delay);
                }
                if at.is_some_and(|at| at <= now) {
                    told = link.send(now, bytes);
                    *at = Some(Duration::MAX);
                }
            }
            if tick % 10 == 0 {
                longest = longest.max(link.send(now, REQUEST_BYTES) - now);
            }
        }
        assert!(due.iter().all(|at| *at == Some(Duration::MAX)), "{name}: a peer was not told");
        assert!(longest <= longest_request, "{name}: a request waited {longest:?}");
        assert!(told <= all_told, "{name}: told after {told:?}");
    }
}

/// A change of one entry is in force everywhere without delay.
#[test]
fn small_messages_are_not_delayed() {
    let options = Options::for_link(LINK_RATE);
    let mut pacer = BulkPacer::default();
    assert_eq!(pacer.reserve(Duration::ZERO, 1_000_000, &options), Some(Duration::ZERO));
    assert_eq!(pacer.reserve(Duration::ZERO, 300, &options), Some(Duration::ZERO));
    assert_eq!(pacer.reserve(Duration::ZERO, 34_000, &options), None);
}
