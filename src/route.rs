//! `route`: runs a host that routes requests.

use std::path::PathBuf;

use hawthorn_edge::edge_event;
use hawthorn_edge::process::events::EdgeEvent;
use hawthorn_edge::process::host;
use hawthorn_edge::process::logs;
use hawthorn_edge::settings::RouteSettings;

use crate::cli::RouteOptions;
use crate::exit::CommandError;
use crate::exit::CommandExit;

/// Reads and checks the settings of `route`.
pub(crate) fn read(path: &PathBuf) -> Result<RouteSettings, CommandError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| CommandError::File(path.clone(), error))?;
    RouteSettings::from_toml(&text)
        .map_err(|error| CommandError::Text(format!("settings not accepted:\n{error}")))
}

/// Runs until SIGTERM or SIGINT. SIGHUP reloads the settings: the budget, the grace and the
/// policy take effect immediately, the rest at the next start.
pub(crate) fn route(options: &RouteOptions) -> Result<CommandExit, CommandError> {
    let settings = read(&options.settings)?;
    let _writer =
        logs::start(options.log).map_err(|error| CommandError::Start(error.to_string()))?;
    let path = options.settings.clone();
    let reload = move || match read(&path) {
        Ok(settings) => {
            let policy = settings.policy.summary();
            edge_event!(
                log::Level::Info,
                EdgeEvent::SettingsReloaded,
                "outcome=accepted policy={policy}"
            );
            Some(settings)
        }
        Err(error) => {
            edge_event!(
                log::Level::Error,
                EdgeEvent::SettingsReloaded,
                "outcome=refused error=\"{error}\""
            );
            None
        }
    };
    host::run(settings, reload).map_err(|error| CommandError::Start(error.to_string()))?;
    Ok(CommandExit::Success)
}
