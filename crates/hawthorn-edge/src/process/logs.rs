//! Logs to standard output that never make a request wait.
//!
//! Lines go through a bounded ring to a thread that writes them. When the ring
//! is full a line is dropped and counted; the count is written with the next
//! line that fits.

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

/// Lines that wait to be written: about what a host logs in a second when
/// every request of its busiest second fails.
const RING_LINES: usize = 8192;
/// Libraries log nothing below this.
const LIBRARY_LEVEL: LevelFilter = LevelFilter::Error;
/// The writer gathers lines for so long, so that it wakes up ten times a second
/// and not once a line.
const GATHER_TIME: Duration = Duration::from_millis(100);
/// Bytes that are written at once, at the most.
const CHUNK_BYTES: usize = 32 * 1024;

quick_error! {
    /// Why logging could not be set up.
    #[derive(Debug)]
    pub enum Error {
        /// The configuration of the log library is broken.
        Config(source: Box<dyn std::error::Error + Send + Sync>) {
            display("log set-up: {source}")
        }
        /// The writer's thread could not be started.
        Thread(source: std::io::Error) {
            display("log thread: {source}")
        }
    }
}

enum RingLine {
    Text(String),
    End,
}

#[derive(Debug)]
struct RingAppender {
    ring: Sender<RingLine>,
    dropped: AtomicU64,
}

impl Append for RingAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let now = clock::host_now();
        let line = format!("{:.6} {} {}\n", now.as_secs_f64(), record.level(), record.args());
        let waiting = self.dropped.load(Ordering::Relaxed);
        if waiting > 0 {
            let event = EdgeEvent::LinesDropped;
            let note = format!(
                "{:.6} WARN E{} {event}: lines={waiting}\n",
                now.as_secs_f64(),
                event.number(),
            );
            if self.ring.try_send(RingLine::Text(note)).is_ok() {
                self.dropped.fetch_sub(waiting, Ordering::Relaxed);
            }
        }
        if self.ring.try_send(RingLine::Text(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Ends the writer when the process does, with all lines written.
#[derive(Debug)]
pub struct LogWriter {
    ring: Sender<RingLine>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for LogWriter {
    fn drop(&mut self) {
        // A full ring means that standard output is stuck: no waiting for it.
        if self.ring.try_send(RingLine::End).is_ok()
            && let Some(thread) = self.thread.take()
        {
            let _panicked = thread.join();
        }
    }
}

/// Sends all log lines of the process to standard output.
///
/// # Errors
/// When a logger is already set, or the thread cannot be started.
pub fn start(level: LevelFilter) -> Result<LogWriter, Error> {
    let (ring, lines) = bounded(RING_LINES);
    let thread = std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&lines))
        .map_err(Error::Thread)?;
    let appender = RingAppender { ring: ring.clone(), dropped: AtomicU64::new(0) };
    let config = Config::builder()
        .appender(Appender::builder().build("ring", Box::new(appender)))
        .logger(Logger::builder().build("edge", level))
        .build(Root::builder().appender("ring").build(LIBRARY_LEVEL))
        .map_err(|source| Error::Config(Box::new(source)))?;
    log4rs::init_config(config).map_err(|source| Error::Config(Box::new(source)))?;
    Ok(LogWriter { ring, thread: Some(thread) })
}

fn write_lines(lines: &Receiver<RingLine>) {
    let mut chunk = String::new();
    let mut ended = false;
    while !ended {
        match lines.recv() {
            Ok(RingLine::Text(line)) => chunk.push_str(&line),
            Ok(RingLine::End) | Err(_) => ended = true,
        }
        if !ended {
            std::thread::sleep(GATHER_TIME);
        }
        while chunk.len() < CHUNK_BYTES {
            match lines.recv_timeout(Duration::ZERO) {
                Ok(RingLine::Text(line)) => chunk.push_str(&line),
                Ok(RingLine::End) => ended = true,
                Err(RecvTimeoutError::Timeout) => break,
                Err(RecvTimeoutError::Disconnected) => {
                    ended = true;
                    break;
                }
            }
        }
        // Nobody can be told that standard output is closed.
        let _closed = std::io::stdout().lock().write_all(chunk.as_bytes());
        chunk.clear();
    }
}
