//! A stand-in for a target: one server with slots that holds ranges of indices.
//!
//! - [`options`]: what a target is like when it starts.
//! - [`faults`]: what a test can make it do wrong.
//! - [`control`]: the test's handle on a running target.

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
pub use faults::StateLie;
pub use faults::TargetFaults;
pub use options::ServiceTime;
pub use options::TargetOptions;
pub use state::TargetCounters;

quick_error! {
    /// Why a target could not start.
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

/// A running target; stops when dropped.
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The test's handle on it.
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
                tokio::spawn(connection(stream, control.clone(), stop.clone()));
            }
            Err(err) => log::warn!("a target cannot accept: {err}"),
        }
    }
}

async fn connection(stream: TcpStream, control: TargetControl, stop: CancellationToken) {
    let served = async {
        // Beyond its limit a target closes a connection at once; the caller sees
        // an early end of file.
        let Some(_held) = control.open_connection() else { return };
        if let Err(err) = stream.set_nodelay(true) {
            log::debug!("a connection closed at once: {err}");
            return;
        }
        timer::sleep(control.connect_cost()).await;
        let handler = Arc::new(serving::TargetHandler::new(control.clone()));
        wire::serve_connection(stream, handler, stop).await;
    };
    tokio::select! {
        biased;
        () = control.goes_down() => {}
        () = served => {}
    }
}
