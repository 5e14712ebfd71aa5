//! Whom the load generator asks.

use std::net::SocketAddr;

use futures::future::BoxFuture;
use hawthorn_types::CallerAnswer;
use hawthorn_types::OnceRequest;
use hawthorn_types::SearchQuery;
use serde::Serialize;

use super::pool::ConnectionPool;
use super::pool::Error;

/// What a caller hears.
#[derive(Clone, Debug, PartialEq)]
pub enum TierResponse {
    /// An answer.
    Answered(Box<CallerAnswer>),
    /// The connection broke, or what came was no answer.
    ConnectionLost,
    /// No connection could be made: nothing was sent.
    NotSent,
}

/// Something that answers callers.
pub trait QueryTier: Send + Sync {
    /// The names of its entry points, as they stand in the history.
    fn fronts(&self) -> Vec<String>;

    /// Sends a search to entry point number `front`.
    fn query<'a>(&'a self, front: usize, query: &'a SearchQuery) -> BoxFuture<'a, TierResponse>;

    /// Sends a non-idempotent request to entry point number `front`.
    fn once<'a>(&'a self, front: usize, request: &'a OnceRequest) -> BoxFuture<'a, TierResponse>;
}

/// One entry host of the tier.
#[derive(Clone, Debug)]
pub struct EntryHost {
    /// The daemon's name in the history.
    pub name: String,
    /// Its callers' interface.
    pub address: SocketAddr,
}

/// The tier, by its entry hosts.
#[derive(Clone, Debug)]
pub struct HttpTier {
    hosts: Vec<EntryHost>,
    pools: Vec<ConnectionPool>,
}

impl HttpTier {
    /// The tier at `hosts`, with at most `connections` to each.
    pub fn new(hosts: Vec<EntryHost>, connections: usize) -> Self {
        let pools =
            hosts.iter().map(|host| ConnectionPool::new(host.address, connections)).collect();
        Self { hosts, pools }
    }

    async fn post<T: Serialize>(&self, front: usize, path: &str, body: &T) -> TierResponse {
        let Some(pool) = self.pools.get(front) else { return TierResponse::NotSent };
        match pool.post(path, body).await {
            // The status repeats the outcome; the body is what counts.
            Ok((_, bytes)) => match serde_json::from_slice(&bytes) {
                Ok(answer) => TierResponse::Answered(Box::new(answer)),
                Err(_) => TierResponse::ConnectionLost,
            },
            Err(Error::Cut) => TierResponse::ConnectionLost,
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
