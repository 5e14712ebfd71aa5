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

/// Maximum size of a message between daemons. Accommodates a configuration document of a megabyte
/// and the matches of a batch.
pub(crate) const MAX_FRAME_BYTES: usize = 64 << 20;

/// Timeout of a connect to another daemon: longer than any round trip within a region, far shorter
/// than a caller waits.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after a failed connect during which calls fail at once, so that they do not each wait for a
/// connect of their own.
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

    /// Calls that each daemon serves to the others.
    #[tarpc::service]
    pub trait PeerService {
        /// Searches the pieces at targets that this host owns.
        async fn search(batch: SearchBatch) -> BatchAnswer;
        /// Runs a non-idempotent request, already claimed by its front, at a target that this host
        /// owns.
        async fn run(batch: OnceBatch) -> OnceOutcome;
        /// Returns the owner's view of its shards.
        async fn view() -> OwnerView;
        /// Returns the configuration in force if it is newer than `have`.
        async fn pull_config(have: ConfigRevision) -> Option<ConfigCopy>;
        /// Offers a configuration; returns the revision in force afterwards.
        async fn push_config(copy: ConfigCopy) -> ConfigRevision;
    }
}
pub use service::PeerService;
pub use service::PeerServiceClient;

quick_error! {
    /// Reason why a call to a daemon got no answer.
    #[derive(Debug)]
    pub enum Error {
        /// Nothing was sent, because there is no connection.
        NotSent(text: String) {
            display("not sent: {text}")
        }
        /// The call may have been received, but no answer arrived in time.
        TimedOut {
            display("no answer in time")
        }
        /// The connection failed; the call may have been received.
        Lost(text: String) {
            display("no answer: {text}")
        }
    }
}

/// Connection to one peer, or the time of the last failed connect.
#[derive(Clone, Debug)]
enum PeerLink {
    Open(PeerServiceClient),
    Failed(Instant),
}

/// Connections to other daemons, opened on first use and kept open.
#[derive(Debug)]
pub struct PeerLinks {
    /// Source address of all connections. Binding it explicitly lets peers recognise this host even
    /// if it has several addresses.
    source: IpAddr,
    links: Mutex<HashMap<SocketAddr, PeerLink>>,
}

impl PeerLinks {
    /// Creates an empty set; connections are opened from `source`.
    pub fn new(source: IpAddr) -> Self {
        Self { source, links: Mutex::default() }
    }

    /// Returns a client for the daemon at `address`.
    ///
    /// # Errors
    /// [`Error::NotSent`] if no connection can be opened.
    pub async fn client(&self, address: SocketAddr) -> Result<PeerServiceClient, Error> {
        match self.link(address) {
            Some(PeerLink::Open(client)) => return Ok(client),
            Some(PeerLink::Failed(at)) if at.elapsed() < CONNECT_BACKOFF => {
                return Err(Error::NotSent("the last connect failed recently".into()));
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

    /// Closes the connections to all addresses that `is_kept` rejects.
    ///
    /// When a host returns after being unreachable for minutes, its old TCP connection is still
    /// open, but the retransmissions are a minute apart by then, so every call on it is lost.
    /// Closing the connection to an unreachable host lets its return open a new one.
    pub fn retain(&self, is_kept: impl Fn(SocketAddr) -> bool) {
        let mut links = self.links.lock().expect("no holder of the lock panics");
        links.retain(|&address, _| is_kept(address));
    }

    /// Drops the connection, so that the next call opens a new one.
    pub fn remove(&self, address: SocketAddr) {
        self.links.lock().expect("no holder of the lock panics").remove(&address);
    }

    async fn connect(&self, address: SocketAddr) -> Result<PeerServiceClient, Error> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, self.open(address))
            .await
            .map_err(|_| Error::NotSent("connect timed out".into()))?
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

    /// Maps an RPC error to whether the call may have been received, and drops the connection if it
    /// is broken.
    pub fn classify_error(&self, address: SocketAddr, error: client::RpcError) -> Error {
        match error {
            client::RpcError::DeadlineExceeded => Error::TimedOut,
            client::RpcError::Shutdown => {
                self.remove(address);
                Error::Lost("connection closed".into())
            }
            client::RpcError::Channel(error) => {
                self.remove(address);
                Error::Lost(error.to_string())
            }
            other => Error::Lost(other.to_string()),
        }
    }
}

/// Context of a call whose answer is useful only within `remaining`.
pub fn call_context(remaining: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + remaining;
    context
}
