//! Pacing of bulk messages on a slow link.

use std::time::Duration;

use hawthorn_route::pace::BulkPacer;
use hawthorn_route::pace::Options;

/// A link that sends messages one at a time.
#[derive(Default)]
struct SlowLink {
    free_at: Duration,
}

impl SlowLink {
    /// Queues a message and returns when it has been sent.
    fn send(&mut self, now: Duration, bytes: usize) -> Duration {
        let duration = Duration::from_secs_f64(bytes as f64 / LINK_RATE);
        self.free_at = self.free_at.max(now) + duration;
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
    /// Maximum delay of a request.
    max_request_delay: Duration,
    /// Maximum time until all peers have been sent the message.
    max_total: Duration,
}

/// Guards against delaying requests behind bulk messages: the update of a moved shard, sent to
/// thirty peers at once, delays requests by 0.3 s.
#[test]
fn requests_are_not_delayed_by_bulk_messages() {
    let cases = [
        Case {
            name: "entries of a moved index",
            peers: 30,
            bytes: 34_000,
            max_request_delay: Duration::from_millis(40),
            max_total: Duration::from_millis(1500),
        },
        Case {
            name: "complete snapshots",
            peers: 12,
            bytes: 130_000,
            max_request_delay: Duration::from_millis(140),
            max_total: Duration::from_millis(2200),
        },
    ];
    for Case { name, peers, bytes, max_request_delay, max_total } in cases {
        let options = Options::for_link(LINK_RATE);
        let (mut pacer, mut link) = (BulkPacer::default(), SlowLink::default());
        // When each peer's message is due on the link, once it is scheduled.
        let mut due: Vec<Option<Duration>> = vec![None; peers];
        let (mut last_sent, mut max_delay) = (Duration::ZERO, Duration::ZERO);
        for tick in 0..4_000 {
            let now = Duration::from_millis(tick);
            for at in &mut due {
                if at.is_none() {
                    *at = pacer.reserve(now, bytes, &options).map(|delay| now + delay);
                }
                if at.is_some_and(|at| at <= now) {
                    last_sent = link.send(now, bytes);
                    *at = Some(Duration::MAX);
                }
            }
            if tick % 10 == 0 {
                max_delay = max_delay.max(link.send(now, REQUEST_BYTES) - now);
            }
        }
        assert!(
            due.iter().all(|at| *at == Some(Duration::MAX)),
            "{name}: a peer was sent no message"
        );
        assert!(max_delay <= max_request_delay, "{name}: a request was delayed by {max_delay:?}");
        assert!(last_sent <= max_total, "{name}: all sent after {last_sent:?}");
    }
}

/// Updates of single entries are not delayed by pacing.
#[test]
fn small_messages_are_not_delayed() {
    let options = Options::for_link(LINK_RATE);
    let mut pacer = BulkPacer::default();
    assert_eq!(pacer.reserve(Duration::ZERO, 1_000_000, &options), Some(Duration::ZERO));
    assert_eq!(pacer.reserve(Duration::ZERO, 300, &options), Some(Duration::ZERO));
    assert_eq!(pacer.reserve(Duration::ZERO, 34_000, &options), None);
}
