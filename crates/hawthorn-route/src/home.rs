//! Home regions of routes: where their requests may be executed and their bodies sent.

use std::collections::HashMap;

use serde::Deserialize;

/// The region of each availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct RegionMap {
    zones: HashMap<String, String>,
}

impl RegionMap {
    /// The names of all zones, sorted.
    pub fn zones(&self) -> Vec<&str> {
        let mut zones: Vec<&str> = self.zones.keys().map(String::as_str).collect();
        zones.sort_unstable();
        zones
    }

    /// The region of a zone, if known.
    pub fn of(&self, zone: &str) -> Option<&str> {
        self.zones.get(zone).map(String::as_str)
    }
}

impl FromIterator<(String, String)> for RegionMap {
    fn from_iter<T: IntoIterator<Item = (String, String)>>(zones: T) -> Self {
        Self { zones: zones.into_iter().collect() }
    }
}

/// Zones in which a route's requests may be executed. Request bodies are not sent to hosts in
/// other zones either, as a caller may be connected to a host outside its own region.
#[derive(Clone, Copy, Debug)]
pub struct HomeZones<'a> {
    map: &'a RegionMap,
    /// The home regions; `None` if the route may run anywhere.
    regions: Option<&'a [String]>,
}

impl<'a> HomeZones<'a> {
    /// The zones of the home regions, or all zones if `regions` is `None`.
    pub fn new(map: &'a RegionMap, regions: Option<&'a [String]>) -> Self {
        Self { map, regions }
    }

    /// Whether a zone belongs to a home region. A zone of unknown region does not.
    pub fn allows(&self, zone: &str) -> bool {
        let Some(regions) = self.regions else { return true };
        self.map.of(zone).is_some_and(|region| regions.iter().any(|home| home == region))
    }
}
