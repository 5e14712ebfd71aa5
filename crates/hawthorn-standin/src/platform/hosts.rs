//! The platform's list of hosts, which shows changes with a delay.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthorn_types::platform::HostEntry;

/// The visible hosts and the pending changes.
#[derive(Clone, Debug, Default)]
pub struct HostList {
    visible: BTreeMap<String, HostEntry>,
    pending: Vec<HostChange>,
}

#[derive(Clone, Debug)]
struct HostChange {
    due: Duration,
    host: String,
    entry: Option<HostEntry>,
}

impl HostList {
    /// Adds `entry` at time `due`.
    pub fn put(&mut self, due: Duration, entry: HostEntry) {
        self.pending.push(HostChange { due, host: entry.host.clone(), entry: Some(entry) });
    }

    /// Removes `host` at time `due`.
    pub fn remove(&mut self, due: Duration, host: &str) {
        self.pending.push(HostChange { due, host: host.to_owned(), entry: None });
    }

    /// The list at time `now`, ordered by name.
    pub fn at(&mut self, now: Duration) -> Vec<HostEntry> {
        let (due, pending) = self.pending.drain(..).partition(|change| change.due <= now);
        self.pending = pending;
        let due: Vec<HostChange> = due;
        for change in due {
            match change.entry {
                Some(entry) => self.visible.insert(change.host, entry),
                None => self.visible.remove(&change.host),
            };
        }
        self.visible.values().cloned().collect()
    }
}
