//! Many hosts of a zone that report peers which do not answer, as after a partition of half of a
//! fleet.

mod support;

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hawthorn_fleet::FleetAction;
use hawthorn_fleet::MemberPlace;
use hawthorn_fleet::MemberTable;
use hawthorn_fleet::member;
use hawthorn_route::payload;
use hawthorn_route::payload::PayloadKind;
use hawthorn_route::zone_report::Finding;
use hawthorn_route::zone_report::MAX_REPORTS;
use hawthorn_route::zone_report::Report;
use hawthorn_route::zone_report::ReportSubject;
use hawthorn_route::zone_report::ZoneMessage;
use hawthorn_route::zone_report::schedule::MIN_SEND_GAP;
use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::operator;
use support::TestResult;
use support::route;
use support::route::RouteHost;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Number of other hosts in the zone.
const REPORTERS: u8 = 35;
/// Time for which callers send requests beside the reports.
const REPORT_TIME: Duration = Duration::from_secs(3);
/// Target latency of the route.
const TARGET_LATENCY: Duration = Duration::from_millis(400);

/// A member of the zone that takes part in heartbeats, and accepts connections but answers none.
struct SilentMember {
    socket: UdpSocket,
    table: MemberTable,
    peer: SocketAddr,
    _listener: TcpListener,
}

impl SilentMember {
    async fn start(number: u8, seed: SocketAddr) -> TestResult<Self> {
        let (listener, socket, peer) = bind().await?;
        let (host, zone) = (format!("silent-{number}"), "east".to_owned());
        let place = MemberPlace { host, zone, peer, capacity: 0 };
        let mut table = MemberTable::new(place, 1, member::Options::default(), number.into());
        table.seed(Duration::ZERO, &[seed]);
        Ok(Self { socket, table, peer, _listener: listener })
    }

    /// Handles what has arrived, and sends what is due.
    fn run(&mut self, now: Duration) {
        let mut datagram = [0; 2048];
        while let Ok((len, from)) = self.socket.try_recv_from(&mut datagram) {
            let _malformed = self.table.receive(now, from, &datagram[..len]);
        }
        self.table.tick(now);
        while let Some(action) = self.table.poll_action() {
            if let FleetAction::Send { to, bytes } = action {
                let _lost = self.socket.try_send_to(&bytes, to);
            }
        }
    }
}

/// Binds the same address for TCP and UDP. The port that the system chooses may be in use for UDP;
/// another one is tried then.
async fn bind() -> TestResult<(TcpListener, UdpSocket, SocketAddr)> {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let peer = listener.local_addr()?;
        match UdpSocket::bind(peer).await {
            Ok(socket) => return Ok((listener, socket, peer)),
            Err(error) if error.kind() == ErrorKind::AddrInUse => {}
            Err(error) => return Err(error.into()),
        }
    }
}

/// A message of reports of the members from `first` on, none of which answers at this moment.
fn message(peers: &[SocketAddr], first: usize, sequence: u64) -> Vec<u8> {
    let subjects = peers.iter().cycle().skip(first).take(MAX_REPORTS);
    let reports = subjects.map(|peer| Report {
        subject: ReportSubject::Gatherer(*peer),
        finding: Finding::Suspected,
        unanswered: 1,
        first_ms: 0,
        suspected_ms: 0,
        age_ms: 0,
    });
    let message = ZoneMessage { sequence, reports: reports.collect(), ..ZoneMessage::default() };
    let message = postcard::to_allocvec(&message).expect("a message has only encodable parts");
    payload::wrap(PayloadKind::ZoneReports, message)
}

/// Runs the members without end. After `quiet`, they send reports to `host` as often as hosts
/// may.
async fn run_members(mut members: Vec<SilentMember>, host: SocketAddr, quiet: Duration) {
    let started = Instant::now();
    let peers: Vec<SocketAddr> = members.iter().map(|member| member.peer).collect();
    let mut next_reports = quiet;
    loop {
        let now = started.elapsed();
        let is_due = now >= next_reports;
        for (first, member) in members.iter_mut().enumerate() {
            if is_due {
                let message = message(&peers, first + 1, now.as_micros() as u64);
                member.table.send_payload(now, host, message);
            }
            member.run(now);
        }
        if is_due {
            next_reports = now + MIN_SEND_GAP;
        }
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a host that stands still, as it evaluates all reports of its zone anew for each
/// subject of each message.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_with_many_reporters_serves_its_callers() -> TestResult {
    let store = RouteStore::start().await?;
    let target = RouteTarget::start("t-1", "s").await?;
    operator::register(&store, "t-1", &target, "east");
    operator::configure(&store, 1, &[operator::single("/one/", "s", "safe")], &["s"]);
    let host = RouteHost::start("h-1", "east", store.address(), &[])?;
    host.wait_until_ready().await?;
    let mut members = Vec::new();
    for number in 0..REPORTERS {
        members.push(SilentMember::start(number, host.peer()).await?);
    }
    let reporting = tokio::spawn(run_members(members, host.peer(), Duration::from_secs(4)));
    let joined = async || host.logged("change=up") >= usize::from(REPORTERS);
    route::wait_for("the members to join", joined).await?;
    route::wait_for("a confirmed report", async || host.logged("change=confirmed") > 0).await?;
    let started = Instant::now();
    let mut slowest = Duration::ZERO;
    while started.elapsed() < REPORT_TIME {
        let sent = Instant::now();
        let answer = host.send("GET", "/one/", "id", "").await?;
        slowest = slowest.max(sent.elapsed());
        assert_eq!(answer.status, 200, "after {:?}: {answer:?}", sent.elapsed());
    }
    reporting.abort();
    println!("slowest answer: {slowest:?}");
    assert!(slowest < TARGET_LATENCY, "{slowest:?}");
    Ok(())
}
