//! Stand-in for the platform: a key-value store with compare-and-swap, leases and
//! watches, and a list of hosts that shows changes with a delay.
//!
//! - [`options`]: rate limits and delays.
//! - [`faults`]: faults that a test can inject.
//! - [`control`]: control handle of a running platform, for tests.
//! - [`store`]: the key-value store, without sockets or clock.

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
pub mod rate_limit;
mod serving;
pub mod store;

pub use control::CallCounters;
pub use control::CallKind;
pub use control::PlatformControl;
pub use faults::PlatformFaults;
pub use faults::StoreOutage;
pub use options::PlatformOptions;

quick_error! {
    /// Errors of starting the platform.
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

/// A running platform. Dropping it stops the platform.
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

    /// The listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The control handle.
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
                    log::debug!("a connection was closed immediately: {err}");
                    continue;
                }
                let handler = Arc::clone(&handler);
                tokio::spawn(wire::serve_connection(stream, handler, stop.clone()));
            }
            Err(err) => log::warn!("the platform cannot accept connections: {err}"),
        }
    }
}
