//! Callers' concurrency windows under floods and saturation, in virtual time.

use std::error::Error;
use std::time::Duration;

use hawthorn_plan::CallerWindow;
use hawthorn_plan::window::Options;
use hawthorn_plan::window::QueryFeedback;

type TestResult = Result<(), Box<dyn Error>>;

/// Queries that the simulated targets serve concurrently without a queue.
const SLOTS: f64 = 6.0;
/// Service time of a query without queueing.
const SERVICE: Duration = Duration::from_millis(10);

fn feedback(queue_wait: Duration, rejected: bool) -> QueryFeedback {
    QueryFeedback { queue_wait, rejected, elapsed: SERVICE + queue_wait }
}

/// The queue wait of a closed loop of `in_flight` queries.
fn wait_of(in_flight: f64) -> Duration {
    SERVICE.mul_f64((in_flight / SLOTS - 1.0).max(0.0))
}

/// A caller floods in a closed loop. Without a window its queries would queue until
/// their deadlines pass. The window must converge to about the standing wait and stay
/// there.
#[test]
fn flood_converges_to_a_short_wait() -> TestResult {
    let options = Options::default();
    let mut window = CallerWindow::default();
    let mut now = Duration::ZERO;
    let mut waits = Vec::new();
    for _ in 0..4_000 {
        let in_flight = window.size(&options).floor();
        let wait = wait_of(in_flight);
        now += (SERVICE + wait).div_f64(in_flight);
        window.update(now, in_flight as u32, &feedback(wait, false), &options);
        waits.push(wait);
    }
    let settled = &waits[1_000..];
    let worst = settled.iter().max().ok_or("waits were recorded")?;
    let shortest = settled.iter().min().ok_or("waits were recorded")?;
    assert!(*worst <= options.standing_wait * 2, "worst wait {worst:?}");
    assert!(*shortest > Duration::ZERO, "targets idle while the flood is rejected");
    Ok(())
}

struct UpdateCase {
    name: &'static str,
    in_flight: u32,
    feedback: QueryFeedback,
    grows: Option<bool>,
}

#[test]
fn window_changes_only_on_evidence() -> TestResult {
    let short = Duration::from_millis(2);
    let long = Duration::from_millis(80);
    let case = |name, in_flight, feedback, grows| UpdateCase { name, in_flight, feedback, grows };
    let cases = [
        case("used, without a wait", 16, feedback(short, false), Some(true)),
        case("not used", 1, feedback(short, false), None),
        case("a standing queue", 2, feedback(long, false), Some(false)),
        case("rejected", 2, feedback(short, true), Some(false)),
    ];
    let options = Options::default();
    for case in cases {
        let mut window = CallerWindow::default();
        let before = window.size(&options);
        window.update(Duration::from_secs(1), case.in_flight, &case.feedback, &options);
        let after = window.size(&options);
        let grows = (after != before).then_some(after > before);
        assert_eq!(grows, case.grows, "{}", case.name);
    }
    Ok(())
}

/// Forty queries in flight report the same burst at the same time. Shrinking for each
/// would close the window for seconds.
#[test]
fn one_burst_shrinks_the_window_once() -> TestResult {
    let options = Options::default();
    let mut window = CallerWindow::default();
    let at = Duration::from_secs(1);
    for in_flight in (1..=40).rev() {
        window.update(at, in_flight, &feedback(Duration::from_millis(80), true), &options);
    }
    assert_eq!(window.size(&options), options.initial * options.decrease_factor);
    Ok(())
}

#[test]
fn window_never_closes_completely() -> TestResult {
    let options = Options::default();
    let mut window = CallerWindow::default();
    for second in 0..200 {
        window.update(Duration::from_secs(second), 1, &feedback(SERVICE, true), &options);
    }
    assert!(window.allows(0, &options));
    assert!(!window.allows(1, &options));
    Ok(())
}
