//! Checks the settings of a daemon against the inventory.

use crate::check::names::one_of;
use crate::fault::ConfigFault;
use crate::fault::ConfigFile;
use crate::fault::FaultKind;
use crate::inventory::Inventory;
use crate::settings;
use crate::settings::DaemonSettings;
use crate::source::ConfigSource;

/// Parses the settings and checks that zone and region are in the inventory.
pub(super) fn check(
    text: &str,
    inventory: &Inventory,
    faults: &mut Vec<ConfigFault>,
) -> DaemonSettings {
    let settings::Outcome { settings, faults: found } = settings::read(text);
    faults.extend(found);
    let source = ConfigSource::parse(ConfigFile::Settings, text, &mut Vec::new());
    let zone = inventory.zones.iter().find(|zone| zone.name == settings.zone);
    if zone.is_none() && !settings.zone.is_empty() {
        let expected = one_of("zone", inventory.zones.iter().map(|zone| &*zone.name));
        let found = format!("{:?}", settings.zone);
        faults.push(source.fault("zone".to_owned(), FaultKind::DanglingName, found, expected));
    }
    if let Some(zone) = zone.filter(|zone| zone.region != settings.region) {
        let found = format!("{:?}", settings.region);
        let expected = format!("{:?}, the region of zone {}", zone.region, zone.name);
        faults.push(source.fault("region".to_owned(), FaultKind::DanglingName, found, expected));
    }
    settings
}
