//! A fault-injecting network: TCP and UDP proxies that delay, lose, cut and
//! reset as a test tells them.
//!
//! - [`faults`]: what can go wrong on one link.
//! - [`tcp`] and [`udp`]: one proxy in front of one address.
//! - [`host`]: one proxy for both in front of a host, faults by source.
//! - [`network`]: all links of a test, by the places they join.

use std::io;

use quick_error::quick_error;

pub mod faults;
pub mod host;
pub mod network;
mod route;
pub mod tcp;
pub mod udp;

pub use faults::DripRate;
pub use faults::LinkControl;
pub use faults::LinkFaults;
pub use host::HostLink;
pub use network::NetworkLocation;
pub use network::NetworkOptions;
pub use network::StandinNetwork;
pub use tcp::TcpProxy;
pub use udp::UdpProxy;

quick_error! {
    /// Why a proxy could not start.
    #[derive(Debug)]
    pub enum Error {
        /// No port could be bound.
        Bind(err: io::Error) {
            display("cannot bind a loopback port: {err}")
            source(err)
            from()
        }
    }
}
