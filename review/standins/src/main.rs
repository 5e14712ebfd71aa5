//! Drives one case of the review: starts the stand-ins and the hosts, plays the traffic, writes
//! the record and checks the rule. Exits with 0 if it held, 1 if it was broken, 2 if the case
//! could not run.

mod customer_returns;
mod extra_answer;
mod host;
mod http;
mod json;
mod record;
mod stop_unanswered;
mod store;
mod target;

use std::path::PathBuf;
use std::process::ExitCode;

/// What a case is given.
pub struct Arguments {
    /// `target/release/hawthornroute`.
    pub program: PathBuf,
    /// A temporary folder for settings and logs.
    pub folder: PathBuf,
    /// `record.txt` of the case.
    pub record: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

pub type CaseResult = Result<bool, Box<dyn std::error::Error>>;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, program, folder, record] = words.as_slice() else {
        eprintln!("usage: review-standins CASE PROGRAM FOLDER RECORD");
        return ExitCode::from(2);
    };
    let arguments = Arguments {
        program: PathBuf::from(program),
        folder: PathBuf::from(folder),
        record: PathBuf::from(record),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let held = match case.as_str() {
        "extra-answer" => extra_answer::run(&arguments),
        "customer-returns" => customer_returns::run(&arguments),
        "stop-unanswered" => stop_unanswered::run(&arguments),
        _ => Err("unknown case".into()),
    };
    match held {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
