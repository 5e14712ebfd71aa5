//! HTML page with the charts and tables of a run.

use std::collections::BTreeSet;

use crate::chart;
use crate::chart::ChartSeries;
use crate::chart::LineChart;
use crate::scrape;
use crate::scrape::MetricsScrape;
use crate::timeline;
use crate::timeline::NamedCounts;
use crate::timeline::RunTimeline;

pub use crate::chart::Error;

/// Maximum number of targets in the table of failed attempts.
const MAX_TARGETS: usize = 25;
/// Maximum number of shards in the table of missing shards.
const MAX_SHARDS: usize = 40;
/// Maximum number of annotations in their table.
const MAX_ANNOTATIONS: usize = 200;
/// Maximum number of series in a chart; more would not be distinguishable.
const MAX_SERIES: usize = 8;
/// Counters whose rates are charted from saved metrics.
const CHARTED_COUNTERS: [&str; 4] = [
    "hawthorn_route_requests_total",
    "hawthorn_route_refusals_total",
    "hawthorn_route_attempts_total",
    "hawthorn_route_store_calls_total",
];

/// Contents of a page.
#[derive(Clone, Debug)]
pub struct PageInput<'a> {
    /// Title of the page.
    pub title: &'a str,
    /// The run's timeline, from its log lines.
    pub timeline: &'a RunTimeline,
    /// Saved metrics, by host.
    pub scrapes: &'a [(String, Vec<MetricsScrape>)],
}

/// Renders the page.
///
/// # Errors
/// If a chart cannot be rendered.
pub fn page(input: &PageInput<'_>) -> Result<String, Error> {
    let mut html = String::new();
    let title = escape(input.title);
    push(&mut html, &format!("<!doctype html><meta charset=\"utf-8\"><title>{title}</title>"));
    push(&mut html, STYLE);
    push(&mut html, &format!("<h1>{title}</h1>"));
    let timeline = input.timeline;
    if let Some((begin, end)) = timeline.span() {
        let span = (begin as f64, end as f64 + 1.0);
        push(
            &mut html,
            &format!(
                "<p>Seconds {begin} to {end}. Grey lines: start or stop of a host, loss or recovery \
                 of a zone or of the store.</p>"
            ),
        );
        let annotations: Vec<f64> =
            timeline.annotations.iter().map(|annotation| annotation.at).collect();
        for chart in charts(timeline, span, &annotations) {
            push(&mut html, &chart::render(&chart)?);
        }
    } else {
        push(&mut html, "<p>No lines of requests or state changes found.</p>");
    }
    for (host, scrapes) in input.scrapes {
        for chart in counters(scrapes) {
            let title = format!("{host}: {}", chart.title);
            push(&mut html, &chart::render(&LineChart { title: &title, ..chart })?);
        }
    }
    missing(&mut html, timeline);
    worst_targets(&mut html, timeline);
    annotations(&mut html, timeline);
    events(&mut html, timeline);
    Ok(html)
}

const STYLE: &str = "<style>body{font:14px sans-serif;margin:16px}svg{display:block}\
    table{border-collapse:collapse;margin:12px 0}td,th{border:1px solid #ccc;padding:2px 8px;\
    text-align:left}</style>";

fn push(html: &mut String, text: &str) {
    html.push_str(text);
    html.push('\n');
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn charts<'a>(
    timeline: &RunTimeline,
    span: (f64, f64),
    annotations: &'a [f64],
) -> Vec<LineChart<'a>> {
    let chart = |title, unit, series| LineChart { title, unit, span, series, annotations };
    vec![
        chart("Requests by outcome", "per second", series(&timeline.outcomes, span)),
        chart("Request latency by route", "ms", latencies(timeline)),
        chart(
            "Attempts without an answer, by end",
            "per second",
            series(&timeline.failed_attempts, span),
        ),
        chart("State changes", "per second", series(&timeline.state_changes, span)),
        chart("Configuration versions in force", "version", versions(timeline)),
    ]
}

/// One line for each of the names with the highest totals; seconds without a count are zero.
fn series(counts: &NamedCounts, span: (f64, f64)) -> Vec<ChartSeries> {
    let names: BTreeSet<&String> = counts.values().flat_map(|second| second.keys()).collect();
    let total =
        |name: &String| -> f64 { counts.values().filter_map(|second| second.get(name)).sum() };
    let mut names: Vec<&String> = names.into_iter().collect();
    names.sort_by(|a, b| total(b).total_cmp(&total(a)).then(a.cmp(b)));
    names.truncate(MAX_SERIES);
    let seconds = (span.0 as i64)..(span.1 as i64);
    let points = |name: &String| {
        let at = |second: i64| counts.get(&second).and_then(|second| second.get(name)).copied();
        seconds.clone().map(|second| (second as f64, at(second).unwrap_or(0.0))).collect()
    };
    names.iter().map(|name| ChartSeries { name: (*name).clone(), points: points(name) }).collect()
}

fn latencies(timeline: &RunTimeline) -> Vec<ChartSeries> {
    let quantile = |route: &str, share: f64, label: &str| ChartSeries {
        name: format!("{route} {label}"),
        points: timeline.latencies[route]
            .iter()
            .filter_map(|(second, latencies)| {
                Some((*second as f64, timeline::quantile(latencies, share)?))
            })
            .collect(),
    };
    let mut routes: Vec<&String> = timeline.latencies.keys().collect();
    let weight =
        |route: &String| -> usize { timeline.latencies[route].values().map(Vec::len).sum() };
    routes.sort_by_key(|route| std::cmp::Reverse(weight(route)));
    let routes = routes.into_iter().take(MAX_SERIES / 2);
    routes.flat_map(|route| [quantile(route, 0.5, "p50"), quantile(route, 0.99, "p99")]).collect()
}

fn versions(timeline: &RunTimeline) -> Vec<ChartSeries> {
    let line = |name: &str, pick: fn(&(u64, u64)) -> u64| ChartSeries {
        name: name.to_owned(),
        points: timeline
            .versions
            .iter()
            .map(|(second, versions)| (*second as f64, pick(versions) as f64))
            .collect(),
    };
    vec![line("least", |versions| versions.0), line("greatest", |versions| versions.1)]
}

fn counters(scrapes: &[MetricsScrape]) -> Vec<LineChart<'static>> {
    let Some((first, last)) = scrapes.first().zip(scrapes.last()) else { return Vec::new() };
    let chart = |counter: &'static str| {
        let rates = scrape::rates(scrapes, counter);
        let series = rates.into_iter().take(MAX_SERIES).map(|(name, rates)| ChartSeries {
            name: name.trim_start_matches(counter).to_owned(),
            points: rates.iter().map(|rate| (rate.at, rate.rate)).collect(),
        });
        let span = (first.at, last.at);
        LineChart {
            title: counter,
            unit: "per second",
            span,
            series: series.collect(),
            annotations: &[],
        }
    };
    CHARTED_COUNTERS.into_iter().map(chart).filter(|chart| !chart.series.is_empty()).collect()
}

fn missing(html: &mut String, timeline: &RunTimeline) {
    push(html, "<h2>Shards missing from answers</h2>");
    push(html, "<table><tr><th>shard<th>reason<th>answers");
    let mut missing: Vec<_> = timeline.missing.iter().collect();
    missing.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
    for ((shard, reason), count) in missing.into_iter().take(MAX_SHARDS) {
        push(html, &format!("<tr><td>{}<td>{}<td>{count}", escape(shard), escape(reason)));
    }
    push(html, "</table>");
}

fn worst_targets(html: &mut String, timeline: &RunTimeline) {
    let worst = timeline.worst_targets(MAX_TARGETS);
    push(html, "<h2>Targets with the most attempts without an answer</h2>");
    push(html, "<table><tr><th>target<th>service<th>zone<th>ends<th>reported by hosts");
    for (target, attempts) in worst {
        let by_end: Vec<String> =
            attempts.ends.iter().map(|(end, count)| format!("{end} {count}")).collect();
        push(
            html,
            &format!(
                "<tr><td>{}<td>{}<td>{}<td>{}<td>{}",
                escape(target),
                escape(&attempts.service),
                escape(&attempts.zone),
                escape(&by_end.join(", ")),
                attempts.hosts.len()
            ),
        );
    }
    push(html, "</table>");
}

fn annotations(html: &mut String, timeline: &RunTimeline) {
    push(html, "<h2>State changes of hosts and their dependencies</h2><table>");
    let mut annotations = timeline.annotations.clone();
    annotations.sort_by(|a, b| a.at.total_cmp(&b.at));
    for annotation in annotations.iter().take(MAX_ANNOTATIONS) {
        push(html, &format!("<tr><td>{:.3}<td>{}", annotation.at, escape(&annotation.description)));
    }
    push(html, "</table>");
    if annotations.len() > MAX_ANNOTATIONS {
        push(html, &format!("<p>{} more are not listed.</p>", annotations.len() - MAX_ANNOTATIONS));
    }
}

fn events(html: &mut String, timeline: &RunTimeline) {
    push(html, "<h2>Log lines by event</h2><table>");
    for ((number, name), count) in &timeline.events {
        push(html, &format!("<tr><td>E{number}<td>{}<td>{count}", escape(name)));
    }
    push(html, "</table>");
}
