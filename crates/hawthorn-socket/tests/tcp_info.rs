//! What the kernel tells of connections on loopback.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::thread::sleep;
use std::time::Duration;

/// A host reads a request long after it came: the bytes lay in the socket while
/// the host was at other work. Without their age it would hand on time that the
/// caller no longer has.
#[test]
fn bytes_that_lie_unread_have_an_age() -> std::io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let mut caller = TcpStream::connect(listener.local_addr()?)?;
    let (mut held, _) = listener.accept()?;
    caller.write_all(b"request")?;
    sleep(Duration::from_millis(150));
    let report = hawthorn_socket::tcp_info(&held)?;
    assert!(report.since_received >= Duration::from_millis(100), "{report:?}");
    held.read_exact(&mut [0; 7])?;
    let read = hawthorn_socket::tcp_info(&held)?;
    assert!(read.since_received >= report.since_received, "reading makes it no younger: {read:?}");
    assert!(report.round_trip.is_some_and(|way| way < Duration::from_secs(1)), "{report:?}");
    Ok(())
}

#[test]
fn what_is_no_tcp_connection_is_refused() -> std::io::Result<()> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    assert!(hawthorn_socket::tcp_info(&socket).is_err());
    Ok(())
}
