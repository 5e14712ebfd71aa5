//! One HTML page with a run's drawings and tables.

use std::collections::BTreeSet;

use crate::draw;
use crate::draw::Drawing;
use crate::draw::DrawnSeries;
use crate::scrape;
use crate::scrape::MetricsScrape;
use crate::timeline;
use crate::timeline::NamedCounts;
use crate::timeline::RunTimeline;

pub use crate::draw::Error;

/// Targets in the table of the worst.
const WORST_TARGETS: usize = 25;
/// Shards in the table of what was missing.
const LISTED_SHARDS: usize = 40;
/// Marks that are listed.
const LISTED_MARKS: usize = 200;
/// Series of one drawing; more are not told apart.
const MOST_SERIES: usize = 8;
/// Counters whose rates are drawn from saved metrics.
const DRAWN_COUNTERS: [&str; 4] = [
    "hawthorn_route_requests_total",
    "hawthorn_route_refusals_total",
    "hawthorn_route_attempts_total",
    "hawthorn_route_store_calls_total",
];

/// What a page is made of.
#[derive(Clone, Debug)]
pub struct PageInput<'a> {
    /// What the page is called.
    pub title: &'a str,
    /// The run by its log lines.
    pub timeline: &'a RunTimeline,
    /// Saved metrics, by host.
    pub scrapes: &'a [(String, Vec<MetricsScrape>)],
}

/// Writes the page.
///
/// # Errors
/// When a drawing fails.
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
                "<p>Seconds {begin} to {end}. Grey lines: hosts that start or stop, zones cut off \
                 or back, the store lost or back.</p>"
            ),
        );
        let marks: Vec<f64> = timeline.annotations.iter().map(|mark| mark.at).collect();
        for drawing in drawings(timeline, span, &marks) {
            push(&mut html, &draw::draw(&drawing)?);
        }
    } else {
        push(&mut html, "<p>No line of a request or of a belief was found.</p>");
    }
    for (host, scrapes) in input.scrapes {
        for drawing in counters(scrapes) {
            let title = format!("{host}: {}", drawing.title);
            push(&mut html, &draw::draw(&Drawing { title: &title, ..drawing })?);
        }
    }
    missing(&mut html, timeline);
    worst_targets(&mut html, timeline);
    marks(&mut html, timeline);
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

fn drawings<'a>(timeline: &RunTimeline, span: (f64, f64), marks: &'a [f64]) -> Vec<Drawing<'a>> {
    let drawing = |title, unit, series| Drawing { title, unit, span, series, marks };
    vec![
        drawing("Requests by outcome", "a second", series(&timeline.outcomes, span)),
        drawing("Time of requests by route", "ms", times(timeline)),
        drawing(
            "Attempts without an answer, by end",
            "a second",
            series(&timeline.failed_attempts, span),
        ),
        drawing("Changes of beliefs", "a second", series(&timeline.state_changes, span)),
        drawing("Versions in force", "version", versions(timeline)),
    ]
}

/// A line for each name, zero where nothing was counted; the largest names only.
fn series(counts: &NamedCounts, span: (f64, f64)) -> Vec<DrawnSeries> {
    let names: BTreeSet<&String> = counts.values().flat_map(|second| second.keys()).collect();
    let total =
        |name: &String| -> f64 { counts.values().filter_map(|second| second.get(name)).sum() };
    let mut names: Vec<&String> = names.into_iter().collect();
    names.sort_by(|a, b| total(b).total_cmp(&total(a)).then(a.cmp(b)));
    names.truncate(MOST_SERIES);
    let seconds = (span.0 as i64)..(span.1 as i64);
    let points = |name: &String| {
        let at = |second: i64| counts.get(&second).and_then(|second| second.get(name)).copied();
        seconds.clone().map(|second| (second as f64, at(second).unwrap_or(0.0))).collect()
    };
    names.iter().map(|name| DrawnSeries { name: (*name).clone(), points: points(name) }).collect()
}

fn times(timeline: &RunTimeline) -> Vec<DrawnSeries> {
    let quantile = |route: &str, share: f64, label: &str| DrawnSeries {
        name: format!("{route} {label}"),
        points: timeline.latencies[route]
            .iter()
            .filter_map(|(second, times)| Some((*second as f64, timeline::quantile(times, share)?)))
            .collect(),
    };
    let mut routes: Vec<&String> = timeline.latencies.keys().collect();
    let weight =
        |route: &String| -> usize { timeline.latencies[route].values().map(Vec::len).sum() };
    routes.sort_by_key(|route| std::cmp::Reverse(weight(route)));
    let routes = routes.into_iter().take(MOST_SERIES / 2);
    routes.flat_map(|route| [quantile(route, 0.5, "p50"), quantile(route, 0.99, "p99")]).collect()
}

fn versions(timeline: &RunTimeline) -> Vec<DrawnSeries> {
    let line = |name: &str, pick: fn(&(u64, u64)) -> u64| DrawnSeries {
        name: name.to_owned(),
        points: timeline
            .versions
            .iter()
            .map(|(second, versions)| (*second as f64, pick(versions) as f64))
            .collect(),
    };
    vec![line("least", |versions| versions.0), line("greatest", |versions| versions.1)]
}

fn counters(scrapes: &[MetricsScrape]) -> Vec<Drawing<'static>> {
    let Some((first, last)) = scrapes.first().zip(scrapes.last()) else { return Vec::new() };
    let drawn = |counter: &'static str| {
        let rates = scrape::rates(scrapes, counter);
        let series = rates.into_iter().take(MOST_SERIES).map(|(name, rates)| DrawnSeries {
            name: name.trim_start_matches(counter).to_owned(),
            points: rates.iter().map(|rate| (rate.at, rate.rate)).collect(),
        });
        let span = (first.at, last.at);
        Drawing { title: counter, unit: "a second", span, series: series.collect(), marks: &[] }
    };
    DRAWN_COUNTERS.into_iter().map(drawn).filter(|drawing| !drawing.series.is_empty()).collect()
}

fn missing(html: &mut String, timeline: &RunTimeline) {
    push(html, "<h2>Shards that answers were given without</h2>");
    push(html, "<table><tr><th>shard<th>why<th>answers");
    let mut missing: Vec<_> = timeline.missing.iter().collect();
    missing.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
    for ((shard, why), count) in missing.into_iter().take(LISTED_SHARDS) {
        push(html, &format!("<tr><td>{}<td>{}<td>{count}", escape(shard), escape(why)));
    }
    push(html, "</table>");
}

fn worst_targets(html: &mut String, timeline: &RunTimeline) {
    let worst = timeline.worst_targets(WORST_TARGETS);
    push(html, "<h2>Targets whose attempts ended without an answer most often</h2>");
    push(html, "<table><tr><th>target<th>service<th>zone<th>ends<th>seen by hosts");
    for (target, ends) in worst {
        let told: Vec<String> =
            ends.ends.iter().map(|(end, count)| format!("{end} {count}")).collect();
        push(
            html,
            &format!(
                "<tr><td>{}<td>{}<td>{}<td>{}<td>{}",
                escape(target),
                escape(&ends.service),
                escape(&ends.zone),
                escape(&told.join(", ")),
                ends.hosts.len()
            ),
        );
    }
    push(html, "</table>");
}

fn marks(html: &mut String, timeline: &RunTimeline) {
    push(html, "<h2>What happened to hosts and their dependencies</h2><table>");
    let mut marks = timeline.annotations.clone();
    marks.sort_by(|a, b| a.at.total_cmp(&b.at));
    for mark in marks.iter().take(LISTED_MARKS) {
        push(html, &format!("<tr><td>{:.3}<td>{}", mark.at, escape(&mark.description)));
    }
    push(html, "</table>");
    if marks.len() > LISTED_MARKS {
        push(html, &format!("<p>And {} more.</p>", marks.len() - LISTED_MARKS));
    }
}

fn events(html: &mut String, timeline: &RunTimeline) {
    push(html, "<h2>Lines by event</h2><table>");
    for ((number, name), count) in &timeline.events {
        push(html, &format!("<tr><td>E{number}<td>{}<td>{count}", escape(name)));
    }
    push(html, "</table>");
}
