//! Stand-in for a target: a server with a limited number of slots that holds index ranges.
//!
//! - [`options`]: start options of a target.
//! - [`faults`]: faults that a test can inject.
//! - [`control`]: control handle of a running target, for tests.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use quick_error::quick_error;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use crate::timer;
use crate::wire;

mod attempt;
pub mod control;
pub mod faults;
pub mod options;
mod serving;
mod state;

pub use control::TargetControl;
pub use faults::StateOverride;
pub use faults::TargetFaults;
pub use options::ServiceTime;
pub use options::TargetOptions;
pub use state::TargetCounters;

quick_error! {
    /// Errors of starting a target.
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

/// A running target. Dropping it stops the target.
#[derive(Debug)]
pub struct TargetStandin {
    address: SocketAddr,
    control: TargetControl,
    _stop: DropGuard,
}

impl TargetStandin {
    /// Starts a target on a free loopback port.
    pub async fn start(options: TargetOptions) -> Result<Self, Error> {
        let (listener, address) = wire::bind().await?;
        let stop = options.stop.child_token();
        let control = TargetControl::new(options);
        tokio::spawn(accept(listener, control.clone(), stop.clone()));
        Ok(Self { address, control, _stop: stop.drop_guard() })
    }

    /// The listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The control handle.
    pub fn control(&self) -> &TargetControl {
        &self.control
    }
}

async fn accept(listener: TcpListener, control: TargetControl, stop: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, control.clone(), stop.clone()));
            }
            Err(err) => log::warn!("a target cannot accept connections: {err}"),
        }
    }
}

async fn serve_connection(stream: TcpStream, control: TargetControl, stop: CancellationToken) {
    let served = async {
        // Connections beyond the limit are closed immediately; the client reads an
        // unexpected end of file.
        let Some(_guard) = control.open_connection() else { return };
        if let Err(err) = stream.set_nodelay(true) {
            log::debug!("a connection was closed immediately: {err}");
            return;
        }
        timer::sleep(control.connect_cost()).await;
        let handler = Arc::new(serving::TargetHandler::new(control.clone()));
        wire::serve_connection(stream, handler, stop).await;
    };
    tokio::select! {
        biased;
        () = control.wait_until_down() => {}
        () = served => {}
    }
}
