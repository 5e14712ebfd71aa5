//! Windows of callers under floods and saturation, in virtual time.

use std::error::Error;
use std::time::Duration;

use hawthorn_plan::CallerWindow;
use hawthorn_plan::window::Options;
use hawthorn_plan::window::QueryFeedback;

type TestResult = Result<(), Box<dyn Error>>;

/// Queries that the targets of this test can do at once without a queue.
const SLOTS: f64 = 6.0;
/// One query without a wait.
const SERVICE: Duration = Duration::from_millis(10);

fn end(queue_wait: Duration, rejected: bool) -> QueryFeedback {
    QueryFeedback { queue_wait, rejected, elapsed: SERVICE + queue_wait }
}

/// The wait that a closed loop of `held` queries sees at the targets.
fn wait_of(held: f64) -> Duration {
    SERVICE.mul_f64((held / SLOTS - 1.0).max(0.0))
}

/// A member floods: as fast as one query ends it sends the next. Without a
/// window its queries wait in front of the targets until their deadlines pass.
/// The window settles where the wait is about what may stand, and stays there.
#[test]
fn a_flood_settles_at_a_short_wait() -> TestResult {
    let options = Options::default();
    let mut window = CallerWindow::default();
    let mut now = Duration::ZERO;
    let mut waits = Vec::new();
    for _ in 0..4_000 {
        let held = window.size(&options).floor();
        let wait = wait_of(held);
        now += (SERVICE + wait).div_f64(held);
        window.update(now, held as u32, &end(wait, false), &options);
        waits.push(wait);
    }
    let settled = &waits[1_000..];
    let worst = settled.iter().max().ok_or("waits were noted")?;
    let least = settled.iter().min().ok_or("waits were noted")?;
    assert!(*worst <= options.standing_wait * 2, "worst wait {worst:?}");
    assert!(*least > Duration::ZERO, "targets idle while the flood is turned away");
    Ok(())
}

struct LearnCase {
    name: &'static str,
    held: u32,
    end: QueryFeedback,
    grows: Option<bool>,
}

#[test]
fn a_window_moves_only_for_a_reason() -> TestResult {
    let short = Duration::from_millis(2);
    let long = Duration::from_millis(80);
    let case = |name, held, end, grows| LearnCase { name, held, end, grows };
    let cases = [
        case("used and no wait", 16, end(short, false), Some(true)),
        case("not used", 1, end(short, false), None),
        case("a wait that stands", 2, end(long, false), Some(false)),
        case("turned away", 2, end(short, true), Some(false)),
    ];
    let options = Options::default();
    for case in cases {
        let mut window = CallerWindow::default();
        let before = window.size(&options);
        window.update(Duration::from_secs(1), case.held, &case.end, &options);
        let after = window.size(&options);
        let grows = (after != before).then_some(after > before);
        assert_eq!(grows, case.grows, "{}", case.name);
    }
    Ok(())
}

/// A burst is turned away: forty queries in flight all say so within one
/// moment. Forty cuts would close the door for seconds over one burst.
#[test]
fn one_burst_cuts_once() -> TestResult {
    let options = Options::default();
    let mut window = CallerWindow::default();
    let at = Duration::from_secs(1);
    for held in (1..=40).rev() {
        window.update(at, held, &end(Duration::from_millis(80), true), &options);
    }
    assert_eq!(window.size(&options), options.initial * options.decrease_factor);
    Ok(())
}

#[test]
fn the_door_never_closes_for_good() -> TestResult {
    let options = Options::default();
    let mut window = CallerWindow::default();
    for second in 0..200 {
        window.update(Duration::from_secs(second), 1, &end(SERVICE, true), &options);
    }
    assert!(window.allows(0, &options));
    assert!(!window.allows(1, &options));
    Ok(())
}
