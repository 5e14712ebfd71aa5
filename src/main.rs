//! hawthornroute: a query tier over many shards.
//!
//! The binary parses the command line and prints results; the crates of the workspace
//! implement everything else.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

mod cli;
mod configure;
#[cfg(feature = "demo")]
mod demo;
mod examine;
mod exit;
mod explain_log;
mod http;
#[cfg(feature = "report")]
mod report;
mod route;
mod serve;

use std::process::ExitCode;

fn main() -> ExitCode {
    let command = cli::command().run();
    let outcome = match command {
        cli::CliCommand::Serve(options) => serve::serve(&options),
        cli::CliCommand::Route(options) => route::route(&options),
        cli::CliCommand::ExplainLog(options) => explain_log::explain_log(&options),
        #[cfg(feature = "report")]
        cli::CliCommand::Report(options) => report::report(&options),
        #[cfg(not(feature = "report"))]
        cli::CliCommand::Report(options) => Err(exit::CommandError::Text(format!(
            "cannot write {}: this build has no reports; rebuild it with --features report",
            options.out.display()
        ))),
        cli::CliCommand::Check(options) => configure::check(&options),
        cli::CliCommand::Query(options) => examine::query(&options),
        cli::CliCommand::Request(options) => examine::request(&options),
        cli::CliCommand::Status(options) => examine::status(&options),
        cli::CliCommand::Explain(options) => examine::explain(&options),
        cli::CliCommand::Apply(options) => configure::apply(&options),
        cli::CliCommand::Diff(options) => configure::diff(&options),
        cli::CliCommand::History(options) => configure::history(&options),
        cli::CliCommand::Import(options) => configure::import(&options),
        #[cfg(feature = "demo")]
        cli::CliCommand::Demo => demo::demo(),
    };
    match outcome {
        Ok(code) => code.into(),
        Err(error) => {
            eprintln!("hawthornroute: {error}");
            error.code().into()
        }
    }
}
