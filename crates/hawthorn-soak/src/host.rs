//! A `route` process: settings, start, signals and use of resources.

use std::collections::HashSet;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use quick_error::quick_error;
use rustix::process::Pid;
use rustix::process::Signal;
use tokio::process::Child;
use tokio::process::Command;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::balancer::FrontAddress;
use crate::history::Disruption;
use crate::history::HistoryRecorder;
use crate::history::HostEventKind;
use crate::history::HostKey;
use crate::history::HostUsage;

/// Time between the stop signal and forced termination.
pub const GRACE: Duration = Duration::from_secs(6);
/// Time for which a draining target continues to serve.
pub const DRAIN_TIME: Duration = Duration::from_secs(3);
/// Interval of the targets' registrations.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time within which revoked keys must be refused, where that is strict.
pub const REVOKE_TIME: Duration = Duration::from_secs(5);
/// Share of a service's requests that may be extra attempts.
pub const BUDGET_SHARE: f64 = 0.2;
/// Window of that share.
pub const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Extra attempts beyond that share.
pub const BUDGET_ALLOWANCE: u32 = 20;
/// Window of the customers' quotas.
pub const QUOTA_WINDOW: Duration = Duration::from_secs(5);
/// Tolerated share above a quota.
pub const QUOTA_OVERSHOOT: f64 = 0.1;
/// Tolerated requests above a quota.
pub const QUOTA_SLACK: f64 = 20.0;

const CALLER_PORT: u16 = 8104;
const READY_PORT: u16 = 8108;
const PEER_PORT: u16 = 7380;
const METRICS_PORT: u16 = 9464;
/// Shortest time until a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

quick_error! {
    /// Why a host cannot run.
    #[derive(Debug)]
    pub enum Error {
        /// Its settings or its log cannot be written.
        File(path: PathBuf, source: io::Error) {
            display("cannot write {}: {source}", path.display())
            source(source)
        }
        /// The program cannot be started.
        Spawn(path: PathBuf, source: io::Error) {
            display("cannot start {}: {source}", path.display())
            source(source)
        }
    }
}

/// What a host is started with.
#[derive(Clone, Debug)]
pub struct HostSpec {
    /// Its key in the history.
    pub key: HostKey,
    /// Its name.
    pub name: String,
    /// Index of its zone in `zones`.
    pub zone: usize,
    /// The names of all zones.
    pub zones: Vec<String>,
    /// Its own loopback address.
    pub ip: IpAddr,
    /// Addresses of hosts that may be running.
    pub seeds: Vec<IpAddr>,
    /// The store, as this host reaches it.
    pub store: SocketAddr,
    /// Share of a core that it takes itself to have.
    pub core_share: f64,
    /// Whether revoked keys must be refused in time.
    pub strict_keys: bool,
    /// The program.
    pub program: PathBuf,
    /// Directory of its settings and its log.
    pub directory: PathBuf,
}

impl HostSpec {
    /// Where callers and probes reach it.
    pub fn front(&self) -> FrontAddress {
        FrontAddress {
            host: self.key,
            zone: self.zone,
            callers: SocketAddr::new(self.ip, CALLER_PORT),
            ready: SocketAddr::new(self.ip, READY_PORT),
        }
    }

    /// The file with its log lines.
    pub fn log(&self) -> PathBuf {
        self.directory.join(format!("{}.log", self.name))
    }

    fn settings(&self) -> PathBuf {
        self.directory.join(format!("{}.toml", self.name))
    }

    fn settings_text(&self, allowance: u32) -> String {
        let Self { name, ip, store, core_share, .. } = self;
        let zone = &self.zones[self.zone];
        let regions: String =
            self.zones.iter().map(|zone| format!("{zone} = \"region\"\n")).collect();
        let seeds: Vec<String> =
            self.seeds.iter().map(|seed| format!("\"{seed}:{PEER_PORT}\"")).collect();
        let revocation = match self.strict_keys {
            true => format!("[revocation]\nwithin_ms = {}\n", REVOKE_TIME.as_millis()),
            false => String::new(),
        };
        format!(
            "[host]\nname = \"{name}\"\nzone = \"{zone}\"\ncore_share = {core_share}\n\
             [zones]\n{regions}[listen]\ncallers = \"{ip}:{CALLER_PORT}\"\n\
             ready = \"{ip}:{READY_PORT}\"\npeers = \"{ip}:{PEER_PORT}\"\n\
             metrics = \"{ip}:{METRICS_PORT}\"\n[fleet]\nseeds = [{}]\n\
             [store]\naddress = \"{store}\"\n\
             [targets]\nbeat_ms = {}\nleave_ms = {}\n[stop]\ngrace_ms = {}\n\
             [budget]\nshare = {BUDGET_SHARE}\nwindow_s = {}\nallowance = {allowance}\n\
             [quota]\nwindow_s = {}\novershoot = {QUOTA_OVERSHOOT}\nslack = {QUOTA_SLACK:.0}\n\
             {revocation}",
            seeds.join(", "),
            HEARTBEAT.as_millis(),
            DRAIN_TIME.as_millis(),
            GRACE.as_millis(),
            BUDGET_WINDOW.as_secs(),
            QUOTA_WINDOW.as_secs(),
        )
    }

    fn write_settings(&self, allowance: u32) -> Result<(), Error> {
        let path = self.settings();
        let text = self.settings_text(allowance);
        std::fs::write(&path, text).map_err(|source| Error::File(path, source))
    }

    fn open_log(&self) -> Result<File, Error> {
        let path = self.log();
        let file = OpenOptions::new().create(true).append(true).open(&path);
        file.map_err(|source| Error::File(path, source))
    }
}

/// The running process of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RunningProcess {
    id: u32,
    /// When it was first disturbed by a signal that ends it.
    ending: Option<EndingProcess>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct EndingProcess {
    since: Duration,
    planned: bool,
}

/// A host whose process is started again whenever it ends, as the platform does. Clones share it.
#[derive(Clone, Debug)]
pub struct SoakHost {
    spec: Arc<HostSpec>,
    running: Arc<Mutex<Option<RunningProcess>>>,
    recorder: HistoryRecorder,
}

impl SoakHost {
    /// Starts the process, and starts it again until `stop` is cancelled.
    ///
    /// # Errors
    /// When its files cannot be written, or the program cannot be started.
    pub fn start(
        spec: HostSpec,
        recorder: &HistoryRecorder,
        stop: CancellationToken,
    ) -> Result<Self, Error> {
        spec.write_settings(BUDGET_ALLOWANCE)?;
        let running = Arc::default();
        let host = Self { spec: Arc::new(spec), running, recorder: recorder.clone() };
        let child = host.spawn()?;
        tokio::spawn(host.clone().supervise(child, stop));
        Ok(host)
    }

    /// What it is started with.
    pub fn spec(&self) -> &HostSpec {
        &self.spec
    }

    fn spawn(&self) -> Result<Child, Error> {
        let log = self.spec.open_log()?;
        let errors = self.spec.open_log()?;
        let child = Command::new(&self.spec.program)
            .args(["route", "--log", "info", "--settings"])
            .arg(self.spec.settings())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()
            .map_err(|source| Error::Spawn(self.spec.program.clone(), source))?;
        let id = child.id().unwrap_or_default();
        *self.lock() = Some(RunningProcess { id, ending: None });
        self.recorder.host_event(self.spec.key, HostEventKind::Started);
        Ok(child)
    }

    async fn supervise(self, mut child: Child, stop: CancellationToken) {
        loop {
            let Ok(status) = child.wait().await else { return };
            let ended = self.recorder.now();
            self.recorder.host_event(self.spec.key, HostEventKind::Exited(status.code()));
            let process = self.lock().take();
            if stop.is_cancelled() {
                return;
            }
            sleep(RESTART_DELAY).await;
            child = match self.spawn() {
                Ok(child) => child,
                Err(error) => {
                    eprintln!("{}: {error}", self.spec.name);
                    return;
                }
            };
            let ending = process.and_then(|process| process.ending);
            self.recorder.with(|history| {
                history.disruptions.push(Disruption {
                    host: Some(self.spec.key),
                    from: ending.map_or(ended, |ending| ending.since),
                    until: self.recorder.now(),
                    planned: ending.is_some_and(|ending| ending.planned),
                    cause: "restart".to_owned(),
                });
            });
        }
    }

    /// The id of the running process; `None` if there is none.
    pub fn process(&self) -> Option<u32> {
        self.lock().map(|process| process.id)
    }

    /// Tells the process to stop; kills it if it has not ended within its grace period.
    pub async fn stop(&self) {
        let Some(id) = self.signal(Signal::TERM) else { return };
        self.mark_ending(true);
        self.recorder.host_event(self.spec.key, HostEventKind::StopSent);
        let killed_at = self.recorder.now() + GRACE;
        while self.process() == Some(id) {
            if self.recorder.now() >= killed_at {
                self.kill();
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Kills the process.
    pub fn kill(&self) {
        if self.signal(Signal::KILL).is_some() {
            self.mark_ending(false);
            self.recorder.host_event(self.spec.key, HostEventKind::Killed);
        }
    }

    /// Suspends the process for a while.
    pub async fn suspend(&self, length: Duration) {
        let from = self.recorder.now();
        let Some(id) = self.signal(Signal::STOP) else { return };
        self.recorder.host_event(self.spec.key, HostEventKind::Suspended);
        sleep(length).await;
        if self.process() == Some(id) {
            self.signal(Signal::CONT);
            self.recorder.host_event(self.spec.key, HostEventKind::Resumed);
        }
        let until = self.recorder.now();
        let (host, cause) = (Some(self.spec.key), "suspended".to_owned());
        let disruption = Disruption { host, from, until, planned: false, cause };
        self.recorder.with(|history| history.disruptions.push(disruption));
    }

    /// Changes the allowance of extra attempts, and tells the process to read its settings again.
    ///
    /// # Errors
    /// When the settings cannot be written.
    pub fn reload(&self, allowance: u32) -> Result<(), Error> {
        self.spec.write_settings(allowance)?;
        if self.signal(Signal::HUP).is_some() {
            self.recorder.host_event(self.spec.key, HostEventKind::Reloaded);
        }
        Ok(())
    }

    /// Memory and descriptors of the process; `None` if there is none.
    pub fn usage(&self) -> Option<HostUsage> {
        let process = self.process()?;
        let directory = Path::new("/proc").join(process.to_string());
        let status = std::fs::read_to_string(directory.join("status")).ok()?;
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let memory_kib = memory.split_whitespace().next()?.parse().ok()?;
        let files = std::fs::read_dir(directory.join("fd")).ok()?;
        // A file may be closed while the directory is read.
        let files = files.filter_map(|file| std::fs::read_link(file.ok()?.path()).ok());
        let files: Vec<String> = files.map(|file| file.display().to_string()).collect();
        let sockets = std::fs::read_to_string(directory.join("net/tcp")).ok()?;
        let store = self.spec.store.port();
        let connections = sockets.lines().skip(1).filter_map(|line| kept_connection(line, store));
        let connections: HashSet<String> = connections.collect();
        let descriptors = files.iter().filter(|file| !connections.contains(*file)).count() as u64;
        let (host, at) = (self.spec.key, self.recorder.now());
        Some(HostUsage { host, at, process, memory_kib, descriptors })
    }

    /// Sends a signal to the process and returns its id; `None` if there is no process.
    fn signal(&self, signal: Signal) -> Option<u32> {
        let running = self.lock();
        let id = running.as_ref()?.id;
        let process = Pid::from_raw(i32::try_from(id).ok()?)?;
        rustix::process::kill_process(process, signal).ok()?;
        Some(id)
    }

    fn mark_ending(&self, planned: bool) {
        let since = self.recorder.now();
        if let Some(process) = self.lock().as_mut() {
            // A kill within the grace period makes planned work unplanned.
            let since = process.ending.map_or(since, |ending| ending.since);
            process.ending = Some(EndingProcess { since, planned });
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<RunningProcess>> {
        self.running.lock().expect("no holder of the lock panics")
    }
}

/// The name of a connection of a caller, probe or peer, or to the store, from a line of
/// `/proc/net/tcp`.
fn kept_connection(line: &str, store: u16) -> Option<String> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let port = |field: usize| u16::from_str_radix(fields.get(field)?.rsplit(':').next()?, 16).ok();
    let (local, remote) = (port(1)?, port(2)?);
    let is_listening = remote == 0;
    let is_kept = [CALLER_PORT, READY_PORT, PEER_PORT].contains(&local)
        || [PEER_PORT, store].contains(&remote);
    let name = format!("socket:[{}]", fields.get(9)?);
    (is_kept && !is_listening).then_some(name)
}
