//! Stable keys for the life of the owner's duty.
//!
//! Keys of a catalog mean nothing in the next revision's catalog, but queues
//! and slots live on across revisions. The duty therefore numbers names itself
//! and never gives a number to a second name.

use std::collections::HashMap;
use std::hash::Hash;

/// Names and the numbers they were given, in order of first sight.
#[derive(Clone, Debug)]
pub(crate) struct NameTable<N> {
    numbers: HashMap<N, u32>,
    names: Vec<N>,
}

impl<N: Clone + Eq + Hash> NameTable<N> {
    pub(crate) fn new() -> Self {
        Self { numbers: HashMap::new(), names: Vec::new() }
    }

    /// The number of `name`, given now if it has none.
    pub(crate) fn intern(&mut self, name: &N) -> u32 {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = u32::try_from(self.names.len()).expect("fewer than 2^32 names are ever seen");
        self.numbers.insert(name.clone(), number);
        self.names.push(name.clone());
        number
    }

    /// The number of `name`, if it has one.
    pub(crate) fn number<Q>(&self, name: &Q) -> Option<u32>
    where
        N: std::borrow::Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        self.numbers.get(name).copied()
    }

    /// The name behind a number.
    pub(crate) fn name(&self, number: u32) -> &N {
        &self.names[number as usize]
    }
}
