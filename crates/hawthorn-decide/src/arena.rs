//! An arena whose places are used again: a key tells the entry it was made for
//! from a later one in the same place, which is how a late or crossed answer
//! is recognised without a map.

/// Names one entry: the place in the low 32 bits, its generation in the high.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ArenaHandle {
    pub(crate) index: u32,
    pub(crate) generation: u32,
}

impl ArenaHandle {
    pub(crate) fn pack(self) -> u64 {
        u64::from(self.generation) << u32::BITS | u64::from(self.index)
    }

    pub(crate) fn unpack(id: u64) -> Self {
        Self { index: id as u32, generation: (id >> u32::BITS) as u32 }
    }
}

#[derive(Debug)]
struct Place<T> {
    generation: u32,
    entry: Option<T>,
}

/// Entries of one kind, allocated up front for `capacity` of them.
#[derive(Debug)]
pub(crate) struct Arena<T> {
    places: Vec<Place<T>>,
    free: Vec<u32>,
    first_generation: u32,
}

impl<T> Arena<T> {
    pub(crate) fn with_capacity(capacity: usize, first_generation: u32) -> Self {
        Self {
            places: Vec::with_capacity(capacity),
            free: Vec::with_capacity(capacity),
            first_generation,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.places.len() - self.free.len()
    }

    pub(crate) fn insert(&mut self, entry: T) -> ArenaHandle {
        if let Some(index) = self.free.pop() {
            let place = &mut self.places[index as usize];
            place.entry = Some(entry);
            return ArenaHandle { index, generation: place.generation };
        }
        let index = u32::try_from(self.places.len()).expect("bounded queues hold fewer than 2^32");
        self.places.push(Place { generation: self.first_generation, entry: Some(entry) });
        ArenaHandle { index, generation: self.first_generation }
    }

    pub(crate) fn remove(&mut self, handle: ArenaHandle) -> Option<T> {
        let place = self.places.get_mut(handle.index as usize)?;
        if place.generation != handle.generation {
            return None;
        }
        let entry = place.entry.take()?;
        place.generation = place.generation.wrapping_add(1);
        self.free.push(handle.index);
        Some(entry)
    }

    pub(crate) fn get(&self, handle: ArenaHandle) -> Option<&T> {
        let place = self.places.get(handle.index as usize)?;
        if place.generation == handle.generation { place.entry.as_ref() } else { None }
    }

    pub(crate) fn get_mut(&mut self, handle: ArenaHandle) -> Option<&mut T> {
        let place = self.places.get_mut(handle.index as usize)?;
        if place.generation == handle.generation { place.entry.as_mut() } else { None }
    }

    /// The handle of whatever is in the place now.
    pub(crate) fn handle_at(&self, index: u32) -> ArenaHandle {
        ArenaHandle { index, generation: self.places[index as usize].generation }
    }

    /// The entry in a place that a list inside the arena links to.
    pub(crate) fn at(&self, index: u32) -> &T {
        self.places[index as usize].entry.as_ref().expect("a linked place is filled")
    }

    /// Like [`Arena::at`], for a change.
    pub(crate) fn at_mut(&mut self, index: u32) -> &mut T {
        self.places[index as usize].entry.as_mut().expect("a linked place is filled")
    }
}
