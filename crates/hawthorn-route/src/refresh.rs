//! Selects the peers that a host asks for a confirmation while it cannot reach the store.
//!
//! Handles a fault that cuts most hosts off from the store: a peer selected at random is probably
//! cut off as well, and a host that asked only such peers would refuse keys although others are
//! confirmed.

use rand::Rng;
use rand::seq::IteratorRandom;
use smallvec::SmallVec;

/// The peers that were asked, and the one that last had a recent confirmation.
#[derive(Clone, Debug)]
pub struct RefreshOrder<P> {
    useful: Option<P>,
    /// Peers without a recent confirmation, in the current pass over all peers.
    asked: SmallVec<[P; 8]>,
}

impl<P> Default for RefreshOrder<P> {
    fn default() -> Self {
        Self { useful: None, asked: SmallVec::new() }
    }
}

impl<P: Copy + Eq> RefreshOrder<P> {
    /// Selects the peer that was useful last, or else a random one that was not asked in this pass;
    /// `None` if there are no peers.
    pub fn select(&mut self, peers: &[P], rng: &mut impl Rng) -> Option<P> {
        if let Some(useful) = self.useful.filter(|useful| peers.contains(useful)) {
            return Some(useful);
        }
        if peers.iter().all(|peer| self.asked.contains(peer)) {
            self.asked.clear();
        }
        peers.iter().copied().filter(|peer| !self.asked.contains(peer)).choose(rng)
    }

    /// Records whether a peer had a recent confirmation.
    pub fn record(&mut self, peer: P, was_useful: bool) {
        if was_useful {
            self.useful = Some(peer);
            self.asked.clear();
            return;
        }
        self.useful = self.useful.filter(|useful| *useful != peer);
        self.asked.push(peer);
    }
}
