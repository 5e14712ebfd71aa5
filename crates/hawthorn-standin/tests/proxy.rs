//! Each fault of the proxies has its effect.

mod support;

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::slice;
use std::sync::Arc;
use std::time::Duration;

use hawthorn_standin::proxy::LinkFaults;
use hawthorn_standin::proxy::NetworkLocation;
use hawthorn_standin::proxy::NetworkOptions;
use hawthorn_standin::proxy::StandinNetwork;
use hawthorn_standin::proxy::TcpProxy;
use hawthorn_standin::proxy::ThrottleRate;
use hawthorn_standin::proxy::UdpProxy;
use support::Fallible;
use support::TestResult;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Long enough for traffic in flight to arrive.
const SILENCE: Duration = Duration::from_millis(60);

/// Starts a server that echoes every byte.
async fn echo() -> Fallible<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                tokio::io::copy(&mut reader, &mut writer).await
            });
        }
    });
    Ok(address)
}

async fn proxy(faults: LinkFaults) -> Fallible<TcpProxy> {
    Ok(TcpProxy::start(echo().await?, 1, faults, &CancellationToken::new()).await?)
}

async fn round_trip(stream: &mut TcpStream, bytes: &[u8]) -> Fallible<Vec<u8>> {
    stream.write_all(bytes).await?;
    let mut back = vec![0; bytes.len()];
    stream.read_exact(&mut back).await?;
    Ok(back)
}

#[tokio::test]
async fn bytes_pass_unchanged_and_in_order() -> TestResult {
    let jitter = Duration::from_millis(3);
    let proxy = proxy(LinkFaults { jitter, ..LinkFaults::default() }).await?;
    let sent: Vec<u8> = (0..=u8::MAX).cycle().take(300_000).collect();
    let stream = TcpStream::connect(proxy.address()).await?;
    let (mut reader, mut writer) = stream.into_split();
    let copy = sent.clone();
    let writing = tokio::spawn(async move {
        writer.write_all(&copy).await?;
        writer.shutdown().await
    });
    let mut back = Vec::new();
    reader.read_to_end(&mut back).await?;
    writing.await??;
    assert!(back == sent);
    assert_eq!(proxy.control().counters().bytes_backward, 300_000);
    Ok(())
}

struct DelayCase {
    name: &'static str,
    faults: LinkFaults,
    bytes: usize,
    min_delay: Duration,
}

#[tokio::test]
async fn delays_are_never_shorter_than_configured() -> TestResult {
    let throttle = ThrottleRate { chunk_bytes: 2, delay: Duration::from_millis(5) };
    let cases = [
        DelayCase {
            name: "latency, both directions",
            faults: LinkFaults { latency: Duration::from_millis(20), ..LinkFaults::default() },
            bytes: 1,
            min_delay: Duration::from_millis(40),
        },
        DelayCase {
            name: "throttle, five chunks forward",
            faults: LinkFaults { throttle: Some(throttle), ..LinkFaults::default() },
            bytes: 10,
            min_delay: Duration::from_millis(25),
        },
    ];
    for case in cases {
        let proxy = proxy(case.faults).await?;
        let mut stream = TcpStream::connect(proxy.address()).await?;
        let start = Instant::now();
        round_trip(&mut stream, &vec![7; case.bytes]).await?;
        assert!(start.elapsed() >= case.min_delay, "{}", case.name);
    }
    Ok(())
}

#[tokio::test]
async fn resets_end_new_and_open_connections() -> TestResult {
    let proxy = proxy(LinkFaults::default()).await?;
    let mut open = TcpStream::connect(proxy.address()).await?;
    round_trip(&mut open, b"a").await?;
    proxy.control().reset_connections();
    assert!(round_trip(&mut open, b"b").await.is_err());
    proxy.control().set_faults(|faults| faults.resets = 1.0);
    let mut new = TcpStream::connect(proxy.address()).await?;
    assert!(round_trip(&mut new, b"c").await.is_err());
    assert_eq!(proxy.control().counters().resets, 2);
    Ok(())
}

/// Simulates a dead target whose kernel still accepts connections: nothing reads them, and
/// a caller waits until its deadline.
#[tokio::test]
async fn a_black_hole_accepts_and_stays_silent() -> TestResult {
    let proxy = proxy(LinkFaults::default()).await?;
    let mut open = TcpStream::connect(proxy.address()).await?;
    round_trip(&mut open, b"a").await?;
    proxy.control().set_faults(|faults| faults.black_hole = true);
    let mut new = TcpStream::connect(proxy.address()).await?;
    assert!(timeout(SILENCE, round_trip(&mut open, b"b")).await.is_err());
    assert!(timeout(SILENCE, round_trip(&mut new, b"b")).await.is_err());
    proxy.control().set_faults(|faults| faults.black_hole = false);
    assert!(timeout(SILENCE, open.read_u8()).await.is_err());
    Ok(())
}

struct BlockCase {
    name: &'static str,
    fault: fn(&mut LinkFaults),
    bytes_forward: u64,
}

/// Simulates a one-way network partition: a target receives no requests, or its answers do
/// not arrive. Bytes that were held back must arrive after it heals.
#[tokio::test]
async fn a_one_way_partition_holds_bytes_back_until_it_heals() -> TestResult {
    let cases = [
        BlockCase { name: "forward", fault: |faults| faults.cut_forward = true, bytes_forward: 1 },
        BlockCase {
            name: "backward",
            fault: |faults| faults.cut_backward = true,
            bytes_forward: 2,
        },
    ];
    for case in cases {
        let proxy = proxy(LinkFaults::default()).await?;
        let mut stream = TcpStream::connect(proxy.address()).await?;
        round_trip(&mut stream, b"a").await?;
        proxy.control().set_faults(case.fault);
        stream.write_all(b"b").await?;
        assert!(timeout(SILENCE, stream.read_u8()).await.is_err(), "{}", case.name);
        assert_eq!(proxy.control().counters().bytes_forward, case.bytes_forward, "{}", case.name);
        proxy.control().set_faults(|faults| *faults = LinkFaults::default());
        assert_eq!(stream.read_u8().await?, b'b', "{}", case.name);
    }
    Ok(())
}

/// Simulates a request that runs and whose answer is lost: the connection is reset after
/// the request has passed and before the answer.
#[tokio::test]
async fn an_answer_can_be_lost_after_its_request_passed() -> TestResult {
    let proxy = proxy(LinkFaults { lost_answers: 1, ..LinkFaults::default() }).await?;
    let mut first = TcpStream::connect(proxy.address()).await?;
    assert!(round_trip(&mut first, b"a").await.is_err());
    assert_eq!(proxy.control().counters().bytes_forward, 1);
    let mut second = TcpStream::connect(proxy.address()).await?;
    assert_eq!(round_trip(&mut second, b"a").await?, b"a");
    Ok(())
}

struct LossCase {
    name: &'static str,
    faults: LinkFaults,
    received: std::ops::RangeInclusive<usize>,
}

#[tokio::test]
async fn datagrams_are_lost_duplicated_and_blocked() -> TestResult {
    let none = LinkFaults::default();
    let cases = [
        LossCase { name: "no fault", faults: none, received: 100..=100 },
        LossCase { name: "loss", faults: LinkFaults { loss: 0.5, ..none }, received: 30..=70 },
        LossCase {
            name: "duplicated",
            faults: LinkFaults { duplicates: 1.0, ..none },
            received: 200..=200,
        },
        LossCase {
            name: "blocked forward",
            faults: LinkFaults { cut_forward: true, ..none },
            received: 0..=0,
        },
    ];
    for case in cases {
        let mut counts = Vec::new();
        for _run in 0..2 {
            counts.push(count_received(case.faults).await?);
        }
        assert!(case.received.contains(&counts[0]), "{}: {}", case.name, counts[0]);
        assert_eq!(counts[0], counts[1], "{}: the same seed must give the same losses", case.name);
    }
    Ok(())
}

/// Number of datagrams that arrive when a hundred are sent.
async fn count_received(faults: LinkFaults) -> Fallible<usize> {
    let upstream = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let stop = CancellationToken::new();
    let proxy = UdpProxy::start(upstream.local_addr()?, 1, faults, &stop).await?;
    let client = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    for number in 0..100_u8 {
        client.send_to(&[number], proxy.address()).await?;
    }
    let processed = || {
        let counters = proxy.control().counters();
        counters.datagrams + counters.datagrams_lost
    };
    while processed() < 100 {
        tokio::task::yield_now().await;
    }
    let copies = if faults.duplicates > 0.0 { 2 } else { 1 };
    let expected = usize::try_from(proxy.control().counters().datagrams)? * copies;
    let mut buffer = [0; 8];
    for _datagram in 0..expected {
        upstream.recv_from(&mut buffer).await?;
    }
    assert!(timeout(SILENCE, upstream.recv_from(&mut buffer)).await.is_err());
    Ok(expected)
}

#[tokio::test]
async fn datagrams_are_answered_through_the_proxy() -> TestResult {
    let upstream = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
    let proxy = UdpProxy::start(
        upstream.local_addr()?,
        1,
        LinkFaults::default(),
        &CancellationToken::new(),
    )
    .await?;
    let client = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    client.send_to(b"ping", proxy.address()).await?;
    let mut buffer = [0; 8];
    let (_, sender) = upstream.recv_from(&mut buffer).await?;
    upstream.send_to(b"pong", sender).await?;
    let (length, from) = client.recv_from(&mut buffer).await?;
    assert_eq!((&buffer[..length], from), (&b"pong"[..], proxy.address()));
    Ok(())
}

/// Two zones are partitioned from each other while one still reaches a third, and the
/// platform is unreachable.
#[tokio::test]
async fn partitions_separate_locations_and_heal() -> TestResult {
    let kurasini = NetworkLocation::zone("kurasini");
    let kigamboni = NetworkLocation::zone("kigamboni");
    let mbagala = NetworkLocation::zone("mbagala");
    let mut network = StandinNetwork::new(NetworkOptions::dar_port());
    let locations = [&kigamboni, &mbagala, &NetworkLocation::Platform];
    let mut streams = Vec::new();
    for location in locations {
        let address = network.link_tcp(kurasini.clone(), location.clone(), echo().await?).await?;
        let mut stream = TcpStream::connect(address).await?;
        round_trip(&mut stream, b"a").await?;
        streams.push(stream);
    }
    network.partition(&[slice::from_ref(&kurasini), slice::from_ref(&kigamboni)]);
    network.cut_platform();
    round_trip(&mut streams[1], b"b").await?;
    for blocked in [0, 2] {
        let stream = &mut streams[blocked];
        assert!(timeout(SILENCE, round_trip(stream, b"b")).await.is_err());
    }
    network.heal();
    assert_eq!(streams[0].read_u8().await?, b'b');
    assert_eq!(streams[2].read_u8().await?, b'b');
    let latency = network.controls(&kurasini, &kigamboni)[0].faults().latency;
    assert_eq!(latency, Duration::from_micros(1_500));
    Ok(())
}

/// A partition between two zones makes a host unreachable for one zone only, although the
/// host has the same address for all.
#[tokio::test]
async fn host_link_faults_depend_on_the_source_address() -> TestResult {
    let near = (IpAddr::from([127, 0, 0, 1]), NetworkLocation::zone("kurasini"));
    let far = (IpAddr::from([127, 0, 0, 2]), NetworkLocation::zone("kigamboni"));
    let host = NetworkLocation::zone("mbagala");
    let mut network = StandinNetwork::new(NetworkOptions::dar_port());
    let link = network.link_host(host.clone(), &[near.clone(), far.clone()]).await?;
    link.set_upstream(echo().await?);
    let mut from_near = connect_from(near.0, link.address()).await?;
    let mut from_far = connect_from(far.0, link.address()).await?;
    round_trip(&mut from_near, b"a").await?;
    round_trip(&mut from_far, b"a").await?;
    network.cut(&far.1, &host);
    round_trip(&mut from_near, b"b").await?;
    assert!(timeout(SILENCE, round_trip(&mut from_far, b"b")).await.is_err());
    network.heal();
    assert_eq!(from_far.read_u8().await?, b'b');
    Ok(())
}

async fn connect_from(source: IpAddr, to: SocketAddr) -> Fallible<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(source, 0))?;
    Ok(socket.connect(to).await?)
}
