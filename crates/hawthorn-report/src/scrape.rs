//! Saved metrics and their rates.

use std::collections::BTreeMap;

/// Prefix of the line before each scrape in a file, followed by its time in seconds.
const SCRAPE_HEADER: &str = "# scraped ";

/// One scrape of a host's metrics.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MetricsScrape {
    /// Time of the scrape, in seconds.
    pub at: f64,
    /// Values by series, which is a metric's name with its labels.
    pub values: BTreeMap<String, f64>,
}

/// Rate of a series between two consecutive scrapes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SeriesRate {
    /// Midpoint of the two scrapes, in seconds.
    pub at: f64,
    /// Increase per second.
    pub rate: f64,
}

/// Parses a file of scrapes, each preceded by a line `# scraped SECONDS`.
pub fn read(text: &str) -> Vec<MetricsScrape> {
    let mut scrapes: Vec<MetricsScrape> = Vec::new();
    for line in text.lines() {
        if let Some(at) = line.strip_prefix(SCRAPE_HEADER) {
            let at = at.trim().parse().unwrap_or_default();
            scrapes.push(MetricsScrape { at, values: BTreeMap::new() });
        } else if !line.starts_with('#')
            && let Some((series, value)) = line.rsplit_once(' ')
            && let (Ok(value), Some(scrape)) = (value.parse::<f64>(), scrapes.last_mut())
        {
            scrape.values.insert(series.to_owned(), value);
        }
    }
    scrapes
}

/// The rates of all series with a prefix, by series. A counter that decreased was reset by a
/// restart of its process and is counted from zero.
pub fn rates(scrapes: &[MetricsScrape], prefix: &str) -> BTreeMap<String, Vec<SeriesRate>> {
    let mut rates: BTreeMap<String, Vec<SeriesRate>> = BTreeMap::new();
    for pair in scrapes.windows(2) {
        let [before, after] = pair else { continue };
        let elapsed = after.at - before.at;
        if elapsed <= 0.0 {
            continue;
        }
        for (series, value) in after.values.range(prefix.to_owned()..) {
            if !series.starts_with(prefix) {
                break;
            }
            let previous = before.values.get(series).copied().unwrap_or_default();
            let increase = if *value >= previous { value - previous } else { *value };
            let rate = SeriesRate { at: (before.at + after.at) / 2.0, rate: increase / elapsed };
            rates.entry(series.clone()).or_default().push(rate);
        }
    }
    rates
}
