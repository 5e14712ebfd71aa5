//! Statistics of the system and of single processes, from `/proc` and `ss`.

use std::collections::HashMap;
use std::collections::HashSet;
use std::process::Command;
use std::time::Duration;

use crate::support::TestResult;

/// Clock ticks per second of the times in `/proc/PID/stat`; 100 on every Linux.
const TICKS_PER_SECOND: f64 = 100.0;
/// Indices of fields of `/proc/PID/stat`, counted after the process's name.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;
const KIB: u64 = 1_024;
/// Memory reserved per daemon, which covers its start-up.
const DAEMON_MEMORY: u64 = 64 << 20;
/// Maximum load average per core. Above it, other processes would distort the measurement of a
/// large fleet.
const MAX_LOAD_PER_CORE: f64 = 2.5;

/// Load average of the last minute.
pub fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().and_then(|first| first.parse().ok()).unwrap_or(f64::NAN)
}

/// The reason not to start a fleet of this size now: load or too little free memory.
pub fn skip_reason(daemons: usize) -> Option<String> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let load = load_average();
    if load > MAX_LOAD_PER_CORE * cores as f64 {
        return Some(format!("load average {load}"));
    }
    let free = field("/proc/meminfo", "MemAvailable:").unwrap_or(0) * KIB;
    let total = field("/proc/meminfo", "MemTotal:").unwrap_or(0) * KIB;
    let needed = daemons as u64 * DAEMON_MEMORY;
    (free < needed + total / 2).then(|| format!("{free} bytes free"))
}

/// User and system CPU time of a process since its start.
pub fn cpu_time(process: u32) -> TestResult<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    let (_, after) = text.rsplit_once(')').ok_or("no name in the process's stat")?;
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks = |index: usize| -> TestResult<f64> {
        Ok(fields.get(index).ok_or("too few fields in the process's stat")?.parse()?)
    };
    let ticks = ticks(USER_TICKS)? + ticks(SYSTEM_TICKS)?;
    Ok(Duration::from_secs_f64(ticks / TICKS_PER_SECOND))
}

/// Resident memory of a process, in bytes.
pub fn resident_bytes(process: u32) -> Option<u64> {
    Some(field(&format!("/proc/{process}/status"), "VmRSS:")? * KIB)
}

fn field(path: &str, name: &str) -> Option<u64> {
    let text = std::fs::read_to_string(path).ok()?;
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Bytes sent on each open TCP connection with an end at one of these ports, by local and
/// remote address. `None` if `ss` is not available.
pub fn tcp_bytes(ports: &HashSet<u16>) -> Option<HashMap<String, u64>> {
    let output = Command::new("ss").args(["-tinOH"]).output().ok()?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let matching = text.lines().filter(|line| has_port(line, ports));
    Some(matching.filter_map(|line| Some((addresses(line), sent_bytes(line)?))).collect())
}

/// Bytes sent between two samples of [`tcp_bytes`]. A connection that was closed in between is
/// missing from the second sample and not counted.
pub fn tcp_bytes_between(before: &HashMap<String, u64>, after: &HashMap<String, u64>) -> u64 {
    let sent = after.iter().map(|(connection, &bytes)| {
        bytes.saturating_sub(before.get(connection).copied().unwrap_or_default())
    });
    sent.sum()
}

fn addresses(line: &str) -> String {
    line.split_whitespace().skip(3).take(2).collect::<Vec<_>>().join(" ")
}

fn has_port(line: &str, ports: &HashSet<u16>) -> bool {
    let addresses = line.split_whitespace().skip(3).take(2);
    let mut line_ports = addresses.filter_map(|address| address.rsplit_once(':')?.1.parse().ok());
    line_ports.any(|port: u16| ports.contains(&port))
}

fn sent_bytes(line: &str) -> Option<u64> {
    let field = line.split_whitespace().find_map(|word| word.strip_prefix("bytes_sent:"));
    field?.parse().ok()
}
