//! What owners last said of their shards, as fronts plan from it.
//!
//! Views ride on batch answers when they changed; a view that is missing or
//! stale is asked for. No message is sent to owners whose shards nobody queries
//! and whose view is fresh.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use hawthorn_fleet::MemberId;

use crate::connection::message::OwnerView;

/// One owner's view and when it was last known to be current.
#[derive(Clone, Debug)]
pub struct HeardView {
    /// The view.
    pub view: Arc<OwnerView>,
    /// When it came.
    pub at: Instant,
}

/// Views of all owners heard from.
#[derive(Debug, Default)]
pub struct ViewTable {
    views: Mutex<ViewState>,
}

#[derive(Debug, Default)]
struct ViewState {
    generation: u64,
    views: HashMap<MemberId, HeardView>,
}

impl ViewTable {
    /// Takes in a view. One that is older than what is known, overtaken on its
    /// way, is dropped unless the owner began anew.
    pub fn hear(&self, owner: MemberId, view: OwnerView) {
        let mut state = self.views.lock().expect("no holder of the lock panics");
        let at = Instant::now();
        match state.views.get_mut(&owner) {
            Some(known) if *known.view == view => known.at = at,
            _ => {
                state.views.insert(owner, HeardView { view: Arc::new(view), at });
                state.generation += 1;
            }
        }
    }

    /// Forgets all owners but those: their processes were replaced or are gone.
    pub fn keep(&self, is_kept: impl Fn(MemberId) -> bool) {
        let mut state = self.views.lock().expect("no holder of the lock panics");
        let before = state.views.len();
        state.views.retain(|&id, _| is_kept(id));
        if state.views.len() != before {
            state.generation += 1;
        }
    }

    /// The owner's view, if one was heard.
    pub fn get(&self, owner: MemberId) -> Option<HeardView> {
        self.views.lock().expect("no holder of the lock panics").views.get(&owner).cloned()
    }

    /// The generation of the owner's view, 0 when none was heard.
    pub fn generation_of(&self, owner: MemberId) -> u64 {
        self.get(owner).map_or(0, |heard| heard.view.generation)
    }

    /// Whether nothing was heard of the owner for `age`.
    pub fn is_stale(&self, owner: MemberId, age: Duration) -> bool {
        self.get(owner).is_none_or(|heard| heard.at.elapsed() >= age)
    }

    /// Grows with each change of any view.
    pub fn generation(&self) -> u64 {
        self.views.lock().expect("no holder of the lock panics").generation
    }
}
