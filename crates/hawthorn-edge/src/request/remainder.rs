//! Parts of a peer's query that were not in when it was replied to.
//!
//! Load: shards of several zones are slow, and each zone's gatherer lacks no more parts
//! than the answer may do without, but together they lack more. The front then asks for
//! the remainder; while nobody asks, it is given up after a short time.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::connection::message::GatherReply;

/// A front asks for the remainder within so long, or not at all: the way between zones
/// twice, and what its own lag delays the decision.
pub(crate) const HOLD_TIME: Duration = Duration::from_millis(30);

/// A front asks for more parts.
#[derive(Debug)]
pub(crate) struct RemainderOrder {
    /// How many the answer needs.
    pub(crate) needed: usize,
    /// Where they go.
    pub(crate) reply: oneshot::Sender<GatherReply>,
}

type HeldMap = Rc<RefCell<HashMap<u64, oneshot::Sender<RemainderOrder>>>>;

/// Queries that were replied to and are held for their fronts.
#[derive(Debug, Default)]
pub(crate) struct RemainderTable {
    held: HeldMap,
    next: Cell<u64>,
}

/// A query that is held until this is dropped.
#[derive(Debug)]
pub(crate) struct HeldRemainder {
    pub(crate) token: u64,
    pub(crate) asked: oneshot::Receiver<RemainderOrder>,
    held: HeldMap,
}

impl RemainderTable {
    /// Holds a query.
    pub(crate) fn hold(&self) -> HeldRemainder {
        let token = self.next.get();
        self.next.set(token.wrapping_add(1));
        let (sender, asked) = oneshot::channel();
        self.held.borrow_mut().insert(token, sender);
        HeldRemainder { token, asked, held: Rc::clone(&self.held) }
    }

    /// Hands an order to the query; one that is not held any more drops it, which the
    /// front hears of.
    pub(crate) fn ask(&self, token: u64, order: RemainderOrder) {
        if let Some(sender) = self.held.borrow_mut().remove(&token) {
            // The query may have ended in this moment.
            let _ended = sender.send(order);
        }
    }
}

impl Drop for HeldRemainder {
    fn drop(&mut self) {
        self.held.borrow_mut().remove(&self.token);
    }
}
