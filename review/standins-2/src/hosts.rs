//! The hosts of a deployment as separate processes.

use std::fs;
use std::fs::File;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::OnceLock;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Reader;

/// Port of callers' connections.
pub const CALLERS: u16 = 8104;
const READY: u16 = 8108;
const PEERS: u16 = 7380;
const METRICS: u16 = 9464;

unsafe extern "C" {
    safe fn kill(pid: i32, signal: i32) -> i32;
    safe fn prctl(option: i32, value: u64) -> i32;
}

/// The option with which a process gets a signal when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// A loopback network that no other process uses: hosts listen at fixed ports, each at its own
/// address of it.
static NETWORK: OnceLock<u8> = OnceLock::new();

/// A loopback address for this run.
pub fn address(network: u8, host: u8) -> IpAddr {
    let octet = *NETWORK.get_or_init(|| {
        let first = (std::process::id() % 200) as u8 + 20;
        let is_free = |octet: u8| {
            let at = |port| SocketAddr::from(([127, octet, 2, 1], port));
            [CALLERS, READY, PEERS, METRICS].iter().all(|port| TcpListener::bind(at(*port)).is_ok())
        };
        (0..200)
            .map(|step| (first - 20 + step) % 200 + 20)
            .find(|octet| is_free(*octet))
            .unwrap_or(first)
    });
    IpAddr::V4(Ipv4Addr::new(127, octet, network, host))
}

/// The number of the signal, the same on x86-64 and arm64.
pub const SIGTERM: i32 = 15;

/// The settings that all hosts share.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Zones with their regions.
    pub zones: Vec<(String, String)>,
    pub store: SocketAddr,
    pub seeds: Vec<IpAddr>,
    /// Further tables, as the template renders them from the bounds.
    pub tables: String,
}

/// A running host; killed when dropped.
#[derive(Debug)]
pub struct Host {
    pub zone: String,
    pub ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Host {
    /// Starts a host with the command of the deploy file.
    pub fn start(
        deployment: &Deployment,
        name: &str,
        zone: &str,
        ip: IpAddr,
        folder: &Path,
    ) -> io::Result<Self> {
        let quoted = |text: &str| format!("\"{text}\"");
        let zones: Vec<String> = deployment
            .zones
            .iter()
            .map(|(zone, region)| format!("{zone} = {}\n", quoted(region)))
            .collect();
        let seeds: Vec<String> =
            deployment.seeds.iter().map(|seed| quoted(&format!("{seed}:8106"))).collect();
        let text = format!(
            "[host]\nname = \"{name}\"\nzone = \"{zone}\"\ncore_share = 0.25\ncores = 1\n\
             link_mbps = 1000.0\n[zones]\n{}[listen]\ncallers = \"{ip}:{CALLERS}\"\n\
             ready = \"{ip}:{READY}\"\npeers = \"{ip}:{PEERS}\"\nmetrics = \"{ip}:{METRICS}\"\n\
             [fleet]\nseeds = [{}]\nip = \"{ip}\"\n[store]\naddress = \"{}\"\n{}",
            zones.concat(),
            seeds.join(", "),
            deployment.store,
            deployment.tables
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        let mut host = Self { zone: zone.to_owned(), ip, settings, log, child: None };
        host.spawn()?;
        Ok(host)
    }

    fn spawn(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new("target/release/hawthornroute");
        command.arg("route").env("HAWTHORNROUTE_BOOT", &self.settings);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        let ends_with_parent = || {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        };
        // SAFETY: the call is a system call only, which is allowed between fork and exec.
        unsafe { command.pre_exec(ends_with_parent) };
        self.child = Some(command.spawn()?);
        Ok(())
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS)
    }

    /// Sends a signal to the process that this test started.
    pub fn signal(&self, signal: i32) {
        if let Some(pid) = self.child.as_ref().and_then(|child| i32::try_from(child.id()).ok()) {
            kill(pid, signal);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ended = child.kill();
            let _status = child.wait();
        }
    }

    /// Whether the host says that it is ready.
    pub fn is_ready(&self) -> bool {
        let at = SocketAddr::new(self.ip, READY);
        let Ok(stream) = std::net::TcpStream::connect_timeout(&at, Duration::from_secs(1)) else {
            return false;
        };
        let _set = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let mut reader = Reader::new(stream);
        reader.send(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n").is_ok()
            && matches!(reader.head(), Ok(Some(head)) if head.status() == 200)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all hosts are ready; false after 15 seconds.
pub fn wait_until_ready(hosts: &[Host]) -> bool {
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        if hosts.iter().all(Host::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}
