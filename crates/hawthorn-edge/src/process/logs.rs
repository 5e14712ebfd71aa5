//! Logging to standard output without blocking requests.
//!
//! Lines go through a bounded queue to a writer thread. A line that does not fit is dropped and
//! counted; the count is logged with the next line that fits.

use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam_channel::Receiver;
use crossbeam_channel::RecvTimeoutError;
use crossbeam_channel::Sender;
use crossbeam_channel::bounded;
use log::LevelFilter;
use log::Record;
use log4rs::Config;
use log4rs::append::Append;
use log4rs::config::Appender;
use log4rs::config::Logger;
use log4rs::config::Root;
use quick_error::quick_error;

use crate::process::clock;
use crate::process::events::EdgeEvent;
use crate::process::panics;

/// Capacity of the queue: about the number of lines logged in a second at peak load if every
/// request fails.
const QUEUE_LINES: usize = 8192;
/// Log level of libraries.
const LIBRARY_LEVEL: LevelFilter = LevelFilter::Error;
/// Time for which the writer collects lines, so that it wakes up ten times a second and not
/// once a line.
const BATCH_TIME: Duration = Duration::from_millis(100);
/// Maximum size of one write.
const MAX_CHUNK_BYTES: usize = 32 * 1024;

quick_error! {
    /// The reason why logging could not be set up.
    #[derive(Debug)]
    pub enum Error {
        /// The configuration of the log library is invalid.
        Config(source: Box<dyn std::error::Error + Send + Sync>) {
            display("log set-up: {source}")
        }
        /// The writer thread could not be started.
        Thread(source: std::io::Error) {
            display("log thread: {source}")
        }
    }
}

enum LogLine {
    Text(String),
    End,
}

#[derive(Debug)]
struct QueueAppender {
    queue: Sender<LogLine>,
    dropped: AtomicU64,
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let now = clock::host_now();
        let line = format!("{:.6} {} {}\n", now.as_secs_f64(), record.level(), record.args());
        let dropped = self.dropped.load(Ordering::Relaxed);
        if dropped > 0 {
            let event = EdgeEvent::LinesDropped;
            let note = format!(
                "{:.6} WARN E{} {event}: lines={dropped}\n",
                now.as_secs_f64(),
                event.number(),
            );
            if self.queue.try_send(LogLine::Text(note)).is_ok() {
                self.dropped.fetch_sub(dropped, Ordering::Relaxed);
            }
        }
        if self.queue.try_send(LogLine::Text(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Stops the writer on drop, after all queued lines are written.
#[derive(Debug)]
pub struct LogWriter {
    queue: Sender<LogLine>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for LogWriter {
    fn drop(&mut self) {
        // A full queue means that standard output is blocked: do not wait for the writer.
        if self.queue.try_send(LogLine::End).is_ok()
            && let Some(thread) = self.thread.take()
        {
            let _panicked = thread.join();
        }
    }
}

/// Sends all log lines of the process, and its panics, to standard output.
///
/// # Errors
/// When a logger is already set, or the thread cannot be started.
pub fn start(level: LevelFilter) -> Result<LogWriter, Error> {
    let (queue, lines) = bounded(QUEUE_LINES);
    let thread = std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&lines))
        .map_err(Error::Thread)?;
    let appender = QueueAppender { queue: queue.clone(), dropped: AtomicU64::new(0) };
    let config = Config::builder()
        .appender(Appender::builder().build("ring", Box::new(appender)))
        .logger(Logger::builder().build("edge", level))
        // Callers log how their calls between hosts end; the library logs each time limit as an error.
        .logger(Logger::builder().build("tarpc", LevelFilter::Off))
        .build(Root::builder().appender("ring").build(LIBRARY_LEVEL))
        .map_err(|source| Error::Config(Box::new(source)))?;
    log4rs::init_config(config).map_err(|source| Error::Config(Box::new(source)))?;
    panics::report();
    Ok(LogWriter { queue, thread: Some(thread) })
}

fn write_lines(lines: &Receiver<LogLine>) {
    let mut chunk = String::new();
    let mut ended = false;
    while !ended {
        match lines.recv() {
            Ok(LogLine::Text(line)) => chunk.push_str(&line),
            Ok(LogLine::End) | Err(_) => ended = true,
        }
        if !ended {
            std::thread::sleep(BATCH_TIME);
        }
        while chunk.len() < MAX_CHUNK_BYTES {
            match lines.recv_timeout(Duration::ZERO) {
                Ok(LogLine::Text(line)) => chunk.push_str(&line),
                Ok(LogLine::End) => ended = true,
                Err(RecvTimeoutError::Timeout) => break,
                Err(RecvTimeoutError::Disconnected) => {
                    ended = true;
                    break;
                }
            }
        }
        // There is no other place to report that standard output is closed.
        let _closed = std::io::stdout().lock().write_all(chunk.as_bytes());
        chunk.clear();
    }
}
