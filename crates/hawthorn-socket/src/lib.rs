//! The kernel's statistics of a TCP connection.
//!
//! The only crate with unsafe code: `getsockopt(TCP_INFO)`, for which no dependency of
//! the workspace offers a safe wrapper.
#![deny(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

use std::io;
use std::mem::MaybeUninit;
use std::mem::offset_of;
use std::os::fd::AsFd;
use std::os::fd::AsRawFd;
use std::time::Duration;

/// Kernel statistics of a connection at one point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TcpInfo {
    /// Smoothed round-trip time, in microsecond resolution; `None` before the first
    /// sample. If the peer delays acknowledgements it includes that delay, except in the
    /// sample from the handshake.
    pub round_trip: Option<Duration>,
    /// Mean deviation of the round-trip time, in microsecond resolution; half the
    /// round-trip time after the first sample.
    pub deviation: Duration,
    /// Time since data was last received, whether it has been read or not, in
    /// millisecond resolution.
    pub since_received: Duration,
}

/// Length of the prefix of `tcp_info` that contains all fields used here. Newer kernels
/// append fields, so the length returned varies.
const MIN_INFO_BYTES: usize = offset_of!(libc::tcp_info, tcpi_snd_ssthresh);

/// Reads the kernel's statistics of a connection.
///
/// # Errors
/// If `stream` is not a TCP socket, or the kernel returns fewer fields than are used here.
pub fn tcp_info(stream: &impl AsFd) -> io::Result<TcpInfo> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the pointer and the length describe `info`, which outlives the call, and
    // the kernel writes at most `length` bytes.
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
    if (length as usize) < MIN_INFO_BYTES {
        return Err(io::Error::new(io::ErrorKind::Unsupported, "TCP_INFO lacks required fields"));
    }
    // SAFETY: all bytes are initialized, and any bit pattern is valid for integer fields.
    #[allow(unsafe_code)]
    let info = unsafe { info.assume_init() };
    let round_trip = Duration::from_micros(u64::from(info.tcpi_rtt));
    Ok(TcpInfo {
        round_trip: Some(round_trip).filter(|round_trip| !round_trip.is_zero()),
        deviation: Duration::from_micros(u64::from(info.tcpi_rttvar)),
        since_received: Duration::from_millis(u64::from(info.tcpi_last_data_recv)),
    })
}
