//! A stand-in for the platform: key-value store with compare-and-swap, leases
//! and watches, and the lagging list of hosts.
//!
//! - [`options`]: its rates and lags.
//! - [`faults`]: what a test can make it do wrong.
//! - [`control`]: the test's handle on a running platform.
//! - [`store`]: the keys, without sockets or clock.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use quick_error::quick_error;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use crate::wire;

pub mod control;
pub mod faults;
pub mod hosts;
pub mod options;
pub mod rate;
mod serving;
pub mod store;

pub use control::CallCounters;
pub use control::CallKind;
pub use control::PlatformControl;
pub use faults::PlatformFaults;
pub use faults::StoreOutage;
pub use options::PlatformOptions;

quick_error! {
    /// Why the platform could not start.
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

/// A running platform; stops when dropped.
#[derive(Debug)]
pub struct PlatformStandin {
    address: SocketAddr,
    control: PlatformControl,
    _stop: DropGuard,
}

impl PlatformStandin {
    /// Starts a platform on a free loopback port.
    pub async fn start(options: PlatformOptions) -> Result<Self, Error> {
        let (listener, address) = wire::bind().await?;
        let stop = options.stop.child_token();
        let control = PlatformControl::new(&options);
        tokio::spawn(accept(listener, control.clone(), stop.clone()));
        Ok(Self { address, control, _stop: stop.drop_guard() })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The test's handle on it.
    pub fn control(&self) -> &PlatformControl {
        &self.control
    }
}

async fn accept(listener: TcpListener, control: PlatformControl, stop: CancellationToken) {
    let handler = Arc::new(serving::PlatformHandler::new(control));
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Err(err) = stream.set_nodelay(true) {
                    log::debug!("a connection closed at once: {err}");
                    continue;
                }
                let handler = Arc::clone(&handler);
                tokio::spawn(wire::serve_connection(stream, handler, stop.clone()));
            }
            Err(err) => log::warn!("the platform cannot accept: {err}"),
        }
    }
}
