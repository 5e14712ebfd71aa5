//! Commands that query a running host: `query`, `request`, `status`, `explain`.

use std::time::Duration;

use hawthorn_daemon::request::status::FleetReport;
use hawthorn_types::CallerAnswer;
use hawthorn_types::CallerOutcome;
use hawthorn_types::KeyRange;
use hawthorn_types::OnceRequest;
use hawthorn_types::SearchQuery;
use hawthorn_types::UrgencyClass;
use hyper::Method;
use hyper::StatusCode;

use crate::cli::ExplainOptions;
use crate::cli::QueryOptions;
use crate::cli::RequestOptions;
use crate::cli::StatusOptions;
use crate::exit::CommandError;
use crate::exit::CommandExit;
use crate::http;

/// Runs `query`.
pub(crate) fn query(options: &QueryOptions) -> Result<CommandExit, CommandError> {
    let query = SearchQuery {
        caller: options.caller.clone(),
        service: options.service.clone(),
        text: options.text.clone(),
        range: options.range.as_deref().map(parse_range).transpose()?,
        limit: options.limit,
        deadline_ms: options.deadline_ms,
        urgency: if options.normal { UrgencyClass::Normal } else { UrgencyClass::Urgent },
        request_id: options.id.clone(),
    };
    let body = serde_json::to_vec(&query).expect("a query has only string keys");
    let answer = post(options.at, "/v1/query", body, options.deadline_ms)?;
    print(&answer, options.json);
    Ok(exit_code(&answer))
}

/// Runs `request`.
pub(crate) fn request(options: &RequestOptions) -> Result<CommandExit, CommandError> {
    let request = OnceRequest {
        caller: options.caller.clone(),
        service: options.service.clone(),
        key: options.key,
        body: options.body.clone(),
        deadline_ms: options.deadline_ms,
        request_id: options.id.clone(),
    };
    let body = serde_json::to_vec(&request).expect("a request has only string keys");
    let answer = post(options.at, "/v1/request", body, options.deadline_ms)?;
    print(&answer, options.json);
    Ok(exit_code(&answer))
}

fn parse_range(text: &str) -> Result<KeyRange, CommandError> {
    let parsed = text.split_once("..").and_then(|(start, end)| {
        Some(KeyRange::new(start.trim().parse().ok()?, end.trim().parse().ok()?))
    });
    parsed.ok_or_else(|| CommandError::Text(format!("invalid range {text:?}, expected START..END")))
}

fn post(
    at: std::net::SocketAddr,
    path: &str,
    body: Vec<u8>,
    deadline_ms: u64,
) -> Result<CallerAnswer, CommandError> {
    let timeout = Duration::from_millis(deadline_ms) + http::ANSWER_GRACE;
    let call = http::call(at, Method::POST, path, body, timeout);
    let (_, bytes) = http::runtime()?.block_on(call)?;
    serde_json::from_slice(&bytes).map_err(|error| {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        CommandError::Text(format!("invalid answer from the host ({error}): {text}"))
    })
}

/// The exit code for an answer.
fn exit_code(answer: &CallerAnswer) -> CommandExit {
    match answer.outcome {
        CallerOutcome::NotRun(_) => CommandExit::Refused,
        CallerOutcome::Unknown(_) => CommandExit::Unknown,
        CallerOutcome::Failed(_) => CommandExit::Failed,
        CallerOutcome::Answer => match &answer.coverage {
            Some(coverage) if !coverage.missing.is_empty() => CommandExit::Incomplete,
            _ => CommandExit::Success,
        },
    }
}

fn print(answer: &CallerAnswer, json: bool) {
    if json {
        let text = serde_json::to_string_pretty(answer).expect("an answer has only string keys");
        println!("{text}");
    } else {
        print!("{}", describe(answer));
    }
}

/// Formats an answer as human-readable text.
pub(crate) fn describe(answer: &CallerAnswer) -> String {
    use std::fmt::Write;

    let mut text = String::new();
    let mut line = |args: std::fmt::Arguments<'_>| {
        writeln!(text, "{args}").expect("writing to a string does not fail");
    };
    match answer.outcome {
        CallerOutcome::Answer => line(format_args!("answer")),
        CallerOutcome::NotRun(reason) => line(format_args!("not run: {reason}")),
        CallerOutcome::Unknown(reason) => line(format_args!("unknown whether it ran: {reason}")),
        CallerOutcome::Failed(reason) => line(format_args!("ran and failed: {reason}")),
    }
    if let Some(after) = answer.retry_after_ms {
        line(format_args!("retry after {after} ms"));
    }
    if let Some(result) = &answer.result {
        line(format_args!("result: {result}"));
    }
    if let Some(coverage) = &answer.coverage {
        let shown = answer.matches.len();
        let total = answer.total;
        for document in &answer.matches {
            line(format_args!("  {:<14} {}", document.id, document.text));
        }
        line(format_args!("{shown} of {total} matches shown"));
        line(format_args!("coverage: {:.4} of the requested keys", coverage.fraction));
        for missing in &coverage.missing {
            line(format_args!("  missing {}: {}", missing.range, missing.reason));
        }
    }
    if let Some(version) = answer.index_version {
        line(format_args!("index version {}", version.0));
    }
    let stamp = answer.configuration;
    let age = match stamp.age_ms {
        u64::MAX => "not confirmed".to_owned(),
        age => format!("confirmed {age} ms ago"),
    };
    line(format_args!("configuration {} ({age}), {} ms", stamp.revision.0, answer.elapsed_ms));
    text
}

/// Runs `status`.
pub(crate) fn status(options: &StatusOptions) -> Result<CommandExit, CommandError> {
    let call = http::call(options.at, Method::GET, "/v1/status", Vec::new(), http::DEFAULT_TIMEOUT);
    let (_, bytes) = http::runtime()?.block_on(call)?;
    if options.json {
        println!("{}", String::from_utf8_lossy(&bytes));
        return Ok(CommandExit::Success);
    }
    let report: FleetReport = serde_json::from_slice(&bytes)
        .map_err(|error| CommandError::Text(format!("invalid status response: {error}")))?;
    print!("{}", describe_fleet(&report));
    Ok(CommandExit::Success)
}

fn describe_fleet(report: &FleetReport) -> String {
    use std::fmt::Write;

    let mut text = String::new();
    let mut line = |args: std::fmt::Arguments<'_>| {
        writeln!(text, "{args}").expect("writing to a string does not fail");
    };
    let ready = report.not_ready.as_deref().unwrap_or("ready");
    line(format_args!("host {} in {}: {ready}", report.host, report.zone));
    let author = report.author.as_deref().unwrap_or("nobody");
    line(format_args!("configuration {} by {author}", report.configuration.revision.0));
    for alarm in &report.alarms {
        line(format_args!("ALARM {alarm}"));
    }
    for zone in &report.lost_zones {
        line(format_args!("zone {zone} is unreachable"));
    }
    line(format_args!("hosts:"));
    for host in &report.hosts {
        line(format_args!(
            "  {:<12} {:<12} {:<22} {:<8} {:<8} revision {}",
            host.zone, host.host, host.peer, host.phase, host.health, host.revision
        ));
    }
    let wanted = report.wanted.iter().map(|(state, count)| format!("{count} {state}"));
    line(format_args!("targets wanted: {}", wanted.collect::<Vec<_>>().join(", ")));
    line(format_args!(
        "owned by this host: {} targets, {} slots in use, {} pieces queued",
        report.owned_targets, report.slots_in_use, report.queued
    ));
    for drift in &report.drift {
        line(format_args!(
            "drift: {} is wanted {} and is {} ({} ms): {}{}",
            drift.target,
            drift.wanted,
            drift.seen,
            drift.since_ms,
            drift.cause,
            drift.held_for.as_ref().map(|shard| format!(" {shard}")).unwrap_or_default()
        ));
    }
    for shard in &report.uncovered {
        line(format_args!("no usable replica: {shard}"));
    }
    text
}

/// Runs `explain`.
pub(crate) fn explain(options: &ExplainOptions) -> Result<CommandExit, CommandError> {
    let path = format!("/v1/explain?target={}", options.target);
    let call = http::call(options.at, Method::GET, &path, Vec::new(), http::DEFAULT_TIMEOUT);
    let (status, bytes) = http::runtime()?.block_on(call)?;
    print!("{}", String::from_utf8_lossy(&bytes));
    Ok(if status == StatusCode::OK { CommandExit::Success } else { CommandExit::Refused })
}
