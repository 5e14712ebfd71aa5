//! Accounting of cross-zone traffic.

use std::sync::atomic::Ordering;

use hawthorn_edge::process::traffic::TrafficAccount;
use hawthorn_edge::process::traffic::TrafficPurpose;

/// Traffic within the zone is free and not reported; other traffic is reported by purpose.
#[test]
fn bytes_to_other_zones_are_counted_by_purpose() {
    let account = TrafficAccount::new("east");
    account.count(TrafficPurpose::Targets, "east", 1_000);
    account.count(TrafficPurpose::Targets, "west", 300);
    account.count(TrafficPurpose::Targets, "south", 200);
    account.counter(TrafficPurpose::Catalog, "west").fetch_add(70, Ordering::Relaxed);
    account.counter(TrafficPurpose::Gathering, "east").fetch_add(70, Ordering::Relaxed);
    let totals = account.totals();
    assert_eq!(totals.get(&TrafficPurpose::Targets), Some(&500));
    assert_eq!(totals.get(&TrafficPurpose::Catalog), Some(&70));
    assert_eq!(totals.get(&TrafficPurpose::Gathering), None);
    assert_eq!(totals.get(&TrafficPurpose::Membership), None);
}
