//! Hosts: none ends by itself or has a task that panics, all answer their probes, and use no more
//! after the faults than before.

use std::time::Duration;

use super::HistoryView;
use super::Promise;
use super::STABILITY;
use super::Violation;
use crate::history::HostEventKind;
use crate::history::HostKey;
use crate::history::HostUsage;

/// Number of probes in a row without an answer after which a host does not respond.
const MAX_UNANSWERED: usize = 2;
/// Tolerated growth of a host's memory and descriptors.
const MAX_GROWTH: f64 = 0.1;

pub(super) fn check(view: &HistoryView<'_>) -> Vec<Violation> {
    let hosts = (0..view.history.hosts.len()).map(|number| HostKey(number as u16));
    hosts
        .flat_map(|host| {
            let mut violations = exits(view, host);
            violations.extend(panics(view, host));
            violations.extend(silences(view, host));
            violations.extend(growth(view, host));
            violations
        })
        .collect()
}

fn exits(view: &HistoryView<'_>, host: HostKey) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut ended_by_us = false;
    for event in view.history.host_events.iter().filter(|event| event.host == host) {
        match event.kind {
            HostEventKind::Started => ended_by_us = false,
            HostEventKind::StopSent | HostEventKind::Killed => ended_by_us = true,
            HostEventKind::Exited(code) if !ended_by_us => violations.push(Violation {
                promise: Promise::Exit,
                at: event.at,
                request: None,
                host: Some(host),
                detail: format!("ended by itself, exit code {code:?}"),
            }),
            HostEventKind::Exited(_)
            | HostEventKind::Suspended
            | HostEventKind::Resumed
            | HostEventKind::Reloaded
            | HostEventKind::Panicked => {}
        }
    }
    violations
}

fn panics(view: &HistoryView<'_>, host: HostKey) -> impl Iterator<Item = Violation> {
    let events = view.history.host_events.iter();
    let panics =
        events.filter(move |event| event.host == host && event.kind == HostEventKind::Panicked);
    panics.map(move |event| Violation {
        promise: Promise::Panic,
        at: event.at,
        request: None,
        host: Some(host),
        detail: "a task panicked, see E605 in its log".to_owned(),
    })
}

fn silences(view: &HistoryView<'_>, host: HostKey) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut unanswered = 0;
    for probe in view.history.probes.iter().filter(|probe| probe.host == host) {
        // Faults of the store and of targets are no reason not to answer.
        let own = view.history.disruptions.iter().any(|disruption| {
            disruption.host == Some(host)
                && disruption.from <= probe.at + Duration::from_secs(1)
                && disruption.until + STABILITY >= probe.at
        });
        unanswered = if probe.status.is_some() || own { 0 } else { unanswered + 1 };
        if unanswered == MAX_UNANSWERED {
            violations.push(Violation {
                promise: Promise::Unresponsive,
                at: probe.at,
                request: None,
                host: Some(host),
                detail: format!("{unanswered} probes without an answer"),
            });
        }
    }
    violations
}

/// Growth from the readings before the faults to those after them, if the process is the same: the
/// least after them is compared with the greatest before them.
fn growth(view: &HistoryView<'_>, host: HostKey) -> Vec<Violation> {
    let of_host = view.history.usage.iter().filter(|usage| usage.host == host);
    let (before, after): (Vec<&HostUsage>, Vec<&HostUsage>) =
        of_host.partition(|usage| usage.at < view.history.faults_began);
    let processes = [before.first(), after.first(), after.last()];
    let [Some(first), Some(second), Some(last)] = processes else { return Vec::new() };
    if first.process != second.process || first.process != last.process {
        return Vec::new();
    }
    type Reading = fn(&HostUsage) -> u64;
    let readings: [(&str, Reading); 2] =
        [("KiB of memory", |usage| usage.memory_kib), ("descriptors", |usage| usage.descriptors)];
    let compared = readings.into_iter().filter_map(|(what, reading)| {
        let before = before.iter().map(|usage| reading(usage)).max()?;
        let after = after.iter().map(|usage| reading(usage)).min()?;
        Some((what, before, after))
    });
    let grown =
        compared.filter(|(_, before, after)| *after as f64 > *before as f64 * (1.0 + MAX_GROWTH));
    grown
        .map(|(what, before, after)| Violation {
            promise: Promise::Leak,
            at: last.at,
            request: None,
            host: Some(host),
            detail: format!("{before} {what} before the faults, {after} after them"),
        })
        .collect()
}
