//! One configuration edit, made by compare-and-swap on what the editor saw.
//!
//! The edit carries an id of its own, so that an answer lost after the write
//! took effect is told from a race lost to another editor.

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
    /// Earlier revisions kept.
    pub kept_revisions: u64,
    /// Writes and reads made before an edit is left uncertain.
    pub max_attempts: u32,
    /// Pause between attempts.
    pub pause: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { kept_revisions: 50, max_attempts: 6, pause: Duration::from_millis(100) }
    }
}

/// What an operator wants the configuration to become.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProposedEdit {
    /// The revision that the operator looked at; 0 for the first configuration.
    pub base: u64,
    /// An id that no other edit has.
    pub edit_id: String,
    /// Who edits.
    pub author: String,
    /// When, in Unix milliseconds.
    pub changed_at: u64,
    /// The inventory, as TOML.
    pub inventory: String,
    /// The rules, as TOML.
    pub rules: String,
}

/// What became of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is in force, or was until a later edit replaced it.
    Applied {
        /// Its revision.
        revision: u64,
    },
    /// Another edit came first; this one had no effect and never will.
    Conflict {
        /// What is in force; `None` when nothing is.
        current: Option<Box<ConfigDocument>>,
    },
    /// The store did not say. The same edit, made again with the same id,
    /// finds out and is never applied twice.
    Uncertain {
        /// The last cause.
        cause: UncertainCause,
    },
}

quick_error! {
    /// Why an edit was not made. This making of it had no effect and never
    /// will; an earlier one of the same id that was uncertain still may.
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
        /// Others wrote the key between each read and the write after it.
        Moved {
            display("the configuration kept changing while it was edited")
        }
        /// The stored configuration is no document.
        Malformed(key: String) {
            display("the store holds no readable configuration at {}", key)
        }
        /// The store holds an older revision than the editor saw.
        Reverted(found: u64, seen: u64) {
            display("the store went back to revision {} after {} was seen", found, seen)
        }
    }
}

impl Error {
    /// Whether another attempt may fare better.
    fn may_pass(&self) -> bool {
        matches!(self, Self::Read(_) | Self::NotRun(_) | Self::Moved)
    }
}

/// The configuration in force; `None` before the first edit.
pub async fn current(store: &impl Store) -> Result<Option<ConfigDocument>, Error> {
    read(store, CURRENT_KEY).await.map(|found| found.map(|(_, document)| document))
}

/// Makes one edit.
pub async fn edit(
    store: &impl Store,
    proposed: &ProposedEdit,
    options: &Options,
) -> Result<Outcome, Error> {
    let mut doubt: Option<UncertainCause> = None;
    let mut refusal = Error::NotRun(NotRunCause::QueueFull);
    for attempt in 0..options.max_attempts.max(1) {
        if attempt > 0 {
            sleep(options.pause).await;
        }
        match try_once(store, proposed, doubt.is_some()).await {
            Ok(Outcome::Applied { revision }) => {
                history::trim(store, revision, options.kept_revisions).await;
                return Ok(Outcome::Applied { revision });
            }
            Ok(Outcome::Conflict { current }) => return Ok(Outcome::Conflict { current }),
            Ok(Outcome::Uncertain { cause }) => doubt = Some(cause),
            Err(error) => {
                let is_final = !error.may_pass();
                refusal = error;
                if is_final {
                    break;
                }
            }
        }
    }
    // A doubt outweighs any later refusal: the doubted write may still take effect.
    match doubt {
        Some(cause) => Ok(Outcome::Uncertain { cause }),
        None => Err(refusal),
    }
}

/// Reads, and writes if the revision is still free.
async fn try_once(
    store: &impl Store,
    proposed: &ProposedEdit,
    in_doubt: bool,
) -> Result<Outcome, Error> {
    let found = read(store, CURRENT_KEY).await?;
    match place(store, proposed, found.as_ref(), in_doubt).await? {
        Place::Applied => return Ok(Outcome::Applied { revision: proposed.base + 1 }),
        Place::Behind => {
            let current = found.map(|(_, document)| Box::new(document));
            return Ok(Outcome::Conflict { current });
        }
        Place::Forgotten => {
            return Ok(Outcome::Uncertain { cause: UncertainCause::Timeout });
        }
        Place::Next => {}
    }
    match write(store, proposed, found.as_ref()).await? {
        WriteOutcome::Written { .. } => Ok(Outcome::Applied { revision: proposed.base + 1 }),
        WriteOutcome::Conflict { .. } => Err(Error::Moved),
        WriteOutcome::NotRun(cause) => Err(Error::NotRun(cause)),
        WriteOutcome::Uncertain(cause) => Ok(Outcome::Uncertain { cause }),
    }
}

/// Whether the proposed edit is in force or was.
enum Place {
    /// It is, or was.
    Applied,
    /// Another took its revision.
    Behind,
    /// Its revision is still free.
    Next,
    /// Its revision is no longer in the history.
    Forgotten,
}

/// Tells a lost answer from a lost race.
///
/// Failure: the write takes effect, its answer is lost, and a second editor
/// builds on it at once. To the first editor the store now holds someone
/// else's document at a later revision, as if the race were lost. An editor
/// copies the document it replaces to the history first, so the first edit's
/// id is found there.
async fn place(
    store: &impl Store,
    proposed: &ProposedEdit,
    found: Option<&(StoreEntry, ConfigDocument)>,
    in_doubt: bool,
) -> Result<Place, Error> {
    let revision = found.map_or(0, |(_, document)| document.revision);
    if revision < proposed.base {
        return Err(Error::Reverted(revision, proposed.base));
    }
    if revision == proposed.base {
        return Ok(Place::Next);
    }
    let own = proposed.base + 1;
    let holder = match found {
        Some((_, document)) if document.revision == own => Some(document.edit_id.clone()),
        _ => history::read(store, own).await?.map(|document| document.edit_id),
    };
    match holder {
        Some(edit_id) if edit_id == proposed.edit_id => Ok(Place::Applied),
        None if in_doubt => Ok(Place::Forgotten),
        _ => Ok(Place::Behind),
    }
}

/// Copies what is replaced to the history, then replaces it.
///
/// An earlier write of this edit that is still on its way expects the same
/// revision as this one, so only one of them can take effect.
async fn write(
    store: &impl Store,
    proposed: &ProposedEdit,
    found: Option<&(StoreEntry, ConfigDocument)>,
) -> Result<WriteOutcome, Error> {
    if let Some((entry, document)) = found {
        history::keep(store, document.revision, &entry.value).await?;
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
