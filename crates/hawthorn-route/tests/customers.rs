//! Customers of a configuration: which keys, quotas and priorities are in force after operators'
//! changes and mistakes.

use std::time::Duration;

use hawthorn_route::customer::CustomerFault;
use hawthorn_route::customer::CustomerQuota;
use hawthorn_route::customer::CustomerRule;
use hawthorn_route::customer::CustomerTable;
use hawthorn_route::customer::KeyDigest;
use hawthorn_route::customer::MAX_REVOKED_KEYS;
use hawthorn_route::customer::RevokedKeys;
use hawthorn_route::customer::log_name;
use hawthorn_route::document::GatherRule;
use hawthorn_route::document::RouteDestination;
use hawthorn_route::document::RouteDocument;
use hawthorn_route::document::RouteRule;
use hawthorn_route::fingerprint::RequestFingerprint;
use hawthorn_route::mirror::MirrorItem;
use hawthorn_route::mirror::MirrorUpdate;
use hawthorn_route::mirror::StoreMirror;
use hawthorn_route::quarantine::RequestIdentity;
use hawthorn_route::revision::StoreRevision;
use hawthorn_route::table::RouteTable;
use sha2::Digest;
use sha2::Sha256;

/// A customer without a quota. An empty key stands for one that no request can contain.
fn rule(name: &str, keys: &[&str]) -> CustomerRule {
    CustomerRule {
        name: name.into(),
        keys: keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect(),
        priority: None,
        rate: 0.0,
        burst: 0.0,
    }
}

fn build(rules: &[CustomerRule]) -> CustomerTable {
    CustomerTable::build(rules, None).0
}

fn holder(table: &CustomerTable, key: &str) -> Option<String> {
    table.identify(key.as_bytes()).map(|customer| customer.name.to_string())
}

/// Guards against requests being served as another customer, and against customers being refused,
/// because of a mistake in the configuration. Each case has the customers of the previous version
/// and of the next one, and states the holder of each key afterwards.
#[test]
fn mistakes_do_not_change_who_holds_a_key() {
    struct Case {
        name: &'static str,
        before: &'static [(&'static str, &'static [&'static str])],
        after: &'static [(&'static str, &'static [&'static str])],
        holders: &'static [(&'static str, Option<&'static str>)],
        faults: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "valid customers with several keys",
            before: &[],
            after: &[("a", &["1", "2"]), ("b", &["3"])],
            holders: &[("1", Some("a")), ("2", Some("a")), ("3", Some("b")), ("4", None)],
            faults: &[],
        },
        Case {
            name: "a shared key stays with its previous holder, listed first",
            before: &[("a", &["1"]), ("b", &["2"])],
            after: &[("a", &["1"]), ("b", &["1", "2"])],
            holders: &[("1", Some("a")), ("2", Some("b"))],
            faults: &["customers a and b hold the same key"],
        },
        Case {
            name: "a shared key stays with its previous holder, listed last",
            before: &[("a", &["2"]), ("b", &["1"])],
            after: &[("a", &["1", "2"]), ("b", &["1"])],
            holders: &[("1", Some("b")), ("2", Some("a"))],
            faults: &["customers a and b hold the same key"],
        },
        Case {
            name: "a new key of two customers is nobody's",
            before: &[("a", &["2"]), ("b", &["3"])],
            after: &[("a", &["1", "2"]), ("b", &["1", "3"])],
            holders: &[("1", None), ("2", Some("a")), ("3", Some("b"))],
            faults: &["customers a and b hold the same key"],
        },
        Case {
            name: "a shared key whose previous holder is a third customer is nobody's",
            before: &[("a", &[]), ("b", &[]), ("c", &["1"])],
            after: &[("a", &["1"]), ("b", &["1"]), ("c", &["2"])],
            holders: &[("1", None), ("2", Some("c"))],
            faults: &["customers a and b hold the same key"],
        },
        Case {
            name: "a key of three customers",
            before: &[("c", &["1"])],
            after: &[("a", &["1"]), ("b", &["1"]), ("c", &["1"])],
            holders: &[("1", Some("c"))],
            faults: &["customers a and b hold the same key", "customers b and c hold the same key"],
        },
        Case {
            name: "two keys of the same two customers are reported once",
            before: &[],
            after: &[("a", &["1", "2"]), ("b", &["1", "2"])],
            holders: &[("1", None), ("2", None)],
            faults: &["customers a and b hold the same key"],
        },
        Case {
            name: "a moved key",
            before: &[("a", &["1", "2"]), ("b", &["3"])],
            after: &[("a", &["2"]), ("b", &["1", "3"])],
            holders: &[("1", Some("b")), ("2", Some("a")), ("3", Some("b"))],
            faults: &["a key of customer a now belongs to customer b"],
        },
        Case {
            name: "a key that moved from a removed customer",
            before: &[("a", &["1"])],
            after: &[("b", &["1"])],
            holders: &[("1", Some("b"))],
            faults: &["a key of customer a now belongs to customer b"],
        },
        Case {
            name: "a customer without keys",
            before: &[("a", &["1"]), ("b", &["2"])],
            after: &[("a", &[]), ("b", &["2"])],
            holders: &[("1", None), ("2", Some("b"))],
            faults: &["customer a has no key"],
        },
        Case {
            name: "a duplicate name: the first is in force",
            before: &[("a", &["1"])],
            after: &[("a", &["1"]), ("a", &["2"]), ("b", &["3"])],
            holders: &[("1", Some("a")), ("2", None), ("3", Some("b"))],
            faults: &["customer a is defined twice"],
        },
        Case {
            name: "a key listed twice for one customer",
            before: &[],
            after: &[("a", &["1", "1", "2"])],
            holders: &[("1", Some("a")), ("2", Some("a"))],
            faults: &[],
        },
        Case {
            name: "an unusable key beside a usable one",
            before: &[],
            after: &[("a", &["", "1"])],
            holders: &[("", None), ("1", Some("a"))],
            faults: &["customer a has a key that no request can contain"],
        },
        Case {
            name: "unusable keys of two customers are not a shared key",
            before: &[],
            after: &[("a", &["", "1"]), ("b", &["", "2"])],
            holders: &[("", None), ("1", Some("a")), ("2", Some("b"))],
            faults: &[
                "customer a has a key that no request can contain",
                "customer b has a key that no request can contain",
            ],
        },
        Case {
            name: "only an unusable key",
            before: &[],
            after: &[("a", &[""])],
            holders: &[("", None)],
            faults: &["customer a has no key", "customer a has a key that no request can contain"],
        },
        Case {
            name: "names that targets would not receive unchanged",
            before: &[],
            after: &[("", &["1"]), (" a", &["2"]), ("a\nb", &["3"]), ("größe 1", &["4"])],
            holders: &[("1", None), ("2", None), ("3", None), ("4", Some("größe 1"))],
            faults: &[
                "customer name  is empty, padded or has control characters",
                "customer name  a is empty, padded or has control characters",
                "customer name a\\nb is empty, padded or has control characters",
            ],
        },
    ];
    for Case { name, before, after, holders, faults } in cases {
        let rules = |customers: &[(&str, &[&str])]| -> Vec<CustomerRule> {
            customers.iter().map(|(name, keys)| rule(name, keys)).collect()
        };
        let (table, found) = CustomerTable::build(&rules(after), Some(&build(&rules(before))));
        for (key, expected) in holders {
            assert_eq!(holder(&table, key).as_deref(), *expected, "{name}: key {key}");
        }
        let found: Vec<String> = found.iter().map(CustomerFault::to_string).collect();
        assert_eq!(found, faults, "{name}");
    }
}

/// Guards against names that end the quoted value or the line in which they are logged.
#[test]
fn names_cannot_break_log_lines() {
    let name = "the \"shop\" at\n1\\2 größe";
    assert_eq!(log_name(name), "the \\u{22}shop\\u{22} at\\n1\\\\2 größe");
    let (_, faults) = CustomerTable::build(&[rule("\"a\"", &[])], None);
    assert_eq!(faults, [CustomerFault::NoKeys("\\u{22}a\\u{22}".into())]);
}

/// Guards against a shared key that changes its holder when the mistake stays in the configuration
/// for several versions.
#[test]
fn a_shared_key_keeps_its_holder_over_several_versions() {
    let first = build(&[rule("a", &[]), rule("b", &["1"])]);
    let shared = [rule("a", &["1"]), rule("b", &["1"])];
    let (second, _) = CustomerTable::build(&shared, Some(&first));
    let (third, _) = CustomerTable::build(&shared, Some(&second));
    assert_eq!(holder(&third, "1").as_deref(), Some("b"));
}

/// Guards against routes that need no key because every customer of the version is invalid.
#[test]
fn invalid_customers_do_not_open_the_routes() {
    assert!(build(&[]).is_empty());
    assert!(!build(&[rule("", &["1"])]).is_empty());
    assert!(!build(&[rule("a", &[])]).is_empty());
}

/// Guards against an invalid limit that lifts a customer's quota.
#[test]
fn an_invalid_quota_leaves_the_previous_one_in_force() {
    struct Case {
        rate: f64,
        burst: f64,
        quota: Option<(f64, f64)>,
        faults: usize,
    }
    let cases = [
        Case { rate: 7.0, burst: 0.0, quota: Some((7.0, 0.0)), faults: 0 },
        Case { rate: 0.0, burst: 4.0, quota: None, faults: 0 },
        Case { rate: -1.0, burst: 4.0, quota: Some((5.0, 9.0)), faults: 1 },
        Case { rate: 7.0, burst: -0.5, quota: Some((5.0, 9.0)), faults: 1 },
        Case { rate: f64::NAN, burst: 4.0, quota: Some((5.0, 9.0)), faults: 1 },
        Case { rate: f64::INFINITY, burst: 4.0, quota: Some((5.0, 9.0)), faults: 1 },
        Case { rate: 7.0, burst: f64::INFINITY, quota: Some((5.0, 9.0)), faults: 1 },
    ];
    let previous = build(&[CustomerRule { rate: 5.0, burst: 9.0, ..rule("a", &["1"]) }]);
    for Case { rate, burst, quota, faults } in cases {
        let changed = CustomerRule { rate, burst, ..rule("a", &["1"]) };
        let (table, found) = CustomerTable::build(&[changed], Some(&previous));
        let expected = quota.map(|(rate, burst)| CustomerQuota { rate, burst });
        let customer = table.named("a").expect("the customer is in force");
        assert_eq!((customer.quota, found.len()), (expected, faults), "{rate} {burst}");
    }
    let broken = CustomerRule { rate: -1.0, ..rule("a", &["1"]) };
    let (table, found) = CustomerTable::build(&[broken], None);
    assert_eq!(table.named("a").expect("the customer is in force").quota, None);
    assert_eq!(found, [CustomerFault::Quota("a".into())]);
}

/// Guards against a peer that serves a query with a key that its sender did not identify: a peer
/// resolves the name and the index with the same version.
#[test]
fn a_peer_resolves_the_customer_by_name_and_index() {
    struct Case {
        name: &'static str,
        customer: &'static str,
        index: u16,
    }
    let priority = Some(3);
    let table = build(&[
        CustomerRule { priority, ..rule("a", &["", "1", "1", "2"]) },
        rule("b", &["3", "4"]),
        rule("c", &["4"]),
    ]);
    for key in ["1", "2", "3"] {
        let found = table.identify(key.as_bytes()).expect("a valid key");
        assert_eq!(table.resolve(&found.name, found.key_index), Some(found.clone()), "{key}");
        assert!(table.holds(&found), "{key}");
    }
    let indices = ["1", "2"].map(|key| table.identify(key.as_bytes()).map(|held| held.key_index));
    assert_eq!(indices, [Some(1), Some(3)]);
    assert_eq!(table.resolve("a", 3).and_then(|customer| customer.priority), priority);
    let cases = [
        Case { name: "unknown customer", customer: "d", index: 0 },
        Case { name: "unusable key", customer: "a", index: 0 },
        Case { name: "index out of range", customer: "a", index: 4 },
        Case { name: "shared key", customer: "b", index: 1 },
    ];
    for case in cases {
        assert_eq!(table.resolve(case.customer, case.index), None, "{}", case.name);
    }
}

/// Guards against requests that are still sent with a key that a newer version revoked or moved.
#[test]
fn a_revoked_or_moved_key_is_no_longer_held() {
    struct Case {
        name: &'static str,
        rules: Vec<CustomerRule>,
        held: bool,
    }
    let old = build(&[rule("a", &["1", "2"]), rule("b", &[])]);
    let found = old.identify(b"1").expect("a valid key");
    let cases = [
        Case { name: "revoked", rules: vec![rule("a", &["2"])], held: false },
        Case { name: "moved", rules: vec![rule("a", &["2"]), rule("b", &["1"])], held: false },
        Case { name: "customer removed", rules: vec![rule("b", &["2"])], held: false },
        Case { name: "another index", rules: vec![rule("a", &["2", "1"])], held: true },
    ];
    for case in cases {
        let (new, _) = CustomerTable::build(&case.rules, Some(&old));
        assert_eq!(new.holds(&found), case.held, "{}", case.name);
    }
}

/// Guards against urgency that is decided by routes only: a customer's priority takes precedence,
/// and priorities that no request can have make no others less urgent.
#[test]
fn the_most_urgent_priority_is_of_customers_and_routes() {
    struct Case {
        name: &'static str,
        exempt: bool,
        /// Name, keys and priority of each customer.
        customers: &'static [(&'static str, &'static [&'static str], Option<u32>)],
        /// Whether requests with the priorities 0, 1, 2 are urgent.
        urgent: [bool; 3],
    }
    let cases = [
        Case {
            name: "without customers",
            exempt: false,
            customers: &[],
            urgent: [true, true, false],
        },
        Case {
            name: "a customer without a priority",
            exempt: false,
            customers: &[("a", &["1"], None)],
            urgent: [true, true, false],
        },
        Case {
            name: "a more urgent customer",
            exempt: false,
            customers: &[("a", &["1"], Some(0)), ("b", &["2"], None)],
            urgent: [true, false, false],
        },
        Case {
            name: "only less urgent customers",
            exempt: false,
            customers: &[("a", &["1"], Some(2))],
            urgent: [true, true, true],
        },
        Case {
            name: "less urgent customers on an exempt route",
            exempt: true,
            customers: &[("a", &["1"], Some(2))],
            urgent: [true, true, false],
        },
        Case {
            name: "a more urgent customer without keys",
            exempt: false,
            customers: &[("a", &[], Some(0)), ("b", &["2"], None)],
            urgent: [true, true, false],
        },
    ];
    for Case { name, exempt, customers, urgent } in cases {
        let customer = |(name, keys, priority): &(&str, &[&str], Option<u32>)| CustomerRule {
            priority: *priority,
            ..rule(name, keys)
        };
        let table = RouteTable::new(RouteDocument {
            routes: vec![query_route(exempt)],
            customers: customers.iter().map(customer).collect(),
            ..RouteDocument::default()
        });
        assert_eq!([0, 1, 2].map(|priority| table.is_urgent(priority)), urgent, "{name}");
    }
}

fn query_route(exempt: bool) -> RouteRule {
    let rule = GatherRule { shards: vec!["s".to_owned()], top: 4, min_share: 1.0 };
    RouteRule {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_secs(1),
        priority: 1,
        max_attempts: 1,
        homes: None,
        exempt,
        destination: RouteDestination::Gather(rule),
    }
}

/// Guards against crashes that are attributed to a proxy's address, which customers share, and
/// against a customer that escapes its quarantine by changing its address.
#[test]
fn crashes_are_attributed_to_customers() {
    let fingerprint = RequestFingerprint::of("GET", "h", "/", b"");
    let customer = |name, route| RequestIdentity::of_customer(fingerprint, name, route).caller;
    let address = RequestIdentity::new(fingerprint, Some([10, 0, 0, 1].into()), "r").caller;
    assert_eq!(customer("a", "r"), customer("a", "r"));
    assert_ne!(customer("a", "r"), customer("b", "r"));
    assert_ne!(customer("a", "r"), customer("a", "q"));
    // A customer's name may look like an address.
    assert_ne!(customer("10.0.0.1", "r"), address);
}

/// Guards against keys and their digests in `Debug` output, which may end up in logs and panics.
#[test]
fn debug_output_contains_no_keys() {
    let key = "sk-4f1c9";
    let table = build(&[rule("shop", &[key])]);
    let value = format!("{{\"apiKeys\":[\"{key}\"]}}").into_bytes();
    let item = MirrorItem { key: "op/config".to_owned(), revision: 4, value: Some(value.clone()) };
    let as_of = StoreRevision::new(0, 4);
    let update = MirrorUpdate { items: vec![item], as_of, complete: true, base: None };
    let mut mirror = StoreMirror::default();
    mirror.apply(update.clone());
    let output = format!("{table:?} {:?} {update:?} {mirror:?}", table.identify(key.as_bytes()));
    assert!(output.contains("shop") && output.contains("op/config"), "{output}");
    // A digest or a value would be printed as a list of numbers.
    let numbers = |bytes: &[u8]| format!("{:?}", &bytes[..4]).replace(['[', ']'], "");
    let digest = Sha256::digest(key);
    for secret in [key.to_owned(), numbers(&value), numbers(&digest)] {
        assert!(!output.contains(&secret), "{secret} in {output}");
    }
}

/// Guards against a revoked key that is taken for one that was never seen, and against a key that
/// stays revoked after operators have given it back. Each case has the keys of successive versions,
/// and which of the keys `a` and `b` are revoked after the last one.
#[test]
fn removed_keys_are_revoked_until_a_version_holds_them() {
    struct Case {
        name: &'static str,
        versions: &'static [&'static [&'static str]],
        revoked: [bool; 2],
    }
    let cases = [
        Case { name: "never held", versions: &[&[], &[]], revoked: [false, false] },
        Case { name: "held", versions: &[&["a"], &["a"]], revoked: [false, false] },
        Case { name: "removed", versions: &[&["a", "b"], &["b"]], revoked: [true, false] },
        Case { name: "later versions", versions: &[&["a"], &["b"], &["c"]], revoked: [true, true] },
        Case { name: "given back", versions: &[&["a"], &[], &["a"]], revoked: [false, false] },
        Case {
            name: "given back and removed",
            versions: &[&["a"], &[], &["a"], &[]],
            revoked: [true, false],
        },
    ];
    for case in cases {
        let mut revoked = RevokedKeys::default();
        for pair in case.versions.windows(2) {
            let (before, after) = (build(&[rule("x", pair[0])]), build(&[rule("x", pair[1])]));
            revoked.update(&before, &after);
        }
        assert_eq!(
            ["a", "b"].map(|key| revoked.contains(key.as_bytes())),
            case.revoked,
            "{}",
            case.name
        );
    }
}

/// Guards against the memory that the keys of years would take.
#[test]
fn the_number_of_revoked_keys_is_bounded() {
    let mut revoked = RevokedKeys::default();
    let table = |key: &str| build(&[rule("x", &[key])]);
    for number in 0..=MAX_REVOKED_KEYS {
        revoked.update(&table(&format!("key-{number}")), &build(&[]));
    }
    assert!(!revoked.contains(b"key-0"));
    assert!(revoked.contains(b"key-1"));
    assert!(revoked.contains(format!("key-{MAX_REVOKED_KEYS}").as_bytes()));
}
