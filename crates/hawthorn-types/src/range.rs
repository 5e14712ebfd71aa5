//! Ranges of the key space, the unit in which coverage is reported.
//!
//! A service's documents are spread over keys `0..KEY_SPACE`. A target reports
//! which ranges it searched; the tier reports which ranges its answer covers.

use std::fmt;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// The first key past the end of every service's key space.
pub const KEY_SPACE: u32 = 1 << 24;

/// Keys from `start` up to but not including `end`.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Serialize,
    Deserialize,
    JsonSchema,
)]
pub struct KeyRange {
    /// The first key inside.
    pub start: u32,
    /// The first key past the end.
    pub end: u32,
}

impl KeyRange {
    /// The entire key space.
    pub const FULL: Self = Self { start: 0, end: KEY_SPACE };

    /// The range from `start` up to `end`; empty when `end <= start`.
    pub fn new(start: u32, end: u32) -> Self {
        Self { start, end }
    }

    /// The part `number` of `count` equal parts of the key space.
    pub fn part(number: u32, count: u32) -> Self {
        let edge = |n: u32| (u64::from(KEY_SPACE) * u64::from(n) / u64::from(count.max(1))) as u32;
        Self { start: edge(number), end: edge(number + 1) }
    }

    /// Number of keys.
    pub fn len(self) -> u32 {
        self.end.saturating_sub(self.start)
    }

    /// Whether the range contains no key.
    pub fn is_empty(self) -> bool {
        self.end <= self.start
    }

    /// Whether the range contains `key`.
    pub fn contains(self, key: u32) -> bool {
        self.start <= key && key < self.end
    }

    /// The intersection; empty when the ranges do not overlap.
    pub fn intersect(self, other: Self) -> Self {
        Self { start: self.start.max(other.start), end: self.end.min(other.end) }
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..{}", self.start, self.end)
    }
}

/// Disjoint, non-empty and non-adjacent ranges in ascending order.
#[derive(Clone, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(from = "SmallVec<[KeyRange; 2]>", into = "SmallVec<[KeyRange; 2]>")]
pub struct RangeSet {
    ranges: SmallVec<[KeyRange; 2]>,
}

impl RangeSet {
    /// The ranges, ascending.
    pub fn ranges(&self) -> &[KeyRange] {
        &self.ranges
    }

    /// Whether the set contains no key.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Number of keys.
    pub fn len(&self) -> u32 {
        self.ranges.iter().map(|range| range.len()).sum()
    }

    /// Whether the set contains `key`.
    pub fn contains(&self, key: u32) -> bool {
        self.ranges.iter().any(|range| range.contains(key))
    }

    /// Adds the keys of `range`.
    pub fn insert(&mut self, range: KeyRange) {
        if range.is_empty() {
            return;
        }
        let from = self.ranges.partition_point(|held| held.end < range.start);
        let to = self.ranges.partition_point(|held| held.start <= range.end);
        let mut merged = range;
        for held in &self.ranges[from..to] {
            merged.start = merged.start.min(held.start);
            merged.end = merged.end.max(held.end);
        }
        self.ranges.drain(from..to);
        self.ranges.insert(from, merged);
    }

    /// Adds the keys of `other`.
    pub fn extend(&mut self, other: &Self) {
        for &range in &other.ranges {
            self.insert(range);
        }
    }

    /// Removes the keys of `range`.
    pub fn remove(&mut self, range: KeyRange) {
        if range.is_empty() {
            return;
        }
        let mut kept = SmallVec::new();
        for &held in &self.ranges {
            for piece in [
                KeyRange::new(held.start, held.end.min(range.start)),
                KeyRange::new(held.start.max(range.end), held.end),
            ] {
                if !piece.is_empty() {
                    kept.push(piece);
                }
            }
        }
        self.ranges = kept;
    }

    /// The keys of `self` that are not in `other`.
    pub fn difference(&self, other: &Self) -> Self {
        let mut remaining = self.clone();
        for &range in &other.ranges {
            remaining.remove(range);
        }
        remaining
    }

    /// The keys of `self` that lie inside `window`.
    pub fn clip(&self, window: KeyRange) -> Self {
        self.ranges.iter().map(|range| range.intersect(window)).collect()
    }
}

impl From<KeyRange> for RangeSet {
    fn from(range: KeyRange) -> Self {
        std::iter::once(range).collect()
    }
}

impl FromIterator<KeyRange> for RangeSet {
    fn from_iter<I: IntoIterator<Item = KeyRange>>(ranges: I) -> Self {
        let mut set = Self::default();
        for range in ranges {
            set.insert(range);
        }
        set
    }
}

impl From<SmallVec<[KeyRange; 2]>> for RangeSet {
    fn from(ranges: SmallVec<[KeyRange; 2]>) -> Self {
        ranges.into_iter().collect()
    }
}

impl From<RangeSet> for SmallVec<[KeyRange; 2]> {
    fn from(set: RangeSet) -> Self {
        set.ranges
    }
}
