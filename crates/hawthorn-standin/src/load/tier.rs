//! Systems that the load generator sends requests to.

use std::net::SocketAddr;

use futures::future::BoxFuture;
use hawthorn_types::CallerAnswer;
use hawthorn_types::OnceRequest;
use hawthorn_types::SearchQuery;
use serde::Serialize;

use super::pool::ConnectionPool;
use super::pool::Error;

/// Response to a caller's request.
#[derive(Clone, Debug, PartialEq)]
pub enum TierResponse {
    /// An answer.
    Answered(Box<CallerAnswer>),
    /// The connection was lost, or the answer was invalid.
    ConnectionLost,
    /// Connecting failed; nothing was sent.
    NotSent,
}

/// A system that answers callers.
pub trait QueryTier: Send + Sync {
    /// The names of its entry hosts, as in the history.
    fn fronts(&self) -> Vec<String>;

    /// Sends a search to entry host number `front`.
    fn query<'a>(&'a self, front: usize, query: &'a SearchQuery) -> BoxFuture<'a, TierResponse>;

    /// Sends a non-idempotent request to entry host number `front`.
    fn once<'a>(&'a self, front: usize, request: &'a OnceRequest) -> BoxFuture<'a, TierResponse>;
}

/// One entry host of the tier.
#[derive(Clone, Debug)]
pub struct EntryHost {
    /// The daemon's name in the history.
    pub name: String,
    /// The address of its callers' interface.
    pub address: SocketAddr,
}

/// A client of the tier's entry hosts.
#[derive(Clone, Debug)]
pub struct HttpTier {
    hosts: Vec<EntryHost>,
    pools: Vec<ConnectionPool>,
}

impl HttpTier {
    /// A client of `hosts`, with at most `connections` connections to each.
    pub fn new(hosts: Vec<EntryHost>, connections: usize) -> Self {
        let pools =
            hosts.iter().map(|host| ConnectionPool::new(host.address, connections)).collect();
        Self { hosts, pools }
    }

    async fn post<T: Serialize>(&self, front: usize, path: &str, body: &T) -> TierResponse {
        let Some(pool) = self.pools.get(front) else { return TierResponse::NotSent };
        match pool.post(path, body).await {
            // The status is redundant, as the body contains the outcome.
            Ok((_, bytes)) => match serde_json::from_slice(&bytes) {
                Ok(answer) => TierResponse::Answered(Box::new(answer)),
                Err(_) => TierResponse::ConnectionLost,
            },
            Err(Error::ConnectionLost) => TierResponse::ConnectionLost,
            Err(Error::Connect(_) | Error::Closed) => TierResponse::NotSent,
        }
    }
}

impl QueryTier for HttpTier {
    fn fronts(&self) -> Vec<String> {
        self.hosts.iter().map(|host| host.name.clone()).collect()
    }

    fn query<'a>(&'a self, front: usize, query: &'a SearchQuery) -> BoxFuture<'a, TierResponse> {
        Box::pin(self.post(front, "/v1/query", query))
    }

    fn once<'a>(&'a self, front: usize, request: &'a OnceRequest) -> BoxFuture<'a, TierResponse> {
        Box::pin(self.post(front, "/v1/request", request))
    }
}
