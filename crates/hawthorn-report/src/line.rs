//! Parsed log lines.

use std::collections::HashMap;

/// A line of a host's log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine<'a> {
    /// Time in seconds: the log collector's if there is one, otherwise the host's monotonic
    /// clock, which counts from its boot.
    pub at: f64,
    /// Whether `at` and `host` come from a log collector.
    pub collected: bool,
    /// The host's name according to the collector, otherwise the name of the file.
    pub host: &'a str,
    /// Number of the event in the event catalogue.
    pub number: u16,
    /// Name of the event.
    pub name: &'a str,
    values: HashMap<&'a str, &'a str>,
}

impl<'a> LogLine<'a> {
    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<&'a str> {
        self.values.get(key).copied()
    }

    /// All keys of the line, in no particular order.
    pub fn keys(&self) -> impl Iterator<Item = &'a str> {
        self.values.keys().copied()
    }

    /// The value of a key as a number.
    pub fn numeric(&self, key: &str) -> Option<f64> {
        self.value(key)?.parse().ok()
    }
}

/// Parses a line of a host's log. Returns `None` if it is not the line of an event.
///
/// A host writes `SECONDS LEVEL E630 request-ended: key=value ...`. A log collector may
/// prepend its own time and the host's name.
pub fn read<'a>(text: &'a str, host: &'a str) -> Option<LogLine<'a>> {
    // ` E` also begins the level `ERROR`; only an event number continues with a digit.
    let numbered = |(at, _): &(usize, _)| text[at + 2..].starts_with(|c: char| c.is_ascii_digit());
    let (at, _) = text.match_indices(" E").find(numbered)?;
    let (before, event) = (&text[..at], &text[at + 2..]);
    let (head, pairs) = event.split_once(':')?;
    let (number, name) = head.split_once(' ')?;
    let words: Vec<&str> = before.split_whitespace().collect();
    let at = words.first()?.parse().ok()?;
    let collector_host = words.iter().rev().nth(2).copied();
    Some(LogLine {
        at,
        collected: collector_host.is_some(),
        host: collector_host.unwrap_or(host),
        number: number.parse().ok()?,
        name,
        values: values(pairs).collect(),
    })
}

/// All event lines of a file in file order, with times that are comparable between hosts.
///
/// A host's monotonic clock counts from its boot. The first line of each process also has
/// the wall-clock time (`unix_ms`), which gives the offset for the lines that follow. A log
/// collector that reads several lines at once prepends its time and host name to the first
/// of them only; the lines that follow inherit both.
pub fn lines<'a>(text: &'a str, host: &'a str) -> impl Iterator<Item = LogLine<'a>> {
    let mut wall_clock_offset = 0.0;
    let mut collected: Option<(f64, &'a str)> = None;
    text.lines().filter_map(move |text| read(text, host)).map(move |mut line| {
        if line.collected {
            collected = Some((line.at, line.host));
        } else if let Some((at, host)) = collected {
            line = LogLine { at, host, collected: true, ..line };
        } else {
            if let Some(millis) = line.numeric("unix_ms") {
                wall_clock_offset = millis / 1000.0 - line.at;
            }
            line.at += wall_clock_offset;
        }
        line
    })
}

/// Parses `key=value` pairs. A quoted value may contain spaces.
fn values(mut text: &str) -> impl Iterator<Item = (&str, &str)> {
    std::iter::from_fn(move || {
        let (key, rest) = text.trim_start().split_once('=')?;
        let (value, after) = match rest.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => rest.split_once(' ').unwrap_or((rest, "")),
        };
        text = after;
        Some((key, value))
    })
}
