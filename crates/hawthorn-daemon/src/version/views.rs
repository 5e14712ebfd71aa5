//! Last known views of the owners, used by fronts for planning.
//!
//! A batch answer carries the owner's view if it changed; any other answer confirms the last one.
//! Views are fetched separately only for owners that are needed here and have not answered
//! recently, so the cost depends on the queries and not on the size of the fleet.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use hawthorn_fleet::MemberId;

use crate::connection::message::OwnerView;

/// An owner's view and the time at which it was last known to be current.
#[derive(Clone, Debug)]
pub struct CachedView {
    /// The view.
    pub view: Arc<OwnerView>,
    /// When it was last received or confirmed.
    pub at: Instant,
}

/// Views of all owners that have sent one.
#[derive(Debug, Default)]
pub struct ViewTable {
    views: Mutex<ViewState>,
}

#[derive(Debug, Default)]
struct ViewState {
    generation: u64,
    views: HashMap<MemberId, CachedView>,
    needed: HashMap<MemberId, Instant>,
    timed_out: HashMap<MemberId, Instant>,
}

impl ViewTable {
    /// Stores a received view and increases the generation if it differs from the last one.
    pub fn update(&self, owner: MemberId, view: OwnerView) {
        let mut state = self.views.lock().expect("no holder of the lock panics");
        let at = Instant::now();
        match state.views.get_mut(&owner) {
            Some(cached) if *cached.view == view => cached.at = at,
            _ => {
                state.views.insert(owner, CachedView { view: Arc::new(view), at });
                state.generation += 1;
            }
        }
    }

    /// Records that an owner answered with its view unchanged.
    pub fn touch(&self, owner: MemberId) {
        let mut state = self.views.lock().expect("no holder of the lock panics");
        if let Some(cached) = state.views.get_mut(&owner) {
            cached.at = Instant::now();
        }
    }

    /// Records that an owner did not answer a request for its view.
    pub fn record_timeout(&self, owner: MemberId) {
        let mut state = self.views.lock().expect("no holder of the lock panics");
        state.timed_out.insert(owner, Instant::now());
    }

    /// Whether an owner failed to answer within the last `age`.
    pub fn timed_out_within(&self, owner: MemberId, age: Duration) -> bool {
        let state = self.views.lock().expect("no holder of the lock panics");
        state.timed_out.get(&owner).is_some_and(|at| at.elapsed() < age)
    }

    /// Marks the views of these owners as needed, for a limited time.
    pub fn mark_needed(&self, owners: impl IntoIterator<Item = MemberId>) {
        let mut state = self.views.lock().expect("no holder of the lock panics");
        let now = Instant::now();
        state.needed.extend(owners.into_iter().map(|owner| (owner, now)));
    }

    /// Whether the view of an owner was marked as needed within the last `age`.
    pub fn is_needed(&self, owner: MemberId, age: Duration) -> bool {
        let state = self.views.lock().expect("no holder of the lock panics");
        state.needed.get(&owner).is_some_and(|at| at.elapsed() < age)
    }

    /// Removes all owners that `is_kept` rejects: their processes were replaced or are gone.
    pub fn retain(&self, is_kept: impl Fn(MemberId) -> bool) {
        let mut state = self.views.lock().expect("no holder of the lock panics");
        let previous_len = state.views.len();
        state.views.retain(|&id, _| is_kept(id));
        state.needed.retain(|&id, _| is_kept(id));
        state.timed_out.retain(|&id, _| is_kept(id));
        if state.views.len() != previous_len {
            state.generation += 1;
        }
    }

    /// Returns the owner's view, if one was received.
    pub fn get(&self, owner: MemberId) -> Option<CachedView> {
        self.views.lock().expect("no holder of the lock panics").views.get(&owner).cloned()
    }

    /// Generation of the owner's view; 0 if none was received.
    pub fn generation_of(&self, owner: MemberId) -> u64 {
        self.get(owner).map_or(0, |cached| cached.view.generation)
    }

    /// Whether the owner's view has not been confirmed within the last `age`.
    pub fn is_stale(&self, owner: MemberId, age: Duration) -> bool {
        self.get(owner).is_none_or(|cached| cached.at.elapsed() >= age)
    }

    /// Increases with each change of any view.
    pub fn generation(&self) -> u64 {
        self.views.lock().expect("no holder of the lock panics").generation
    }
}
