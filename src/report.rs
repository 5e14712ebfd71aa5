//! `report`: renders a run as an HTML page from its hosts' logs and saved metrics.

use std::path::Path;
use std::path::PathBuf;

use hawthorn_report::line;
use hawthorn_report::line::LogLine;
use hawthorn_report::page;
use hawthorn_report::page::PageInput;
use hawthorn_report::scrape;
use hawthorn_report::timeline::RunTimeline;

use crate::cli::ReportOptions;
use crate::exit::CommandError;
use crate::exit::CommandExit;
use crate::explain_log::host_name;

/// Runs `report`.
pub(crate) fn report(options: &ReportOptions) -> Result<CommandExit, CommandError> {
    let texts = read_all(&options.files)?;
    let mut lines: Vec<LogLine<'_>> =
        texts.iter().flat_map(|(host, text)| line::lines(text, host)).collect();
    // Times are relative to the start of the run. A log collector's times already are.
    if lines.iter().any(|line| !line.collected) {
        let start = lines.iter().map(|line| line.at).fold(f64::INFINITY, f64::min).floor();
        lines.iter_mut().for_each(|line| line.at -= start);
    }
    let mut timeline = RunTimeline::default();
    lines.iter().for_each(|line| timeline.add(line));
    let scrapes: Vec<_> = read_all(&options.metrics)?
        .into_iter()
        .map(|(host, text)| (host, scrape::read(&text)))
        .collect();
    let input = PageInput { title: &options.title, timeline: &timeline, scrapes: &scrapes };
    let html = page::page(&input).map_err(|error| CommandError::Text(error.to_string()))?;
    std::fs::write(&options.out, html)
        .map_err(|error| CommandError::File(options.out.clone(), error))?;
    println!("{}: {} lines from {} files", options.out.display(), lines.len(), texts.len());
    Ok(CommandExit::Success)
}

/// Reads files, each with the name of its host.
fn read_all(paths: &[PathBuf]) -> Result<Vec<(String, String)>, CommandError> {
    let read = |path: &PathBuf| {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|error| CommandError::File(path.clone(), error))?;
        Ok((host_name(Path::new(path)), text))
    };
    paths.iter().map(read).collect()
}
