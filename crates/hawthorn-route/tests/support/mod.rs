//! Shared fixtures: target entries, and the view of a host in zone `east`.

use std::sync::LazyLock;
use std::time::Duration;

use hawthorn_route::document::TargetEntry;
use hawthorn_route::home::HomeZones;
use hawthorn_route::home::RegionMap;
use hawthorn_route::placement::PlacementView;
use hawthorn_route::registry::TargetRegistry;
use hawthorn_route::revision::StoreRevision;

/// How long a draining target continues to serve.
pub const DRAIN_TIME: Duration = Duration::from_secs(3);

static NO_REGIONS: LazyLock<RegionMap> = LazyLock::new(RegionMap::default);

/// A revision of the store's first era.
pub const fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(0, number)
}

/// The entry of a warm target with two slots.
pub fn entry(id: &str, service: &str, zone: &str) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        service: service.into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: zone.into(),
        slots: 2,
        draining: false,
        cold: Duration::ZERO,
        born: None,
    }
}

/// The view of a host in zone `east` that reaches every zone.
pub fn view(
    registry: &TargetRegistry,
    service_time: Duration,
    target_latency: Duration,
    now: Duration,
) -> PlacementView<'_> {
    let homes = HomeZones::new(&NO_REGIONS, None);
    PlacementView {
        registry,
        zone: "east",
        unreachable_zones: &[],
        homes,
        service_time,
        queued_service_time: service_time,
        target_latency,
        now,
    }
}
