//! Settings of a soak: size of the fleet, load and permitted faults.

use std::path::Path;
use std::time::Duration;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use strum::IntoEnumIterator;

use crate::plan::FaultKind;

/// Most hosts of one run: each has a loopback address in one network of 254.
pub const MAX_HOSTS: usize = 200;
/// Shortest run in seconds: calm times before and after the faults, and time for some of these.
pub const MIN_LENGTH_S: u64 = 40;
/// Longest run in seconds.
pub const MAX_LENGTH_S: u64 = 3600;

quick_error! {
    /// Why settings cannot be used.
    #[derive(Debug)]
    pub enum Error {
        /// The file cannot be read.
        Read(path: String, source: std::io::Error) {
            display("cannot read {path}: {source}")
            source(source)
        }
        /// The file is not TOML, has an unknown key or an unknown fault.
        Parse(path: String, source: toml::de::Error) {
            display("{path}: {}", first_line(source))
            source(source)
        }
        /// A value is out of range.
        Value(key: &'static str, reason: String) {
            display("{key}: {reason}")
        }
    }
}

fn first_line(error: &toml::de::Error) -> String {
    let message = error.message().lines().next().unwrap_or_default().to_owned();
    match error.span() {
        Some(span) => format!("{message} (at byte {})", span.start),
        None => message,
    }
}

/// Settings of a soak.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SoakSettings {
    /// Number of availability zones.
    pub zones: usize,
    /// Least number of hosts in a zone.
    pub min_hosts: usize,
    /// Greatest number of hosts in a zone.
    pub max_hosts: usize,
    /// Least load, as a share of what the targets can run.
    pub min_load: f64,
    /// Greatest load, as a share of what the targets can run.
    pub max_load: f64,
    /// Mean duration of a request's work at a target, in milliseconds. It determines how many
    /// requests the targets can run, and so the load.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "work_ms")]
    pub work: Duration,
    /// The faults that a plan may contain; all kinds if empty.
    pub faults: Vec<FaultKind>,
}

impl Default for SoakSettings {
    fn default() -> Self {
        Self {
            zones: 3,
            min_hosts: 2,
            max_hosts: 4,
            min_load: 0.33,
            max_load: 2.0,
            work: Duration::from_millis(25),
            faults: Vec::new(),
        }
    }
}

impl SoakSettings {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// When the file cannot be read, or a value cannot be used.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let name = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|source| Error::Read(name.clone(), source))?;
        let settings: Self = toml::from_str(&text).map_err(|source| Error::Parse(name, source))?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks all values.
    ///
    /// # Errors
    /// The first value that cannot be used.
    pub fn check(&self) -> Result<(), Error> {
        if !(1..=8).contains(&self.zones) {
            return Err(Error::Value("zones", format!("{} is not within 1 to 8", self.zones)));
        }
        if self.min_hosts == 0 || self.min_hosts > self.max_hosts {
            let reason = format!("{} is not within 1 to max_hosts", self.min_hosts);
            return Err(Error::Value("min_hosts", reason));
        }
        if self.zones * self.max_hosts > MAX_HOSTS {
            let hosts = self.zones * self.max_hosts;
            let reason = format!("{hosts} hosts in all zones, at most {MAX_HOSTS} are possible");
            return Err(Error::Value("max_hosts", reason));
        }
        if !(self.min_load > 0.0 && self.min_load <= self.max_load && self.max_load <= 10.0) {
            let reason = "the loads are not 0 < min_load <= max_load <= 10".to_owned();
            return Err(Error::Value("min_load", reason));
        }
        if !(1..=1000).contains(&self.work.as_millis()) {
            let reason = format!("{} is not within 1 to 1000", self.work.as_millis());
            return Err(Error::Value("work_ms", reason));
        }
        Ok(())
    }

    /// The faults that a plan may contain.
    pub fn permitted_faults(&self) -> Vec<FaultKind> {
        if self.faults.is_empty() { FaultKind::iter().collect() } else { self.faults.clone() }
    }
}
