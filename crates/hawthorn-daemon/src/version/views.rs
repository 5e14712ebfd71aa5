//! What owners last said of their shards, as fronts plan from it.
//!
//! Views ride on batch answers when they changed, and any answer of an owner
//! says that the view heard before still holds. Asked for is only the view of
//! an owner that somebody here wanted of late and that is not heard anyway, so
//! the cost follows the queries and not the size of the fleet.

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
    wanted: HashMap<MemberId, Instant>,
    silent: HashMap<MemberId, Instant>,
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

    /// Notes that an owner answered and its view has not changed.
    pub fn touch(&self, owner: MemberId) {
        let mut state = self.views.lock().expect("no holder of the lock panics");
        if let Some(known) = state.views.get_mut(&owner) {
            known.at = Instant::now();
        }
    }

    /// Notes that an owner was asked and did not answer.
    pub fn note_silent(&self, owner: MemberId) {
        let mut state = self.views.lock().expect("no holder of the lock panics");
        state.silent.insert(owner, Instant::now());
    }

    /// Whether an owner did not answer within `age`.
    pub fn was_silent(&self, owner: MemberId, age: Duration) -> bool {
        let state = self.views.lock().expect("no holder of the lock panics");
        state.silent.get(&owner).is_some_and(|at| at.elapsed() < age)
    }

    /// Notes that these owners' views are needed here; forgotten after a while.
    pub fn want(&self, owners: impl IntoIterator<Item = MemberId>) {
        let mut state = self.views.lock().expect("no holder of the lock panics");
        let now = Instant::now();
        state.wanted.extend(owners.into_iter().map(|owner| (owner, now)));
    }

    /// Whether the view of an owner was wanted within `age`.
    pub fn is_wanted(&self, owner: MemberId, age: Duration) -> bool {
        let state = self.views.lock().expect("no holder of the lock panics");
        state.wanted.get(&owner).is_some_and(|at| at.elapsed() < age)
    }

    /// Forgets all owners but those: their processes were replaced or are gone.
    pub fn keep(&self, is_kept: impl Fn(MemberId) -> bool) {
        let mut state = self.views.lock().expect("no holder of the lock panics");
        let before = state.views.len();
        state.views.retain(|&id, _| is_kept(id));
        state.wanted.retain(|&id, _| is_kept(id));
        state.silent.retain(|&id, _| is_kept(id));
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
