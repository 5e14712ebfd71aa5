//! Targets as they register.

use std::time::Duration;

use hawthorn_route::document::TargetEntry;

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
