//! Logs to standard output through log4rs; hosts have no disks, so no files.

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

/// The library for calls between daemons logs several lines a call below this.
const CALL_LEVEL: LevelFilter = LevelFilter::Warn;

/// Time in UTC, level, thread, text.
const LINE_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {T} {m}{n}";

quick_error! {
    /// Why logging could not be set up.
    #[derive(Debug)]
    pub enum Error {
        /// The configuration of the log library is broken.
        Config(source: Box<dyn std::error::Error + Send + Sync>) {
            display("log set-up: {source}")
        }
    }
}

/// Sends all log lines of the process to standard output.
///
/// # Errors
/// When a logger is already set, or the library refuses the set-up.
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

/// Carries dropshot's slog records into the one log, at debug level unless
/// they are warnings or worse.
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

/// The logger to hand to dropshot.
pub fn slog_bridge() -> slog::Logger {
    slog::Logger::root(SlogBridge, slog::o!())
}
