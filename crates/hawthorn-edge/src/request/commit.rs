//! When a host may make further attempts for a peer's query.
//!
//! Handles a peer whose link or event loop is busy: it reads no reply in time, takes this host for
//! silent, and has another host gather the same shards while this one is at work. A peer replaces
//! only hosts that it has not committed to, and these make one attempt at each shard at most. So the
//! peer knows how many attempts a replaced host may have made, however late its cancellation is
//! read.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

type ExpectedMap = Rc<RefCell<HashMap<u64, Rc<Cell<bool>>>>>;

/// Queries of peers that have not committed to this host.
#[derive(Debug, Default)]
pub(crate) struct CommitTable {
    expected: ExpectedMap,
}

/// Whether the sender of a query has committed to this host.
#[derive(Debug)]
pub(crate) struct QueryCommit {
    token: Option<u64>,
    committed: Rc<Cell<bool>>,
    expected: ExpectedMap,
}

impl CommitTable {
    /// Expects the commit that names a query by `token`. Without one, its sender does not replace
    /// this host.
    pub(crate) fn expect(&self, token: Option<u64>) -> QueryCommit {
        let committed = Rc::new(Cell::new(token.is_none()));
        if let Some(token) = token {
            self.expected.borrow_mut().insert(token, Rc::clone(&committed));
        }
        QueryCommit { token, committed, expected: Rc::clone(&self.expected) }
    }

    /// Records the commit of a query; without effect if the query has ended.
    pub(crate) fn commit(&self, token: u64) {
        if let Some(committed) = self.expected.borrow_mut().remove(&token) {
            committed.set(true);
        }
    }
}

impl QueryCommit {
    /// The commit of a query that no other host can replace.
    pub(crate) fn given() -> Self {
        CommitTable::default().expect(None)
    }

    /// Whether this host may make more than one attempt at each shard.
    pub(crate) fn is_given(&self) -> bool {
        self.committed.get()
    }
}

impl Drop for QueryCommit {
    fn drop(&mut self) {
        if let Some(token) = self.token {
            self.expected.borrow_mut().remove(&token);
        }
    }
}
