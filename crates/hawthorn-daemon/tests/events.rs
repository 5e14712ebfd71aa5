//! Compares the operators' event catalogue with the events in the code.

use std::error::Error;

use hawthorn_daemon::process::events::LogEvent;
use strum::IntoEnumIterator;

#[test]
fn catalogue_lists_every_event_once() -> Result<(), Box<dyn Error>> {
    let page = include_str!("../../../docs/operators/events.md");
    for event in LogEvent::iter() {
        let row = format!("| E{:03} | {} |", event.number(), event.name());
        assert_eq!(page.matches(&row).count(), 1, "{row}");
    }
    let rows = page.lines().filter(|line| line.starts_with("| E")).count();
    assert_eq!(rows, LogEvent::iter().count());
    Ok(())
}
