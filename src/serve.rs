//! `serve`: runs a daemon.

use hawthorn_daemon::process::daemon;
use hawthorn_daemon::process::logs;
use hawthorn_intent::DaemonSettings;

use crate::cli::ServeOptions;
use crate::exit::CommandError;
use crate::exit::CommandExit;

/// Runs until SIGTERM or SIGINT, then drains requests in flight and stops.
pub(crate) fn serve(options: &ServeOptions) -> Result<CommandExit, CommandError> {
    let text = std::fs::read_to_string(&options.settings)
        .map_err(|error| CommandError::File(options.settings.clone(), error))?;
    let settings = DaemonSettings::from_toml(&text)
        .map_err(|error| CommandError::Text(format!("settings not accepted:\n{error}")))?;
    logs::start(options.log).map_err(|error| CommandError::Start(error.to_string()))?;
    let start = |error: daemon::Error| CommandError::Start(error.to_string());
    let process = daemon::start(settings).map_err(start)?;
    process.wait_for_signal().map_err(start)?;
    let finished = process.drain().finish();
    Ok(if finished { CommandExit::Success } else { CommandExit::Failed })
}
