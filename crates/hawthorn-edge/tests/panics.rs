//! Panics in the log and the metrics.

use std::sync::Mutex;

use hawthorn_edge::process::metrics::EdgeMetrics;
use hawthorn_edge::process::panics;
use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct LineCollector;

impl Log for LineCollector {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        LINES.lock().expect("no holder of the lock panics").push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// Guards against a task that ends because of a bug without a line in the log.
#[test]
fn a_panic_is_logged_and_counted() {
    log::set_logger(&LineCollector).expect("no other logger is set");
    log::set_max_level(LevelFilter::Info);
    panics::report();
    let metrics = EdgeMetrics::new().expect("the exporter can be built");
    assert!(std::thread::spawn(|| panic!("of\ntwo lines")).join().is_err());
    let lines = LINES.lock().expect("no holder of the lock panics").join("\n");
    assert!(lines.contains("E605 duty-failed: duty=task at="), "{lines}");
    assert!(lines.contains("tests/panics.rs:"), "{lines}");
    assert!(lines.contains("error=\"of two lines\""), "{lines}");
    let text = metrics.text();
    let mut counters = text.lines().filter(|line| line.starts_with("hawthorn_route_panics_total"));
    assert!(counters.any(|line| line.ends_with(" 1")), "{text}");
}
