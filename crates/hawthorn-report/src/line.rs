//! One log line, taken apart.

use std::collections::HashMap;

/// A line of a host's log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine<'a> {
    /// Seconds: of whoever collected the line, or else since the host was switched on.
    pub at: f64,
    /// Whether it is a collector's time.
    pub collected: bool,
    /// The host, as its collector names it, or as the file is named.
    pub host: &'a str,
    /// Number of the event; the catalogue says what it means.
    pub number: u16,
    /// Name of the event.
    pub name: &'a str,
    values: HashMap<&'a str, &'a str>,
}

impl<'a> LogLine<'a> {
    /// One of the line's values.
    pub fn value(&self, name: &str) -> Option<&'a str> {
        self.values.get(name).copied()
    }

    /// The names of all its values.
    pub fn keys(&self) -> impl Iterator<Item = &'a str> {
        self.values.keys().copied()
    }

    /// One of the line's values as a number.
    pub fn numeric(&self, name: &str) -> Option<f64> {
        self.value(name)?.parse().ok()
    }
}

/// Takes a line of a host's log apart; `None` where it is no event's line.
///
/// A host writes `SECONDS LEVEL E630 request-ended: name=value ...`. A collector
/// may have put its own time and the host's name before that.
pub fn read<'a>(text: &'a str, host: &'a str) -> Option<LogLine<'a>> {
    // The level may begin with the same letter as the number.
    let numbered = |(at, _): &(usize, _)| text[at + 2..].starts_with(|c: char| c.is_ascii_digit());
    let (at, _) = text.match_indices(" E").find(numbered)?;
    let (before, event) = (&text[..at], &text[at + 2..]);
    let (head, pairs) = event.split_once(':')?;
    let (number, name) = head.split_once(' ')?;
    let words: Vec<&str> = before.split_whitespace().collect();
    let at = words.first()?.parse().ok()?;
    let named = words.iter().rev().nth(2).copied();
    Some(LogLine {
        at,
        collected: named.is_some(),
        host: named.unwrap_or(host),
        number: number.parse().ok()?,
        name,
        values: values(pairs).collect(),
    })
}

/// All lines of a file in its order, each with its time set beside those of
/// other hosts' files.
///
/// A host's own clock counts from when it was switched on, and the first line of
/// each process says the time of day as well, to which its lines are brought. A
/// collector that reads several lines at once puts its time before the first of
/// them: the others take it over.
pub fn lines<'a>(text: &'a str, host: &'a str) -> impl Iterator<Item = LogLine<'a>> {
    let mut ahead = 0.0;
    let mut collected: Option<(f64, &'a str)> = None;
    text.lines().filter_map(move |text| read(text, host)).map(move |mut line| {
        if line.collected {
            collected = Some((line.at, line.host));
        } else if let Some((at, host)) = collected {
            line = LogLine { at, host, collected: true, ..line };
        } else {
            if let Some(millis) = line.numeric("unix_ms") {
                ahead = millis / 1000.0 - line.at;
            }
            line.at += ahead;
        }
        line
    })
}

/// `name=value` pairs; a value in quotes may hold spaces.
fn values(mut text: &str) -> impl Iterator<Item = (&str, &str)> {
    std::iter::from_fn(move || {
        let (name, rest) = text.trim_start().split_once('=')?;
        let (value, after) = match rest.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => rest.split_once(' ').unwrap_or((rest, "")),
        };
        text = after;
        Some((name, value))
    })
}
