//! Metrics as they were saved, one text after the other.

use std::collections::BTreeMap;

/// What begins a text of metrics in a file of several: the second it was read at.
const SCRAPE_HEAD: &str = "# scraped ";

/// One reading of a host's metrics.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MetricsScrape {
    /// When it was read, in seconds.
    pub at: f64,
    /// Values by series: its name with its labels.
    pub values: BTreeMap<String, f64>,
}

/// How much one series grew between two readings, a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SeriesRate {
    /// Middle of the two readings.
    pub at: f64,
    /// Growth a second.
    pub rate: f64,
}

/// Reads a file of readings, each after a line `# scraped SECONDS`.
pub fn read(text: &str) -> Vec<MetricsScrape> {
    let mut scrapes: Vec<MetricsScrape> = Vec::new();
    for line in text.lines() {
        if let Some(at) = line.strip_prefix(SCRAPE_HEAD) {
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

/// The rates of all series that begin so, by series. A counter that fell is of a
/// process that began anew, and grew from nothing.
pub fn rates(scrapes: &[MetricsScrape], begins: &str) -> BTreeMap<String, Vec<SeriesRate>> {
    let mut rates: BTreeMap<String, Vec<SeriesRate>> = BTreeMap::new();
    for pair in scrapes.windows(2) {
        let [before, after] = pair else { continue };
        let passed = after.at - before.at;
        if passed <= 0.0 {
            continue;
        }
        for (series, value) in after.values.range(begins.to_owned()..) {
            if !series.starts_with(begins) {
                break;
            }
            let had = before.values.get(series).copied().unwrap_or_default();
            let grown = if *value >= had { value - had } else { *value };
            let rate = SeriesRate { at: (before.at + after.at) / 2.0, rate: grown / passed };
            rates.entry(series.clone()).or_default().push(rate);
        }
    }
    rates
}
