//! One `hawthornroute serve` process.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;

use super::TestResult;

/// Start of the log line that reports the listening addresses, after level and thread.
const LISTENING: &str = "E106 listening: callers ";

/// Settings of a daemon to start.
#[derive(Clone, Debug)]
pub struct DaemonSpec {
    pub host: String,
    pub zone: String,
    pub region: String,
    pub platform: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    /// Port 0, except for a restart at the same addresses; likewise `peer_address`.
    pub caller_address: SocketAddr,
    pub peer_address: SocketAddr,
    /// Address advertised to other daemons in place of `peer_address`.
    pub peer_advertised: Option<SocketAddr>,
    /// Lines appended to the settings file.
    pub extra_settings: String,
}

impl DaemonSpec {
    fn settings(&self) -> String {
        let advertised = self.peer_advertised.map(|at| format!("peer_advertised = \"{at}\"\n"));
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        format!(
            "host = \"{}\"\nzone = \"{}\"\nregion = \"{}\"\ncaller_address = \"{}\"\n\
             peer_address = \"{}\"\nplatform = \"{}\"\nseeds = [{}]\n{}{}",
            self.host,
            self.zone,
            self.region,
            self.caller_address,
            self.peer_address,
            self.platform,
            seeds.join(", "),
            advertised.unwrap_or_default(),
            self.extra_settings
        )
    }
}

/// A running daemon process; killed when dropped.
#[derive(Debug)]
pub struct DaemonHost {
    pub spec: DaemonSpec,
    pub caller: SocketAddr,
    pub peer: SocketAddr,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

impl DaemonHost {
    /// Starts the process and waits until it listens.
    pub fn start(spec: DaemonSpec, directory: &Path) -> TestResult<Self> {
        let file = directory.join(format!("{}.toml", spec.host));
        std::fs::write(&file, spec.settings())?;
        let mut child = Command::new(super::program())
            .arg("serve")
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let log = Arc::new(Mutex::new(Vec::new()));
        let stdout = child.stdout.take().ok_or("standard output is piped")?;
        let stderr = child.stderr.take().ok_or("standard error is piped")?;
        collect_log(stdout, Arc::clone(&log));
        collect_log(stderr, Arc::clone(&log));
        let (caller, peer) = wait_for_addresses(&mut child, &log)?;
        Ok(Self { spec, caller, peer, child, log })
    }

    /// The address at which other daemons reach it.
    pub fn advertised_address(&self) -> SocketAddr {
        self.spec.peer_advertised.unwrap_or(self.peer)
    }

    /// Settings for a restart of this host at the same addresses.
    pub fn restart_spec(&self) -> DaemonSpec {
        DaemonSpec { caller_address: self.caller, peer_address: self.peer, ..self.spec.clone() }
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether a line with this text was logged. Does not copy the log, so that it can be polled
    /// every millisecond.
    pub fn has_logged(&self, text: &str) -> bool {
        let log = self.log.lock();
        log.is_ok_and(|log| log.iter().rev().any(|line| line.contains(text)))
    }

    /// All lines logged so far.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().map(|log| log.clone()).unwrap_or_default()
    }

    /// The number of logged lines that contain `event`.
    pub fn logged(&self, event: &str) -> usize {
        self.log().iter().filter(|line| line.contains(event)).count()
    }

    /// Sends a signal to this process.
    pub fn signal(&self, signal: Signal) -> TestResult {
        let pid = i32::try_from(self.child.id())?;
        let pid = Pid::from_raw(pid).ok_or("a child has a process id")?;
        Ok(rustix::process::kill_process(pid, signal)?)
    }

    /// Suspends the process until [`DaemonHost::resume`].
    pub fn suspend(&self) -> TestResult {
        self.signal(Signal::STOP)
    }

    /// Resumes a suspended process.
    pub fn resume(&self) -> TestResult {
        self.signal(Signal::CONT)
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) -> TestResult {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Requests a graceful stop and waits for the process to exit.
    pub fn stop(&mut self, timeout: Duration) -> TestResult<ExitStatus> {
        self.signal(Signal::TERM)?;
        self.wait(timeout)
    }

    /// Waits for the process to exit.
    pub fn wait(&mut self, timeout: Duration) -> TestResult<ExitStatus> {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if started.elapsed() > timeout {
                return Err(format!("{} did not exit:\n{}", self.spec.host, self.log_tail()).into());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// The last lines of its log, for failure messages.
    pub fn log_tail(&self) -> String {
        let log = self.log();
        log[log.len().saturating_sub(30)..].join("\n")
    }
}

impl Drop for DaemonHost {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _killed = self.child.kill();
        let _reaped = self.child.wait();
    }
}

fn collect_log(stream: impl std::io::Read + Send + 'static, log: Arc<Mutex<Vec<String>>>) {
    std::thread::spawn(move || {
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            if let Ok(mut log) = log.lock() {
                log.push(line);
            }
        }
    });
}

fn wait_for_addresses(
    child: &mut Child,
    log: &Mutex<Vec<String>>,
) -> TestResult<(SocketAddr, SocketAddr)> {
    let started = Instant::now();
    loop {
        let lines = log.lock().map(|log| log.clone()).unwrap_or_default();
        if let Some(found) = lines.iter().find_map(|line| parse_addresses(line)) {
            return Ok(found);
        }
        let status = child.try_wait()?;
        if status.is_some() || started.elapsed() > Duration::from_secs(10) {
            return Err(
                format!("the daemon did not report its addresses:\n{}", lines.join("\n")).into()
            );
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn parse_addresses(line: &str) -> Option<(SocketAddr, SocketAddr)> {
    let (_, rest) = line.split_once(LISTENING)?;
    let (caller, peer) = rest.split_once(", peers ")?;
    Some((caller.trim().parse().ok()?, peer.trim().parse().ok()?))
}
