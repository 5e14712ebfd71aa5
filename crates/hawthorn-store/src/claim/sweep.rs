//! Deletes claims of spans whose request ids every host refuses.

use std::time::Duration;

use super::Options;
use super::stamp::forgotten_at;
use crate::store::DeleteOutcome;
use crate::store::ReadError;
use crate::store::Store;

/// What a sweep did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct SweepOutcome {
    /// Values of claims still kept.
    pub kept: usize,
    /// Values deleted.
    pub deleted: usize,
    /// Values that should be gone and may not be; the next sweep finds them.
    pub left: usize,
}

/// Deletes the forgotten values of `bucket`. One list call and one deletion for
/// each span; once a minute by the bucket's owner is often enough.
///
/// Failure: a claim deleted too early lets a second send of its id run again.
/// A value is deleted only when `window` and `margin` have both passed since
/// the end of its span, so even a host whose clock is `margin` behind
/// refuses its ids by their age.
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
        if span.is_none_or(|span| unix_now < forgotten_at(span, options)) {
            outcome.kept += 1;
            continue;
        }
        match store.delete(&entry.key, entry.revision).await {
            DeleteOutcome::Deleted | DeleteOutcome::Absent => outcome.deleted += 1,
            DeleteOutcome::Conflict | DeleteOutcome::NotRun(_) | DeleteOutcome::Uncertain(_) => {
                outcome.left += 1;
            }
        }
    }
    Ok(outcome)
}
