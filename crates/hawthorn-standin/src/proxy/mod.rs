//! A fault-injecting network: TCP and UDP proxies that a test can make delay, lose,
//! block or reset traffic.
//!
//! - [`faults`]: faults of one link.
//! - [`tcp`] and [`udp`]: one proxy in front of one address.
//! - [`host`]: one proxy for both in front of a host, with faults by source address.
//! - [`network`]: all links of a test, by the locations that they connect.

use std::io;

use quick_error::quick_error;

pub mod faults;
pub mod host;
pub mod network;
mod route;
pub mod tcp;
pub mod udp;

pub use faults::LinkControl;
pub use faults::LinkFaults;
pub use faults::ThrottleRate;
pub use host::HostLink;
pub use network::NetworkLocation;
pub use network::NetworkOptions;
pub use network::StandinNetwork;
pub use tcp::TcpProxy;
pub use udp::UdpProxy;

quick_error! {
    /// Errors of starting a proxy.
    #[derive(Debug)]
    pub enum Error {
        /// Binding a port failed.
        Bind(err: io::Error) {
            display("cannot bind a loopback port: {err}")
            source(err)
            from()
        }
    }
}
