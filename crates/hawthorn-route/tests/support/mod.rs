//! Targets as they register, and the view of a host in the east.

use std::sync::LazyLock;
use std::time::Duration;

use hawthorn_route::document::TargetEntry;
use hawthorn_route::home::HomeZones;
use hawthorn_route::home::RegionMap;
use hawthorn_route::placement::PlacementView;
use hawthorn_route::registry::TargetRegistry;

static NO_REGIONS: LazyLock<RegionMap> = LazyLock::new(RegionMap::default);

/// An entry of two slots that has been warm for long.
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

/// What a host in the east knows that reaches every zone; requests of one kind.
pub fn view(
    registry: &TargetRegistry,
    usual: Duration,
    aim: Duration,
    now: Duration,
) -> PlacementView<'_> {
    let homes = HomeZones::new(&NO_REGIONS, None);
    PlacementView {
        registry,
        zone: "east",
        unreachable_zones: &[],
        homes,
        service_time: usual,
        queued_service_time: usual,
        target_latency: aim,
        now,
    }
}
