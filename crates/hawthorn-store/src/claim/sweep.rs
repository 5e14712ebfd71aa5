//! Deletes claims of spans whose request ids every host rejects.

use std::time::Duration;

use super::Options;
use super::stamp::retained_until;
use crate::store::DeleteOutcome;
use crate::store::ReadError;
use crate::store::Store;

/// Result of a sweep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct SweepOutcome {
    /// Values that are not due yet, or are not claims.
    pub kept: usize,
    /// Values deleted.
    pub deleted: usize,
    /// Values whose deletion failed or is uncertain; the next sweep retries.
    pub failed: usize,
}

/// Deletes the expired values of `bucket`, with one list call and one deletion for each span.
/// It is sufficient that the bucket's owner calls it once a minute.
///
/// If a claim were deleted too early, a second send of its id would run again. A value is deleted
/// only when `window` and `margin` have both passed since the end of its span, so that even a
/// host whose clock is `margin` behind rejects its ids as too old.
///
/// # Errors
/// If the values could not be listed.
pub async fn sweep(
    store: &impl Store,
    bucket: u32,
    unix_now: Duration,
    options: &Options,
) -> Result<SweepOutcome, ReadError> {
    let prefix = format!("claims/{bucket}/");
    let mut outcome = SweepOutcome::default();
    for entry in store.list(&prefix).await? {
        let span = entry.key.strip_prefix(&prefix).and_then(|text| text.parse::<u64>().ok());
        if span.is_none_or(|span| unix_now < retained_until(span, options)) {
            outcome.kept += 1;
            continue;
        }
        match store.delete(&entry.key, entry.revision).await {
            DeleteOutcome::Deleted | DeleteOutcome::Absent => outcome.deleted += 1,
            DeleteOutcome::Conflict | DeleteOutcome::NotRun(_) | DeleteOutcome::Uncertain(_) => {
                outcome.failed += 1;
            }
        }
    }
    Ok(outcome)
}
