//! Stable numeric keys for the lifetime of the owner worker.
//!
//! A catalog's keys are valid for one revision only, but queues and slots persist across revisions.
//! The worker therefore assigns its own numbers to names and never reuses a number.

use std::collections::HashMap;
use std::hash::Hash;

/// Names and their numbers, in order of first use.
#[derive(Clone, Debug)]
pub(crate) struct NameTable<N> {
    numbers: HashMap<N, u32>,
    names: Vec<N>,
}

impl<N: Clone + Eq + Hash> NameTable<N> {
    pub(crate) fn new() -> Self {
        Self { numbers: HashMap::new(), names: Vec::new() }
    }

    /// Returns the number of `name`, assigning one if it has none.
    pub(crate) fn intern(&mut self, name: &N) -> u32 {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = u32::try_from(self.names.len()).expect("fewer than 2^32 names are ever seen");
        self.numbers.insert(name.clone(), number);
        self.names.push(name.clone());
        number
    }

    /// Returns the number of `name`, if it has one.
    pub(crate) fn number<Q>(&self, name: &Q) -> Option<u32>
    where
        N: std::borrow::Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        self.numbers.get(name).copied()
    }

    /// Returns the name of a number.
    pub(crate) fn name(&self, number: u32) -> &N {
        &self.names[number as usize]
    }
}
