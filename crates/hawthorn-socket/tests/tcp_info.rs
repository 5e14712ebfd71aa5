//! TCP statistics of connections on loopback.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::thread::sleep;
use std::time::Duration;

/// Guards against an overstated deadline: a busy host reads a request long after it was
/// received, and without the age of the unread bytes would forward time that the caller
/// no longer has.
#[test]
fn unread_bytes_report_their_age() -> std::io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let mut caller = TcpStream::connect(listener.local_addr()?)?;
    let (mut stream, _) = listener.accept()?;
    caller.write_all(b"request")?;
    sleep(Duration::from_millis(150));
    let unread = hawthorn_socket::tcp_info(&stream)?;
    assert!(unread.since_received >= Duration::from_millis(100), "{unread:?}");
    stream.read_exact(&mut [0; 7])?;
    let read = hawthorn_socket::tcp_info(&stream)?;
    assert!(
        read.since_received >= unread.since_received,
        "reading does not reset the age: {read:?}"
    );
    assert!(unread.round_trip.is_some_and(|rtt| rtt < Duration::from_secs(1)), "{unread:?}");
    Ok(())
}

#[test]
fn a_udp_socket_is_rejected() -> std::io::Result<()> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    assert!(hawthorn_socket::tcp_info(&socket).is_err());
    Ok(())
}
