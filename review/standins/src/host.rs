//! Hosts of the tier: started with the command of deploy/system.toml, with settings as
//! platform/settings.toml renders them for a small deployment.

use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::MessageReader;

pub const FRONT: u16 = 8104;
const READY: u16 = 8108;
const CONTROL: u16 = 8106;
const PEERS: u16 = 7380;
const METRICS: u16 = 9464;

/// The zones of a small deployment.
pub const ZONES: [&str; 3] = ["kurasini", "kigamboni", "mbagala"];

pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Whether a host answers that it is ready.
pub fn answers_ready(address: SocketAddr) -> bool {
    let ask = || -> std::io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        http::send(&mut stream, b"GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n")?;
        Ok(MessageReader::new(stream).next()?.map_or(0, |answer| answer.status()))
    };
    ask().is_ok_and(|status| status == 200)
}

pub struct Host {
    pub name: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Loopback addresses on which the ports of a host are free.
pub fn free_addresses(count: usize) -> Vec<Ipv4Addr> {
    let process = std::process::id();
    let octet = |value: u32| (value % 200 + 20) as u8;
    let mut found = Vec::new();
    for number in 0..200_u32 {
        let ip = Ipv4Addr::new(127, octet(process / 200), octet(process), octet(number));
        let ports = [FRONT, READY, CONTROL, PEERS, METRICS];
        if ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok()) {
            found.push(ip);
            if found.len() == count {
                break;
            }
        }
    }
    found
}

/// The settings of one host, as the template renders them, with this `retryBudgetSlack`.
pub fn settings(
    name: &str,
    zone: &str,
    ip: Ipv4Addr,
    seeds: &[Ipv4Addr],
    store: SocketAddr,
    slack: u32,
) -> String {
    let seeds: Vec<String> =
        seeds.iter().take(3).map(|seed| format!("\"{seed}:{CONTROL}\"")).collect();
    let zones: String = ZONES.iter().map(|zone| format!("{zone} = \"dar\"\n")).collect();
    format!(
        "[host]\nname = \"{name}\"\nzone = \"{zone}\"\ncore_share = 0.25\ncores = 1\n\
         link_mbps = 1000.0\n\n[zones]\n{zones}\n[listen]\ncallers = \"{ip}:{FRONT}\"\n\
         ready = \"{ip}:{READY}\"\npeers = \"{ip}:{PEERS}\"\nmetrics = \"{ip}:{METRICS}\"\n\n\
         [fleet]\nseeds = [{}]\nip = \"{ip}\"\n\n[store]\naddress = \"{store}\"\n\n\
         [targets]\nbeat_ms = 1200\nleave_ms = 3000\n\n[stop]\ngrace_ms = 6000\n\n\
         [budget]\nshare = 0.2\nwindow_s = 10\nallowance = {slack}\n\n[quota]\n\n\
         [cold_targets]\n",
        seeds.join(",")
    )
}

impl Host {
    pub fn start(
        program: &Path,
        folder: &Path,
        name: &str,
        ip: Ipv4Addr,
        settings: &str,
    ) -> std::io::Result<Self> {
        let file = folder.join(format!("{name}.toml"));
        std::fs::write(&file, settings)?;
        let log = folder.join(format!("{name}.log"));
        let mut host = Self { name: name.to_owned(), ip, settings: file, log, child: None };
        host.run(program, folder)?;
        Ok(host)
    }

    /// Starts the process of the host.
    pub fn run(&mut self, program: &Path, folder: &Path) -> std::io::Result<()> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new(program)
            .arg("route")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HAWTHORNROUTE_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let mut pids =
            std::fs::OpenOptions::new().create(true).append(true).open(folder.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        self.child = Some(child);
        Ok(())
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, FRONT))
    }

    pub fn ready(&self) -> SocketAddr {
        SocketAddr::from((self.ip, READY))
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            if answers_ready(self.ready()) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Sends a signal to the process of the host.
    pub fn signal(&self, number: i32) {
        if let Some(child) = &self.child {
            // SAFETY: `kill` takes two integers; the process is a child that was not waited for.
            unsafe { kill(child.id() as i32, number) };
        }
    }

    /// The lines of its log with this text.
    pub fn logged(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _killed = child.kill();
            let _waited = child.wait();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
