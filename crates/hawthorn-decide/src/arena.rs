//! A generational arena. Cells are reused, and a handle holds the generation of its cell, so a
//! handle of a removed entry no longer resolves. Late and mismatched answers are recognised this
//! way without a map.

/// Identifies one entry. Packed, the cell is in the low 32 bits and its generation in the high.
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
struct ArenaCell<T> {
    generation: u32,
    entry: Option<T>,
}

/// Entries of one kind, allocated up front for `capacity` entries.
#[derive(Debug)]
pub(crate) struct Arena<T> {
    cells: Vec<ArenaCell<T>>,
    free: Vec<u32>,
    first_generation: u32,
}

impl<T> Arena<T> {
    pub(crate) fn with_capacity(capacity: usize, first_generation: u32) -> Self {
        Self {
            cells: Vec::with_capacity(capacity),
            free: Vec::with_capacity(capacity),
            first_generation,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.cells.len() - self.free.len()
    }

    pub(crate) fn insert(&mut self, entry: T) -> ArenaHandle {
        if let Some(index) = self.free.pop() {
            let cell = &mut self.cells[index as usize];
            cell.entry = Some(entry);
            return ArenaHandle { index, generation: cell.generation };
        }
        let index =
            u32::try_from(self.cells.len()).expect("bounded queues hold fewer than 2^32 entries");
        self.cells.push(ArenaCell { generation: self.first_generation, entry: Some(entry) });
        ArenaHandle { index, generation: self.first_generation }
    }

    pub(crate) fn remove(&mut self, handle: ArenaHandle) -> Option<T> {
        let cell = self.cells.get_mut(handle.index as usize)?;
        if cell.generation != handle.generation {
            return None;
        }
        let entry = cell.entry.take()?;
        cell.generation = cell.generation.wrapping_add(1);
        self.free.push(handle.index);
        Some(entry)
    }

    pub(crate) fn get(&self, handle: ArenaHandle) -> Option<&T> {
        let cell = self.cells.get(handle.index as usize)?;
        if cell.generation == handle.generation { cell.entry.as_ref() } else { None }
    }

    pub(crate) fn get_mut(&mut self, handle: ArenaHandle) -> Option<&mut T> {
        let cell = self.cells.get_mut(handle.index as usize)?;
        if cell.generation == handle.generation { cell.entry.as_mut() } else { None }
    }

    /// The handle of the entry that the cell holds now.
    pub(crate) fn handle_at(&self, index: u32) -> ArenaHandle {
        ArenaHandle { index, generation: self.cells[index as usize].generation }
    }

    /// The entry of a cell that an intrusive list links to.
    pub(crate) fn at(&self, index: u32) -> &T {
        self.cells[index as usize].entry.as_ref().expect("a linked cell is occupied")
    }

    /// Mutable version of [`Arena::at`].
    pub(crate) fn at_mut(&mut self, index: u32) -> &mut T {
        self.cells[index as usize].entry.as_mut().expect("a linked cell is occupied")
    }
}
