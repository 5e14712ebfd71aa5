//! What the kernel says of the machine and of one process, read under `/proc`.

use std::collections::HashMap;
use std::collections::HashSet;
use std::process::Command;
use std::time::Duration;

use crate::support::TestResult;

/// Ticks a second of the times in `/proc/PID/stat`, the same on every Linux.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields of `/proc/PID/stat` after the process's name.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;
const KIB: u64 = 1_024;
/// What a daemon may need while it starts.
const DAEMON_BYTES: u64 = 64 << 20;
/// Above so many runnable tasks a core, a large fleet would measure the others.
const BUSY_LOAD: f64 = 2.5;

/// The load average of the last minute.
pub fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().and_then(|first| first.parse().ok()).unwrap_or(f64::NAN)
}

/// Why a fleet of this size should not be started now.
pub fn refuses(daemons: usize) -> Option<String> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let load = load_average();
    if load > BUSY_LOAD * cores as f64 {
        return Some(format!("load average {load}"));
    }
    let free = field("/proc/meminfo", "MemAvailable:").unwrap_or(0) * KIB;
    let total = field("/proc/meminfo", "MemTotal:").unwrap_or(0) * KIB;
    let needed = daemons as u64 * DAEMON_BYTES;
    (free < needed + total / 2).then(|| format!("{free} bytes free"))
}

/// Processor time of a process so far, user and system.
pub fn cpu_time(process: u32) -> TestResult<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    let (_, after) = text.rsplit_once(')').ok_or("no name in the process's stat")?;
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks = |index: usize| -> TestResult<f64> {
        Ok(fields.get(index).ok_or("the process's stat is short")?.parse()?)
    };
    let ticks = ticks(USER_TICKS)? + ticks(SYSTEM_TICKS)?;
    Ok(Duration::from_secs_f64(ticks / TICKS_PER_SECOND))
}

/// Resident memory of a process in bytes.
pub fn resident_bytes(process: u32) -> Option<u64> {
    Some(field(&format!("/proc/{process}/status"), "VmRSS:")? * KIB)
}

fn field(path: &str, name: &str) -> Option<u64> {
    let text = std::fs::read_to_string(path).ok()?;
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Bytes sent so far on each open TCP connection with one end at these ports,
/// by the sending end first; none when the machine has no `ss`.
pub fn tcp_bytes(ports: &HashSet<u16>) -> Option<HashMap<String, u64>> {
    let output = Command::new("ss").args(["-tinOH"]).output().ok()?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let ours = text.lines().filter(|line| touches(line, ports));
    Some(ours.filter_map(|line| Some((ends(line), sent_bytes(line)?))).collect())
}

/// What was sent between two looks. A connection that was closed in between
/// is missing from the second one and not counted.
pub fn tcp_growth(before: &HashMap<String, u64>, after: &HashMap<String, u64>) -> u64 {
    let grown = after.iter().map(|(connection, &bytes)| {
        bytes.saturating_sub(before.get(connection).copied().unwrap_or_default())
    });
    grown.sum()
}

fn ends(line: &str) -> String {
    line.split_whitespace().skip(3).take(2).collect::<Vec<_>>().join(" ")
}

fn touches(line: &str, ports: &HashSet<u16>) -> bool {
    let ends = line.split_whitespace().skip(3).take(2);
    let mut numbers = ends.filter_map(|end| end.rsplit_once(':')?.1.parse().ok());
    numbers.any(|port: u16| ports.contains(&port))
}

fn sent_bytes(line: &str) -> Option<u64> {
    let field = line.split_whitespace().find_map(|word| word.strip_prefix("bytes_sent:"));
    field?.parse().ok()
}
