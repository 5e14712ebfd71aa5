//! A bounded number of earlier configuration revisions.
//!
//! A revision is added to the history before it is replaced, so the history contains only
//! revisions that were in force, and every replaced revision is added to it.

use hawthorn_types::platform::StorePut;

use super::ConfigDocument;
use super::Error;
use crate::store::ReadError;
use crate::store::Store;
use crate::store::WriteOutcome;

/// Key prefix of earlier revisions, followed by the revision.
pub const PREFIX: &str = "config/history/";

/// Lists the earlier revisions kept, in ascending order.
pub async fn list(store: &impl Store) -> Result<Vec<u64>, ReadError> {
    let entries = store.list(PREFIX).await?;
    let parsed = entries.iter().filter_map(|entry| entry.key.strip_prefix(PREFIX)?.parse().ok());
    let mut revisions: Vec<u64> = parsed.collect();
    revisions.sort_unstable();
    Ok(revisions)
}

/// Reads an earlier revision; `None` if it is not kept.
pub async fn read(store: &impl Store, revision: u64) -> Result<Option<ConfigDocument>, Error> {
    let found = super::read(store, &key(revision)).await?;
    Ok(found.map(|(_, document)| document))
}

/// Adds `value` to the history as `revision`. An uncertain write is reported as a failed read,
/// since the edit has not written the configuration yet.
pub(super) async fn append(store: &impl Store, revision: u64, value: &str) -> Result<(), Error> {
    let put = StorePut { expect: 0, value: value.to_owned(), lease: None };
    match store.put(&key(revision), put).await {
        // A conflict means that another editor added the same document.
        WriteOutcome::Written { .. } | WriteOutcome::Conflict { .. } => Ok(()),
        WriteOutcome::NotRun(cause) => Err(Error::NotRun(cause)),
        WriteOutcome::Uncertain(cause) => Err(Error::Read(ReadError::NoAnswer(cause))),
    }
}

/// Deletes revisions that precede `newest` by more than `kept`. Failed deletions are retried
/// after a later edit.
pub(super) async fn trim(store: &impl Store, newest: u64, kept: u64) {
    let Ok(entries) = store.list(PREFIX).await else {
        return;
    };
    for entry in entries {
        let revision = entry.key.strip_prefix(PREFIX).and_then(|text| text.parse::<u64>().ok());
        if revision.is_some_and(|revision| revision + kept < newest) {
            store.delete(&entry.key, entry.revision).await;
        }
    }
}

fn key(revision: u64) -> String {
    format!("{PREFIX}{revision}")
}
