//! Earlier revisions of the configuration, a bounded number of them.
//!
//! A revision enters the history before it is replaced, so the history holds
//! only what was once in force, and every replaced revision is in it.

use hawthorn_types::platform::StorePut;

use super::ConfigDocument;
use super::Error;
use crate::store::ReadError;
use crate::store::Store;
use crate::store::WriteOutcome;

/// The keys of earlier revisions begin so; the revision follows.
pub const PREFIX: &str = "config/history/";

/// The earlier revisions kept, ascending.
pub async fn list(store: &impl Store) -> Result<Vec<u64>, ReadError> {
    let entries = store.list(PREFIX).await?;
    let numbers = entries.iter().filter_map(|entry| entry.key.strip_prefix(PREFIX)?.parse().ok());
    let mut revisions: Vec<u64> = numbers.collect();
    revisions.sort_unstable();
    Ok(revisions)
}

/// An earlier revision; `None` when it is not kept.
pub async fn read(store: &impl Store, revision: u64) -> Result<Option<ConfigDocument>, Error> {
    let found = super::read(store, &key(revision)).await?;
    Ok(found.map(|(_, document)| document))
}

/// Keeps `value` as `revision`. When its answer is lost the edit that needs it
/// has written nothing, so that counts as a read that failed.
pub(super) async fn keep(store: &impl Store, revision: u64, value: &str) -> Result<(), Error> {
    let put = StorePut { expect: 0, value: value.to_owned(), lease: None };
    match store.put(&key(revision), put).await {
        // A conflict means that another editor kept the same document.
        WriteOutcome::Written { .. } | WriteOutcome::Conflict { .. } => Ok(()),
        WriteOutcome::NotRun(cause) => Err(Error::NotRun(cause)),
        WriteOutcome::Uncertain(cause) => Err(Error::Read(ReadError::NoAnswer(cause))),
    }
}

/// Deletes what is older than `kept` revisions before `newest`. What fails to
/// be deleted is deleted after a later edit.
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
