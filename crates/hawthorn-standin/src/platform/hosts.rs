//! The platform's list of hosts, which lags behind the truth.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthorn_types::platform::HostEntry;

/// The list and the changes that it does not show yet.
#[derive(Clone, Debug, Default)]
pub struct HostList {
    shown: BTreeMap<String, HostEntry>,
    coming: Vec<HostChange>,
}

#[derive(Clone, Debug)]
struct HostChange {
    due: Duration,
    host: String,
    entry: Option<HostEntry>,
}

impl HostList {
    /// Shows `entry` from `due` on.
    pub fn put(&mut self, due: Duration, entry: HostEntry) {
        self.coming.push(HostChange { due, host: entry.host.clone(), entry: Some(entry) });
    }

    /// Takes `host` off the list from `due` on.
    pub fn remove(&mut self, due: Duration, host: &str) {
        self.coming.push(HostChange { due, host: host.to_owned(), entry: None });
    }

    /// The list as it shows at `now`, by name.
    pub fn at(&mut self, now: Duration) -> Vec<HostEntry> {
        let (due, coming) = self.coming.drain(..).partition(|change| change.due <= now);
        self.coming = coming;
        let due: Vec<HostChange> = due;
        for change in due {
            match change.entry {
                Some(entry) => self.shown.insert(change.host, entry),
                None => self.shown.remove(&change.host),
            };
        }
        self.shown.values().cloned().collect()
    }
}
