//! `explain-log`: the story of one request from hosts' log lines, in plain words.

use std::path::Path;

use hawthorn_report::line;
use hawthorn_report::line::LogLine;

use crate::cli::ExplainLogOptions;
use crate::exit::CommandError;
use crate::exit::CommandExit;

/// Prints what happened to a request, host by host, in the order of the files.
pub(crate) fn explain_log(options: &ExplainLogOptions) -> Result<CommandExit, CommandError> {
    let mut found = false;
    for path in &options.files {
        let text = std::fs::read_to_string(path)
            .map_err(|error| CommandError::File(path.clone(), error))?;
        for told in story(&text, &host_name(path), &options.request) {
            println!("{told}");
            found = true;
        }
    }
    if found {
        return Ok(CommandExit::Success);
    }
    println!(
        "no line tells of {}: it went well and was not sampled, or these hosts had no part in it",
        options.request
    );
    Ok(CommandExit::Incomplete)
}

/// Of a host's own file, its name without the ending.
pub(crate) fn host_name(path: &Path) -> String {
    path.file_stem().map_or_else(String::new, |name| name.to_string_lossy().into_owned())
}

/// The lines of one request, in plain words.
pub(crate) fn story(text: &str, host: &str, request: &str) -> Vec<String> {
    line::lines(text, host)
        .filter(|line| line.value("request") == Some(request))
        .map(|line| tell(&line))
        .collect()
}

fn tell(line: &LogLine<'_>) -> String {
    let value = |name: &str| line.value(name).unwrap_or("?");
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
                "budget-spent" => "nobody else was asked, as the extra attempts were used up",
                "no-target" => "nobody else was asked, as there is no other target",
                "crowded" => "nobody else was asked, as queues stood everywhere",
                _ => "nobody else was asked: no target or no extra attempt was left",
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
        636 => format!("{host}:   without a part: {}", value("shards").replace(',', ", ")),
        634 => format!(
            "{host}:   part of a long answer had left when it broke off: {}",
            value("error")
        ),
        _ => format!("{host}:   event E{} {}", line.number, line.name),
    }
}
