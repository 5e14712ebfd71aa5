//! Calls between daemons, by tarpc over TCP.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use hawthorn_types::ConfigRevision;
use quick_error::quick_error;
use tarpc::client;
use tarpc::context;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio_util::codec::LengthDelimitedCodec;

use crate::connection::message::BatchAnswer;
use crate::connection::message::ConfigCopy;
use crate::connection::message::OnceBatch;
use crate::connection::message::OnceOutcome;
use crate::connection::message::OwnerView;
use crate::connection::message::SearchBatch;

/// A message between daemons is at most so large: a configuration document of
/// a megabyte, or the matches of a batch.
pub(crate) const MAX_FRAME_BYTES: usize = 64 << 20;

/// Opening a connection to a daemon takes at most so long: longer than any
/// round trip in a region, far shorter than a caller waits.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// After a failed connect, calls fail at once for so long instead of each
/// waiting for its own connect.
const CONNECT_BACKOFF: Duration = Duration::from_millis(250);

#[allow(missing_docs)]
mod service {
    use super::BatchAnswer;
    use super::ConfigCopy;
    use super::ConfigRevision;
    use super::OnceBatch;
    use super::OnceOutcome;
    use super::OwnerView;
    use super::SearchBatch;

    /// What each daemon offers the others.
    #[tarpc::service]
    pub trait PeerService {
        /// Searches the pieces at targets that this host owns.
        async fn search(batch: SearchBatch) -> BatchAnswer;
        /// Runs a non-idempotent request, which its front has claimed, at a target that this host owns.
        async fn run(batch: OnceBatch) -> OnceOutcome;
        /// The owner's view of its shards.
        async fn view() -> OwnerView;
        /// The configuration in force, when newer than `have`.
        async fn pull_config(have: ConfigRevision) -> Option<ConfigCopy>;
        /// Offers a configuration; answers the revision in force afterwards.
        async fn push_config(copy: ConfigCopy) -> ConfigRevision;
    }
}
pub use service::PeerService;
pub use service::PeerServiceClient;

quick_error! {
    /// Why a call to a daemon brought no answer.
    #[derive(Debug)]
    pub enum Error {
        /// Nothing was sent: there is no connection.
        NotSent(text: String) {
            display("not sent: {text}")
        }
        /// It may have been received, and no answer came in time.
        Late {
            display("no answer in time")
        }
        /// It may have been received.
        Lost(text: String) {
            display("no answer: {text}")
        }
    }
}

/// One peer's connection, or when connecting to it last failed.
#[derive(Clone, Debug)]
enum PeerLink {
    Open(PeerServiceClient),
    Failed(Instant),
}

/// Connections to other daemons, opened when first needed and kept.
#[derive(Debug)]
pub struct PeerLinks {
    /// Connections come from this host's own address and not from whichever
    /// the system picks: on a host with several, others could not tell them apart.
    source: IpAddr,
    links: Mutex<HashMap<SocketAddr, PeerLink>>,
}

impl PeerLinks {
    /// No connections yet; later ones come from `source`.
    pub fn new(source: IpAddr) -> Self {
        Self { source, links: Mutex::default() }
    }

    /// A client for the daemon at `address`.
    ///
    /// # Errors
    /// [`Error::NotSent`] when it cannot be connected.
    pub async fn client(&self, address: SocketAddr) -> Result<PeerServiceClient, Error> {
        match self.link(address) {
            Some(PeerLink::Open(client)) => return Ok(client),
            Some(PeerLink::Failed(at)) if at.elapsed() < CONNECT_BACKOFF => {
                return Err(Error::NotSent("connecting failed a moment ago".into()));
            }
            _ => {}
        }
        match self.connect(address).await {
            Ok(client) => {
                self.set(address, PeerLink::Open(client.clone()));
                Ok(client)
            }
            Err(error) => {
                self.set(address, PeerLink::Failed(Instant::now()));
                Err(error)
            }
        }
    }

    fn link(&self, address: SocketAddr) -> Option<PeerLink> {
        self.links.lock().expect("no holder of the lock panics").get(&address).cloned()
    }

    fn set(&self, address: SocketAddr, link: PeerLink) {
        self.links.lock().expect("no holder of the lock panics").insert(address, link);
    }

    /// Closes connections to all but those addresses.
    ///
    /// Failure: a host is cut off for minutes and comes back. The old connection
    /// still stands, but its retransmissions are a minute apart by then, and
    /// every call on it is lost meanwhile. A host that is not there any more
    /// gets a new connection when it returns.
    pub fn keep(&self, is_kept: impl Fn(SocketAddr) -> bool) {
        let mut links = self.links.lock().expect("no holder of the lock panics");
        links.retain(|&address, _| is_kept(address));
    }

    /// Forgets the connection, so that the next call opens a new one.
    pub fn forget(&self, address: SocketAddr) {
        self.links.lock().expect("no holder of the lock panics").remove(&address);
    }

    async fn connect(&self, address: SocketAddr) -> Result<PeerServiceClient, Error> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, self.open(address))
            .await
            .map_err(|_| Error::NotSent("connecting took too long".into()))?
            .map_err(|error| Error::NotSent(error.to_string()))?;
        let framed =
            LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream);
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        Ok(PeerServiceClient::new(client::Config::default(), transport).spawn())
    }

    async fn open(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        if self.source.is_ipv4() == address.is_ipv4() {
            socket.bind(SocketAddr::new(self.source, 0))?;
        }
        let stream = socket.connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// Reads what an error of a call means for whether it was received, and
    /// forgets the connection when it is broken.
    pub fn judge(&self, address: SocketAddr, error: client::RpcError) -> Error {
        match error {
            client::RpcError::DeadlineExceeded => Error::Late,
            client::RpcError::Shutdown => {
                self.forget(address);
                Error::Lost("connection closed".into())
            }
            client::RpcError::Channel(error) => {
                self.forget(address);
                Error::Lost(error.to_string())
            }
            other => Error::Lost(other.to_string()),
        }
    }
}

/// The context of a call that is of use only for `left`.
pub fn call_context(left: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + left;
    context
}
