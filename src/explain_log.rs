//! `explain-log`: describes one request from hosts' log lines.

use std::path::Path;

use hawthorn_report::line;
use hawthorn_report::line::LogLine;

use crate::cli::ExplainLogOptions;
use crate::exit::CommandError;
use crate::exit::CommandExit;

/// Runs `explain-log`: prints the events of a request by host, in the order of the files.
pub(crate) fn explain_log(options: &ExplainLogOptions) -> Result<CommandExit, CommandError> {
    let mut found = false;
    for path in &options.files {
        let text = std::fs::read_to_string(path)
            .map_err(|error| CommandError::File(path.clone(), error))?;
        for description in describe(&text, &host_name(path), &options.request) {
            println!("{description}");
            found = true;
        }
    }
    if found {
        return Ok(CommandExit::Success);
    }
    println!(
        "no line tells of {}: it succeeded and was not sampled, was refused for its key or before \
         its body was read, or none of these hosts handled it",
        options.request
    );
    Ok(CommandExit::Incomplete)
}

/// The name of a host from its log file: the file name without extension.
pub(crate) fn host_name(path: &Path) -> String {
    path.file_stem().map_or_else(String::new, |name| name.to_string_lossy().into_owned())
}

/// Describes the events of one request.
pub(crate) fn describe(text: &str, host: &str, request: &str) -> Vec<String> {
    line::lines(text, host)
        .filter(|line| line.value("request") == Some(request))
        .map(|line| describe_event(&line))
        .collect()
}

fn describe_event(line: &LogLine<'_>) -> String {
    let value = |key: &str| line.value(key).unwrap_or("?");
    let host = line.host;
    match line.number {
        630 => format!(
            "{host}: the request on route {} by version {} ended after {} ms: {} (status {}), \
             {} of its parts, {} ms left",
            value("route"),
            value("version"),
            value("ms"),
            value("outcome"),
            value("status"),
            value("parts"),
            value("left_ms")
        ),
        631 => format!(
            "{host}:   sent to {} of {} in {} at {} ms: {} after {} ms; it had {} requests and \
             was {} times as slow as usual",
            value("target"),
            value("service"),
            value("zone"),
            value("at_ms"),
            value("end"),
            value("took_ms"),
            value("load"),
            value("speed")
        ),
        632 => format!(
            "{host}:   {} was late after {} ms: {}",
            value("service"),
            value("after_ms"),
            match value("decision") {
                "second-attempt" => "another target was asked",
                "budget-spent" => "no second attempt, as the retry budget was exhausted",
                "no-target" => "no second attempt, as there is no other target",
                "crowded" => "no second attempt, as every target had a queue",
                _ => "no second attempt: no other target or no retry budget",
            }
        ),
        633 => format!(
            "{host}:   {} shards were gathered by {} in {}: {} after {} ms",
            value("shards"),
            value("peer"),
            value("zone"),
            value("outcome"),
            value("took_ms")
        ),
        639 => format!(
            "{host}:   {} sent the answer to {} (status {}) in place of this one's",
            value("target"),
            value("answered"),
            value("status")
        ),
        636 => format!("{host}:   missing parts: {}", value("shards").replace(',', ", ")),
        634 => {
            format!("{host}:   the answer broke off after part of it was sent: {}", value("error"))
        }
        _ => format!("{host}:   event E{} {}", line.number, line.name),
    }
}
