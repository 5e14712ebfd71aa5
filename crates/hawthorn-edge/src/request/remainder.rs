//! Parts of a peer's query that had not arrived when it was replied to.
//!
//! Handles slow shards in several zones: each zone's gatherer misses no more parts than may be
//! missing from the answer, but together they miss more. The peer then requests the remainders.
//! A gatherer discards a remainder that is not requested within a short time.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use tokio::sync::oneshot;

use crate::connection::message::GatherReply;

/// Time within which a peer requests the remainder: two network delays between zones, and the
/// scheduling delay of its decision.
pub(crate) const HOLD_TIME: Duration = Duration::from_millis(30);

/// A peer's request for more parts.
#[derive(Debug)]
pub struct RemainderRequest {
    /// Number of parts that the answer needs.
    pub needed: usize,
    /// Channel for the reply.
    pub reply: oneshot::Sender<GatherReply>,
}

type HeldMap = Rc<RefCell<HashMap<u64, oneshot::Sender<RemainderRequest>>>>;

/// Queries that were replied to and are held for further requests.
#[derive(Debug)]
pub struct RemainderTable {
    held: HeldMap,
    next: Cell<u64>,
}

impl Default for RemainderTable {
    /// Tokens begin with a random number: a request that arrives after a restart of this host
    /// must not name a query of the new process.
    fn default() -> Self {
        Self { held: HeldMap::default(), next: Cell::new(rand::rng().random()) }
    }
}

/// A held query; released on drop.
#[derive(Debug)]
pub struct HeldRemainder {
    /// Names the query in requests of the peer.
    pub token: u64,
    /// The peer's request.
    pub requested: oneshot::Receiver<RemainderRequest>,
    held: HeldMap,
}

impl RemainderTable {
    /// Registers a query under a new token.
    pub fn hold(&self) -> HeldRemainder {
        let token = self.next.get();
        self.next.set(token.wrapping_add(1));
        let (sender, requested) = oneshot::channel();
        self.held.borrow_mut().insert(token, sender);
        HeldRemainder { token, requested, held: Rc::clone(&self.held) }
    }

    /// Passes a request to a held query. If the query is no longer held, the request is
    /// dropped, which the peer receives as [`GatherReply::Stopping`].
    pub fn request(&self, token: u64, request: RemainderRequest) {
        if let Some(sender) = self.held.borrow_mut().remove(&token) {
            // The query may just have ended.
            let _ended = sender.send(request);
        }
    }
}

impl Drop for HeldRemainder {
    fn drop(&mut self) {
        self.held.borrow_mut().remove(&self.token);
    }
}
