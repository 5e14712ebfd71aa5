//! Configuration edits by compare-and-swap on the revision that the editor read.
//!
//! Each edit has a unique id, which distinguishes an answer lost after the write took effect
//! from a conflict with another editor.

mod document;
pub mod history;

use std::time::Duration;

use hawthorn_types::platform::StoreEntry;
use hawthorn_types::platform::StorePut;
use quick_error::quick_error;
use tokio::time::sleep;

pub use self::document::ConfigDocument;
use crate::store::NotRunCause;
use crate::store::ReadError;
use crate::store::Store;
use crate::store::UncertainCause;
use crate::store::WriteOutcome;

/// The key of the configuration in force.
pub const CURRENT_KEY: &str = "config/current";

/// Limits of an edit.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of earlier revisions kept.
    pub kept_revisions: u64,
    /// Maximum number of attempts, each a read and a write, before the edit fails or remains
    /// uncertain.
    pub max_attempts: u32,
    /// Delay between attempts.
    pub retry_delay: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { kept_revisions: 50, max_attempts: 6, retry_delay: Duration::from_millis(100) }
    }
}

/// A configuration edit proposed by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProposedEdit {
    /// The revision that the operator read; 0 for the first configuration.
    pub base: u64,
    /// Unique id of the edit.
    pub edit_id: String,
    /// The author of the edit.
    pub author: String,
    /// Time of the edit in Unix milliseconds.
    pub changed_at: u64,
    /// The inventory, as TOML.
    pub inventory: String,
    /// The rules, as TOML.
    pub rules: String,
}

/// Outcome of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The edit is in force, or was until a later edit replaced it.
    Applied {
        /// The revision of the edit.
        revision: u64,
    },
    /// Another edit replaced the base revision first; this one had no effect and never will.
    Conflict {
        /// The configuration in force; `None` if there is none.
        current: Option<Box<ConfigDocument>>,
    },
    /// It is unknown whether the edit took effect. Repeating it with the same id resolves
    /// this and never applies it twice.
    Uncertain {
        /// The cause in the last uncertain attempt.
        cause: UncertainCause,
    },
}

quick_error! {
    /// Why an edit failed. This attempt had no effect and never will; an earlier uncertain
    /// attempt with the same id may still take effect.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The store could not be read.
        Read(error: ReadError) {
            from()
            display("the configuration could not be read, nothing was written: {}", error)
        }
        /// The store did not run the write.
        NotRun(cause: NotRunCause) {
            display("the store did not run the write: {}", cause)
        }
        /// Other editors wrote the key between each read and the following write.
        Contended {
            display("the configuration kept changing while it was edited")
        }
        /// The stored configuration is not a valid document.
        Malformed(key: String) {
            display("the store holds no readable configuration at {}", key)
        }
        /// The store contains an older revision than the editor read.
        Reverted(found: u64, seen: u64) {
            display("the store went back to revision {} after {} was seen", found, seen)
        }
    }
}

impl Error {
    /// Whether another attempt may succeed.
    fn is_transient(&self) -> bool {
        matches!(self, Self::Read(_) | Self::NotRun(_) | Self::Contended)
    }
}

/// Reads the configuration in force; `None` before the first edit.
pub async fn current(store: &impl Store) -> Result<Option<ConfigDocument>, Error> {
    read(store, CURRENT_KEY).await.map(|found| found.map(|(_, document)| document))
}

/// Applies an edit, with retries.
pub async fn edit(
    store: &impl Store,
    proposed: &ProposedEdit,
    options: &Options,
) -> Result<Outcome, Error> {
    let mut uncertain: Option<UncertainCause> = None;
    let mut last_error = Error::NotRun(NotRunCause::QueueFull);
    for attempt in 0..options.max_attempts.max(1) {
        if attempt > 0 {
            sleep(options.retry_delay).await;
        }
        match try_once(store, proposed, uncertain.is_some()).await {
            Ok(Outcome::Applied { revision }) => {
                history::trim(store, revision, options.kept_revisions).await;
                return Ok(Outcome::Applied { revision });
            }
            Ok(Outcome::Conflict { current }) => return Ok(Outcome::Conflict { current }),
            Ok(Outcome::Uncertain { cause }) => uncertain = Some(cause),
            Err(error) => {
                let is_final = !error.is_transient();
                last_error = error;
                if is_final {
                    break;
                }
            }
        }
    }
    // Uncertainty takes precedence over a later error: the write may still take effect.
    match uncertain {
        Some(cause) => Ok(Outcome::Uncertain { cause }),
        None => Err(last_error),
    }
}

/// Reads the current revision, and writes if it is still the base of the edit.
async fn try_once(
    store: &impl Store,
    proposed: &ProposedEdit,
    is_uncertain: bool,
) -> Result<Outcome, Error> {
    let found = read(store, CURRENT_KEY).await?;
    match edit_state(store, proposed, found.as_ref(), is_uncertain).await? {
        EditState::Applied => return Ok(Outcome::Applied { revision: proposed.base + 1 }),
        EditState::Superseded => {
            let current = found.map(|(_, document)| Box::new(document));
            return Ok(Outcome::Conflict { current });
        }
        EditState::Trimmed => {
            return Ok(Outcome::Uncertain { cause: UncertainCause::Timeout });
        }
        EditState::Pending => {}
    }
    match write(store, proposed, found.as_ref()).await? {
        WriteOutcome::Written { .. } => Ok(Outcome::Applied { revision: proposed.base + 1 }),
        WriteOutcome::Conflict { .. } => Err(Error::Contended),
        WriteOutcome::NotRun(cause) => Err(Error::NotRun(cause)),
        WriteOutcome::Uncertain(cause) => Ok(Outcome::Uncertain { cause }),
    }
}

/// State of a proposed edit, according to the store.
enum EditState {
    /// The edit is or was in force.
    Applied,
    /// Another edit has its revision.
    Superseded,
    /// Its revision has not been written yet.
    Pending,
    /// Its revision has been removed from the history.
    Trimmed,
}

/// Distinguishes a lost answer from a conflict.
///
/// If a write takes effect, its answer is lost, and another editor immediately replaces the
/// document, the first editor reads a document by someone else at a later revision, which looks
/// like a conflict. Since an editor copies the document that it replaces to the history, the id
/// of the first edit is found there.
async fn edit_state(
    store: &impl Store,
    proposed: &ProposedEdit,
    found: Option<&(StoreEntry, ConfigDocument)>,
    is_uncertain: bool,
) -> Result<EditState, Error> {
    let revision = found.map_or(0, |(_, document)| document.revision);
    if revision < proposed.base {
        return Err(Error::Reverted(revision, proposed.base));
    }
    if revision == proposed.base {
        return Ok(EditState::Pending);
    }
    let own_revision = proposed.base + 1;
    let stored_id = match found {
        Some((_, document)) if document.revision == own_revision => Some(document.edit_id.clone()),
        _ => history::read(store, own_revision).await?.map(|document| document.edit_id),
    };
    match stored_id {
        Some(edit_id) if edit_id == proposed.edit_id => Ok(EditState::Applied),
        None if is_uncertain => Ok(EditState::Trimmed),
        _ => Ok(EditState::Superseded),
    }
}

/// Copies the current document to the history, then replaces it.
///
/// An earlier write of this edit that is still in flight expects the same revision as this
/// one, so only one of them can take effect.
async fn write(
    store: &impl Store,
    proposed: &ProposedEdit,
    found: Option<&(StoreEntry, ConfigDocument)>,
) -> Result<WriteOutcome, Error> {
    if let Some((entry, document)) = found {
        history::append(store, document.revision, &entry.value).await?;
    }
    let document = ConfigDocument {
        revision: proposed.base + 1,
        edit_id: proposed.edit_id.clone(),
        author: proposed.author.clone(),
        changed_at: proposed.changed_at,
        parent: found.map(|(_, document)| document.edit_id.clone()),
        inventory: proposed.inventory.clone(),
        rules: proposed.rules.clone(),
    };
    let expect = found.map_or(0, |(entry, _)| entry.revision);
    let put = StorePut { expect, value: document.encode(), lease: None };
    Ok(store.put(CURRENT_KEY, put).await)
}

async fn read(
    store: &impl Store,
    key: &str,
) -> Result<Option<(StoreEntry, ConfigDocument)>, Error> {
    let Some(entry) = store.get(key).await? else {
        return Ok(None);
    };
    let document = ConfigDocument::decode(&entry.value);
    let document = document.ok_or_else(|| Error::Malformed(key.to_owned()))?;
    Ok(Some((entry, document)))
}
