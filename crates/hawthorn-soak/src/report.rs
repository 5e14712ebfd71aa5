//! The files that a run with violations leaves behind.
//!
//! | file | holds |
//! |---|---|
//! | `plan.toml` | the plan, for `replay` |
//! | `history.json` | what callers, targets and the store saw |
//! | `violations.md` | each violation, with the request's path through targets and logs |
//! | `logs/` | the hosts' lines around the violations |

use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use quick_error::quick_error;

use crate::check::Violation;
use crate::history::RequestKey;
use crate::history::SoakHistory;
use crate::plan::SoakPlan;
use crate::run::RunOutcome;

/// Time before and after a violation whose log lines are kept.
const LOG_MARGIN: Duration = Duration::from_secs(5);
/// Number of violations whose paths are told.
const MAX_TOLD: usize = 20;
/// The plan, for `replay`.
pub const PLAN_FILE: &str = "plan.toml";
/// The violations with their paths.
pub const PAGE_FILE: &str = "violations.md";

quick_error! {
    /// Why a report cannot be written or read.
    #[derive(Debug)]
    pub enum Error {
        /// A file cannot be read or written.
        File(path: PathBuf, source: io::Error) {
            display("{}: {source}", path.display())
            source(source)
        }
        /// A plan cannot be parsed.
        Plan(path: PathBuf, source: toml::de::Error) {
            display("{}: {}", path.display(), source.message())
            source(source)
        }
        /// The history cannot be encoded.
        History(source: serde_json::Error) {
            display("the history cannot be written: {source}")
            source(source)
        }
    }
}

fn write(path: PathBuf, contents: impl AsRef<[u8]>) -> Result<(), Error> {
    fs::write(&path, contents).map_err(|source| Error::File(path, source))
}

/// Creates a directory and all above it.
///
/// # Errors
/// When it cannot be created.
pub fn create(directory: &Path) -> Result<(), Error> {
    fs::create_dir_all(directory).map_err(|source| Error::File(directory.to_owned(), source))
}

/// Reads the plan of a report.
///
/// # Errors
/// When the file is missing or no plan.
pub fn read_plan(directory: &Path) -> Result<SoakPlan, Error> {
    let path = directory.join(PLAN_FILE);
    let text = fs::read_to_string(&path).map_err(|source| Error::File(path.clone(), source))?;
    toml::from_str(&text).map_err(|source| Error::Plan(path, source))
}

/// Writes the report of a run. `logs` is the directory with the hosts' logs.
///
/// # Errors
/// When a file cannot be read or written.
pub fn save(
    directory: &Path,
    plan: &SoakPlan,
    outcome: &RunOutcome,
    logs: &Path,
) -> Result<(), Error> {
    create(&directory.join("logs"))?;
    write(directory.join(PLAN_FILE), plan_text(plan))?;
    let history = serde_json::to_vec(&outcome.history).map_err(Error::History)?;
    write(directory.join("history.json"), history)?;
    let lines = read_logs(&outcome.history, logs)?;
    let windows = windows(&outcome.violations);
    let start = outcome.history.log_start;
    for (host, lines) in &lines {
        let near = lines.iter().filter(|line| {
            let at = line_time(line).map(|at| at - start);
            at.is_some_and(|at| windows.iter().any(|(from, until)| (*from..=*until).contains(&at)))
        });
        let text: String = near.map(|line| format!("{line}\n")).collect();
        write(directory.join("logs").join(format!("{host}.log")), text)?;
    }
    write(directory.join(PAGE_FILE), page(plan, outcome, &lines))
}

/// A plan as TOML.
pub fn plan_text(plan: &SoakPlan) -> String {
    toml::to_string(plan).expect("a plan is plain data")
}

fn read_logs(history: &SoakHistory, logs: &Path) -> Result<BTreeMap<String, Vec<String>>, Error> {
    let read = |host: &String| {
        let path = logs.join(format!("{host}.log"));
        // A killed process may leave half a character.
        let bytes = fs::read(&path).map_err(|source| Error::File(path, source))?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        Ok((host.clone(), text.lines().map(str::to_owned).collect()))
    };
    history.hosts.iter().map(read).collect()
}

/// The time of a host's log line, by its own clock.
pub(crate) fn line_time(line: &str) -> Option<f64> {
    line.split(' ').next()?.parse().ok()
}

/// The times, in seconds, around the violations.
fn windows(violations: &[Violation]) -> Vec<(f64, f64)> {
    let margin = LOG_MARGIN.as_secs_f64();
    let around = violations.iter().map(|violation| violation.at.as_secs_f64());
    around.map(|at| (at - margin, at + margin)).collect()
}

fn page(plan: &SoakPlan, outcome: &RunOutcome, lines: &BTreeMap<String, Vec<String>>) -> String {
    let mut page = format!("# Seed {}\n\n", plan.seed);
    for violation in &outcome.violations {
        add(&mut page, format_args!("- {violation}\n"));
    }
    for violation in outcome.violations.iter().take(MAX_TOLD) {
        add(&mut page, format_args!("\n## {violation}\n\n"));
        let at = violation.at;
        let near = outcome.history.disruptions.iter().filter(|disruption| {
            disruption.from <= at + LOG_MARGIN && disruption.until + LOG_MARGIN >= at
        });
        for disruption in near {
            let host =
                disruption.host.map_or("all hosts".to_owned(), |host| format!("host {}", host.0));
            add(
                &mut page,
                format_args!(
                    "- {} of {host} from {:.3} s to {:.3} s\n",
                    disruption.cause,
                    disruption.from.as_secs_f64(),
                    disruption.until.as_secs_f64()
                ),
            );
        }
        if let Some(request) = violation.request {
            add_path(&mut page, &outcome.history, request, lines);
        }
    }
    page
}

/// Tells what caller, targets and hosts recorded of a request.
fn add_path(
    page: &mut String,
    history: &SoakHistory,
    request: RequestKey,
    lines: &BTreeMap<String, Vec<String>>,
) {
    if let Some(sent) = history.request(request) {
        add(page, format_args!("\nThe caller:\n\n    {sent:?}\n"));
    }
    add(page, format_args!("\nThe targets:\n\n"));
    for arrival in history.arrivals.iter().filter(|arrival| arrival.request == Some(request)) {
        let service = history.service(arrival.target);
        add(page, format_args!("    {service} {arrival:?}\n"));
    }
    add(page, format_args!("\nThe hosts, in seconds since the start of the run:\n\n"));
    let id = request.attempt_id();
    let mut told: Vec<(f64, String)> = Vec::new();
    for (host, lines) in lines {
        for line in lines.iter().filter(|line| line.contains(&id)) {
            let at = line_time(line).unwrap_or_default() - history.log_start;
            told.push((at, format!("    {at:.3} {host} {line}\n")));
        }
    }
    told.sort_by(|(left, _), (right, _)| left.total_cmp(right));
    told.iter().for_each(|(_, line)| page.push_str(line));
}

fn add(page: &mut String, text: std::fmt::Arguments<'_>) {
    page.write_fmt(text).expect("writing to a string does not fail");
}
