//! What was sent, answered and run: the record of a case.

use std::collections::HashMap;
use std::fmt::Write;
use std::fs;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// A run at a server, by the stamp of its answer.
#[derive(Clone, Debug)]
pub struct Run {
    pub body: Vec<u8>,
}

/// The record of a case.
#[derive(Debug)]
pub struct World {
    start: Instant,
    rows: Mutex<Vec<(f64, String)>>,
    runs: Mutex<HashMap<String, Run>>,
    next: AtomicU64,
}

impl World {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            rows: Mutex::default(),
            runs: Mutex::default(),
            next: AtomicU64::new(1),
        }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn sleep_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(left));
        }
    }

    pub fn note(&self, text: impl Into<String>) {
        let at = self.now();
        self.rows.lock().unwrap().push((at, text.into()));
    }

    pub fn number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    pub fn add_run(&self, stamp: &str, run: Run) {
        self.runs.lock().unwrap().insert(stamp.to_owned(), run);
    }

    pub fn run(&self, stamp: &str) -> Option<Run> {
        self.runs.lock().unwrap().get(stamp).cloned()
    }

    /// The times of the rows that match.
    pub fn times(&self, matches: impl Fn(&str) -> bool) -> Vec<f64> {
        let rows = self.rows.lock().unwrap();
        let found = rows.iter().filter(|(_, row)| matches(row));
        let mut times: Vec<f64> = found.map(|(at, _)| *at).collect();
        times.sort_by(f64::total_cmp);
        times
    }

    /// The rows that match.
    pub fn rows(&self, matches: impl Fn(&str) -> bool) -> Vec<(f64, String)> {
        let rows = self.rows.lock().unwrap();
        rows.iter().filter(|(_, row)| matches(row)).cloned().collect()
    }

    /// Writes all rows, in the order of time.
    pub fn write(&self, file: &Path) {
        let mut rows = self.rows.lock().unwrap().clone();
        rows.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut text = String::new();
        for (at, row) in rows {
            let _infallible = writeln!(text, "{at:9.4} s  {row}");
        }
        if let Err(error) = fs::write(file, text) {
            eprintln!("{}: {error}", file.display());
        }
    }
}

/// A small generator of random numbers.
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        let mut random = Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        for _ in 0..4 {
            random.next();
        }
        random
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        (self.next() >> 11) % limit.max(1)
    }
}
