//! Configuration commands: `check`, `apply`, `diff`, `history`, `import`.

use std::path::Path;
use std::path::PathBuf;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hawthorn_intent::check;
use hawthorn_intent::diff;
use hawthorn_intent::diff::ConfigView;
use hawthorn_intent::import;
use hawthorn_intent::inventory;
use hawthorn_intent::rules;
use hawthorn_store::StoreClient;
use hawthorn_store::client;
use hawthorn_store::edit;
use hawthorn_store::edit::ProposedEdit;

use crate::cli::ApplyOptions;
use crate::cli::CheckOptions;
use crate::cli::DiffOptions;
use crate::cli::HistoryOptions;
use crate::cli::ImportOptions;
use crate::exit::CommandError;
use crate::exit::CommandExit;
use crate::http;
use crate::route;

const INVENTORY_FILE: &str = "inventory.toml";
const RULES_FILE: &str = "rules.toml";
const SETTINGS_FILE: &str = "daemon.toml";

/// The contents of a configuration's two files.
struct ConfigTexts {
    inventory: String,
    rules: String,
}

fn read(path: PathBuf) -> Result<String, CommandError> {
    std::fs::read_to_string(&path).map_err(|error| CommandError::File(path, error))
}

fn read_texts(directory: &Path) -> Result<ConfigTexts, CommandError> {
    Ok(ConfigTexts {
        inventory: read(directory.join(INVENTORY_FILE))?,
        rules: read(directory.join(RULES_FILE))?,
    })
}

/// Runs `check` on the settings of `route`.
fn check_route(path: &PathBuf) -> Result<CommandExit, CommandError> {
    match route::read(path) {
        Ok(settings) => {
            println!("accepted: policy {}", settings.policy.summary());
            Ok(CommandExit::Success)
        }
        Err(error @ CommandError::Text(_)) => {
            println!("{error}");
            Ok(CommandExit::Refused)
        }
        Err(error) => Err(error),
    }
}

/// Runs `check`.
pub(crate) fn check(options: &CheckOptions) -> Result<CommandExit, CommandError> {
    if options.path.is_file() {
        return check_route(&options.path);
    }
    let texts = read_texts(&options.path)?;
    let settings = options.path.join(SETTINGS_FILE);
    let settings = settings.exists().then(|| read(settings)).transpose()?;
    let outcome = check::check(check::Inputs {
        settings: settings.as_deref(),
        inventory: &texts.inventory,
        rules: &texts.rules,
    });
    if options.json {
        let text = serde_json::to_string_pretty(&outcome.faults)
            .map_err(|error| CommandError::Text(error.to_string()))?;
        println!("{text}");
    } else {
        for fault in &outcome.faults {
            println!("{fault}");
        }
        let targets = outcome.inventory.targets.len();
        let services = outcome.inventory.services.len();
        let summary = if outcome.is_accepted() { "accepted" } else { "not accepted" };
        println!("{summary}: {services} services, {targets} targets");
    }
    Ok(if outcome.is_accepted() { CommandExit::Success } else { CommandExit::Refused })
}

fn client(platform: std::net::SocketAddr) -> StoreClient {
    let options = client::Options { seed: rand::random(), ..client::Options::default() };
    StoreClient::new(platform, options)
}

fn unreachable(platform: std::net::SocketAddr, error: impl std::fmt::Display) -> CommandError {
    CommandError::Unreachable(platform, error.to_string())
}

/// Runs `apply`.
pub(crate) fn apply(options: &ApplyOptions) -> Result<CommandExit, CommandError> {
    let texts = read_texts(&options.directory)?;
    let checked = check::check(check::Inputs {
        settings: None,
        inventory: &texts.inventory,
        rules: &texts.rules,
    });
    for fault in &checked.faults {
        println!("{fault}");
    }
    if !checked.is_accepted() {
        println!("not accepted; nothing was written");
        return Ok(CommandExit::Refused);
    }
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let edit_id =
        options.edit_id.clone().unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    let proposed = ProposedEdit {
        base: options.base,
        edit_id,
        author: options.author.clone(),
        changed_at: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
        inventory: texts.inventory,
        rules: texts.rules,
    };
    println!("edit {}", proposed.edit_id);
    let store = client(options.platform);
    let edit_options = edit::Options::default();
    let edit = edit::edit(&store, &proposed, &edit_options);
    let outcome =
        http::runtime()?.block_on(edit).map_err(|error| unreachable(options.platform, error))?;
    match outcome {
        edit::Outcome::Applied { revision } => {
            println!("revision {revision} is in force");
            Ok(CommandExit::Success)
        }
        edit::Outcome::Conflict { current } => {
            print_conflict(&proposed, current.as_deref());
            Ok(CommandExit::Refused)
        }
        edit::Outcome::Uncertain { .. } => {
            println!("unknown whether the edit was written; retry with the same --edit-id");
            Ok(CommandExit::Unknown)
        }
    }
}

fn print_conflict(proposed: &ProposedEdit, current: Option<&edit::ConfigDocument>) {
    let Some(current) = current else {
        println!("conflict: the store has no configuration; the first edit requires --base 0");
        return;
    };
    println!(
        "conflict: revision {} by {} is in force, but the edit is based on {}; nothing was written",
        current.revision, current.author, proposed.base
    );
    println!("from revision {} to this edit:", current.revision);
    let proposed_texts =
        ConfigTexts { inventory: proposed.inventory.clone(), rules: proposed.rules.clone() };
    println!("{}", compare(&current.inventory, &current.rules, &proposed_texts));
}

fn compare(old_inventory: &str, old_rules: &str, new: &ConfigTexts) -> diff::Outcome {
    let old = (inventory::read(old_inventory).inventory, rules::read(old_rules).rules);
    let new = (inventory::read(&new.inventory).inventory, rules::read(&new.rules).rules);
    diff::diff(
        ConfigView { inventory: &old.0, rules: &old.1 },
        ConfigView { inventory: &new.0, rules: &new.1 },
    )
}

/// Runs `diff`.
pub(crate) fn diff(options: &DiffOptions) -> Result<CommandExit, CommandError> {
    let texts = read_texts(&options.directory)?;
    let store = client(options.platform);
    let runtime = http::runtime()?;
    let found = match options.revision {
        Some(revision) => runtime.block_on(edit::history::read(&store, revision)),
        None => runtime.block_on(edit::current(&store)),
    };
    let found = found.map_err(|error| unreachable(options.platform, error))?;
    let (revision, inventory, rules) = match found {
        Some(document) => (document.revision, document.inventory, document.rules),
        None => (0, String::new(), String::new()),
    };
    let outcome = compare(&inventory, &rules, &texts);
    if options.json {
        let text = serde_json::to_string_pretty(&outcome.changes)
            .map_err(|error| CommandError::Text(error.to_string()))?;
        println!("{text}");
    } else {
        println!("from revision {revision}:");
        println!("{outcome}");
    }
    Ok(CommandExit::Success)
}

/// Runs `history`.
pub(crate) fn history(options: &HistoryOptions) -> Result<CommandExit, CommandError> {
    let store = client(options.platform);
    let runtime = http::runtime()?;
    let fail = |error: edit::Error| unreachable(options.platform, error);
    if let Some(revision) = options.revision {
        let found = runtime.block_on(edit::history::read(&store, revision)).map_err(fail)?;
        let found = match found {
            Some(found) => Some(found),
            None => runtime
                .block_on(edit::current(&store))
                .map_err(fail)?
                .filter(|current| current.revision == revision),
        };
        return show_revision(options, revision, found);
    }
    let current = runtime.block_on(edit::current(&store)).map_err(fail)?;
    let earlier = runtime
        .block_on(edit::history::list(&store))
        .map_err(|error| unreachable(options.platform, error))?;
    for revision in earlier {
        let found = runtime.block_on(edit::history::read(&store, revision)).map_err(fail)?;
        if let Some(document) = found {
            print_document(&document, "");
        }
    }
    if let Some(document) = current {
        print_document(&document, " in force");
    }
    Ok(CommandExit::Success)
}

fn print_document(document: &edit::ConfigDocument, note: &str) {
    let edit::ConfigDocument { revision, edit_id, author, changed_at, .. } = document;
    println!("{revision:>6} {changed_at} {author} edit {edit_id}{note}");
}

fn show_revision(
    options: &HistoryOptions,
    revision: u64,
    found: Option<edit::ConfigDocument>,
) -> Result<CommandExit, CommandError> {
    let Some(document) = found else {
        println!("revision {revision} is not in the store");
        return Ok(CommandExit::Refused);
    };
    print_document(&document, "");
    if let Some(directory) = &options.write {
        write(directory, INVENTORY_FILE, &document.inventory)?;
        write(directory, RULES_FILE, &document.rules)?;
    }
    Ok(CommandExit::Success)
}

fn write(directory: &Path, file: &str, text: &str) -> Result<(), CommandError> {
    let fail = |error| CommandError::File(directory.join(file), error);
    std::fs::create_dir_all(directory).map_err(fail)?;
    std::fs::write(directory.join(file), text).map_err(fail)
}

/// Runs `import`.
pub(crate) fn import(options: &ImportOptions) -> Result<CommandExit, CommandError> {
    let base = read(options.base.clone())?;
    let register = read(options.register.clone())?;
    let base = inventory::read(&base);
    let outcome = import::import(&register, &base.inventory, &import::Options::default())
        .map_err(|error| CommandError::Text(error.to_string()))?;
    print!("{}", outcome.toml);
    for row in &outcome.skipped {
        eprintln!("{row}");
    }
    for column in &outcome.ignored_columns {
        eprintln!("ignored column {column:?}");
    }
    let imported = outcome.inventory.targets.len();
    eprintln!("{imported} targets imported, {} rows skipped", outcome.skipped.len());
    Ok(CommandExit::Success)
}
