//! What the kernel tells of a TCP connection.
//!
//! The one crate with an unsafe call: `getsockopt(TCP_INFO)`, which no library
//! of the workspace offers by a safe function.
#![deny(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

use std::io;
use std::mem::MaybeUninit;
use std::mem::offset_of;
use std::os::fd::AsFd;
use std::os::fd::AsRawFd;
use std::time::Duration;

/// A connection as the kernel sees it at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TcpInfo {
    /// The smoothed time from sending to the acknowledgement, to the
    /// microsecond; `None` before the first was measured. Of a peer that delays
    /// acknowledgements it holds that delay, but for the handshake's.
    pub round_trip: Option<Duration>,
    /// Mean deviation of it, to the microsecond: half of it after the first.
    pub deviation: Duration,
    /// How long ago the last bytes came, read or not, to the millisecond.
    pub since_received: Duration,
}

/// Bytes of the kernel's answer that hold all that is used here: kernels add
/// fields at its end.
const NEEDED_BYTES: usize = offset_of!(libc::tcp_info, tcpi_snd_ssthresh);

/// Asks the kernel for the state of a connection.
///
/// # Errors
/// When it is no TCP connection, or the kernel does not tell.
pub fn tcp_info(stream: &impl AsFd) -> io::Result<TcpInfo> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the pointer and the length describe `info`, which lives through the
    // call, and the kernel writes no more than `length` bytes.
    #[allow(unsafe_code)]
    let code = unsafe {
        libc::getsockopt(
            stream.as_fd().as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &raw mut length,
        )
    };
    if code != 0 {
        return Err(io::Error::last_os_error());
    }
    if (length as usize) < NEEDED_BYTES {
        return Err(io::Error::new(io::ErrorKind::Unsupported, "the kernel tells too little"));
    }
    // SAFETY: all bytes were zeroed, and any bytes are a value of a struct of integers.
    #[allow(unsafe_code)]
    let info = unsafe { info.assume_init() };
    let round_trip = Duration::from_micros(u64::from(info.tcpi_rtt));
    Ok(TcpInfo {
        round_trip: Some(round_trip).filter(|round_trip| !round_trip.is_zero()),
        deviation: Duration::from_micros(u64::from(info.tcpi_rttvar)),
        since_received: Duration::from_millis(u64::from(info.tcpi_last_data_recv)),
    })
}
