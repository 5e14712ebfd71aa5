//! Logging to standard output through log4rs; hosts have no disks, so no files are written.

use log::LevelFilter;
use log4rs::Config;
use log4rs::append::console::ConsoleAppender;
use log4rs::append::console::Target;
use log4rs::config::Appender;
use log4rs::config::Logger;
use log4rs::config::Root;
use log4rs::encode::pattern::PatternEncoder;
use quick_error::quick_error;

use crate::process::events::LogEvent;

/// Level for tarpc, which logs several lines per call at lower levels.
const CALL_LEVEL: LevelFilter = LevelFilter::Warn;

/// Time in UTC, level, thread, text.
const LINE_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {T} {m}{n}";

quick_error! {
    /// Reason why logging could not be set up.
    #[derive(Debug)]
    pub enum Error {
        /// The configuration of the logging library is invalid.
        Config(source: Box<dyn std::error::Error + Send + Sync>) {
            display("cannot set up logging: {source}")
        }
    }
}

/// Sends all log lines of the process to standard output.
///
/// # Errors
/// If a logger is already set or the library rejects the configuration.
pub fn start(level: LevelFilter) -> Result<(), Error> {
    let encoder = Box::new(PatternEncoder::new(LINE_PATTERN));
    let console = ConsoleAppender::builder().target(Target::Stdout).encoder(encoder).build();
    let config = Config::builder()
        .logger(Logger::builder().build("tarpc", CALL_LEVEL))
        .appender(Appender::builder().build("stdout", Box::new(console)))
        .build(Root::builder().appender("stdout").build(level))
        .map_err(|source| Error::Config(Box::new(source)))?;
    log4rs::init_config(config).map_err(|source| Error::Config(Box::new(source)))?;
    Ok(())
}

/// Forwards dropshot's slog records to the process log; records below warning are logged at trace
/// level.
#[derive(Debug)]
pub struct SlogBridge;

impl slog::Drain for SlogBridge {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record<'_>, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        let level = match record.level() {
            slog::Level::Critical | slog::Level::Error => log::Level::Error,
            slog::Level::Warning => log::Level::Warn,
            _ => log::Level::Trace,
        };
        crate::log_event!(level, LogEvent::HttpLibrary, "{}", record.msg());
        Ok(())
    }
}

/// Logger for dropshot.
pub fn slog_bridge() -> slog::Logger {
    slog::Logger::root(SlogBridge, slog::o!())
}
