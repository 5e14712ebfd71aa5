//! Customers' keys with real `route` processes: which requests are refused, what targets receive,
//! and that no key leaves a host or is written anywhere.

mod support;

use std::time::Duration;

use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::headers;
use hawthorn_standin::route::operator;
use hawthorn_standin::route::target::TargetFault;
use sha2::Digest;
use sha2::Sha256;
use support::TestResult;
use support::route;
use support::route::RouteHost;
use tokio::time::sleep;

const SHOP_KEY: &str = "sk-shop-61d0a7f3";
const BANK_KEY: &str = "sk-bank-0b94e2c8";
const OTHER_KEY: &str = "sk-other-77aa19b5";
const KEYS: [&str; 3] = [SHOP_KEY, BANK_KEY, OTHER_KEY];

/// One host and one target, customers `shop` and `bank`, a route that needs a key and an exempt
/// one.
struct KeyedHost {
    store: RouteStore,
    target: RouteTarget,
    host: RouteHost,
}

fn customers() -> [serde_json::Value; 2] {
    [operator::customer("shop", &[SHOP_KEY]), operator::customer("bank", &[BANK_KEY])]
}

fn routes() -> [serde_json::Value; 2] {
    [
        operator::single("/keyed/", "s", "safe"),
        operator::exempt(operator::single("/open/", "s", "safe")),
    ]
}

impl KeyedHost {
    async fn start() -> TestResult<Self> {
        let store = RouteStore::start().await?;
        let target = RouteTarget::start("t-1", "s").await?;
        operator::configure_customers(&store, 3, &routes(), &["s"], &customers());
        operator::register(&store, "t-1", &target, "east");
        let host = RouteHost::start("h-1", "east", store.address(), &[])?;
        host.wait_until_ready().await?;
        Ok(Self { store, target, host })
    }
}

/// The values of a header in all requests that a target received.
fn received(target: &RouteTarget, name: &str) -> Vec<Vec<String>> {
    let values = |request: Vec<(String, String)>| {
        request.into_iter().filter(|(held, _)| held == name).map(|(_, value)| value).collect()
    };
    target.request_headers().into_iter().map(values).collect()
}

/// The header name in the mixed case in which some callers send it.
fn odd_case(name: &str) -> String {
    let (start, end) = name.split_at(name.len() / 2);
    start.to_ascii_uppercase() + end
}

/// Guards against requests that run without a valid key, as another customer than the key's, or
/// with a name or key of the caller's own towards the target.
#[tokio::test(flavor = "multi_thread")]
async fn only_requests_with_a_valid_key_run_and_as_its_customer() -> TestResult {
    struct Case<'a> {
        name: &'static str,
        path: &'static str,
        headers: &'a [(&'a str, &'a str)],
        status: u16,
        body: Option<&'static str>,
        /// The customer's name that the target receives, if the request runs.
        customer: Option<&'static str>,
    }
    const KEY: &str = headers::KEY;
    const NAME: &str = headers::CUSTOMER;
    let (odd_key, odd_name) = (odd_case(KEY), odd_case(NAME));
    let with_odd_key = [(odd_key.as_str(), BANK_KEY)];
    let with_names = [(NAME, "bank"), (KEY, SHOP_KEY), (odd_name.as_str(), "bank")];
    let refused = |name, headers, status, body| Case {
        name,
        path: "/keyed/",
        headers,
        status,
        body: Some(body),
        customer: None,
    };
    let ran = |name, path, headers, customer| Case {
        name,
        path,
        headers,
        status: 200,
        body: None,
        customer,
    };
    let cases = [
        refused("no key", &[], 401, "unknown-key"),
        refused("only a name", &[(NAME, "shop")], 401, "unknown-key"),
        refused("unknown key", &[(KEY, OTHER_KEY)], 401, "unknown-key"),
        refused("empty key", &[(KEY, "")], 401, "unknown-key"),
        refused("key with a scheme", &[(KEY, "Bearer sk-shop-61d0a7f3")], 401, "unknown-key"),
        refused("two keys", &[(KEY, SHOP_KEY), (KEY, BANK_KEY)], 400, "several-keys"),
        refused("the same key twice", &[(KEY, SHOP_KEY), (KEY, SHOP_KEY)], 400, "several-keys"),
        ran("valid key", "/keyed/", &[(KEY, SHOP_KEY)], Some("shop")),
        ran("odd case", "/keyed/", &with_odd_key, Some("bank")),
        ran("a name of the caller's own", "/keyed/", &with_names, Some("shop")),
        ran(
            "a name listed as connection header",
            "/keyed/",
            &[(KEY, SHOP_KEY), ("Connection", NAME)],
            Some("shop"),
        ),
        ran("exempt without a key", "/open/", &[], None),
        ran("exempt with a key and a name", "/open/", &[(KEY, SHOP_KEY), (NAME, "bank")], None),
        ran("exempt with two keys", "/open/", &[(KEY, SHOP_KEY), (KEY, BANK_KEY)], None),
        ran("exempt with an unknown key", "/open/", &[(KEY, OTHER_KEY)], None),
    ];
    let keyed = KeyedHost::start().await?;
    for (index, case) in cases.iter().enumerate() {
        let name = case.name;
        let before = keyed.target.all_runs();
        let id = format!("id-{index}");
        let answer = keyed.host.send_with(case.path, &id, case.headers).await?;
        assert_eq!(answer.status, case.status, "{name}");
        if let Some(body) = case.body {
            assert_eq!(String::from_utf8(answer.body)?, body, "{name}");
            assert_eq!(keyed.target.all_runs(), before, "{name}");
            continue;
        }
        let customer: Vec<&str> = case.customer.into_iter().collect();
        let names = received(&keyed.target, headers::CUSTOMER);
        assert_eq!(names.last().ok_or("the request ran")?, &customer, "{name}");
    }
    let keys = received(&keyed.target, headers::KEY).concat();
    assert!(keys.is_empty(), "a target received {keys:?}");
    let metrics = keyed.host.metrics().await?;
    for (reason, count) in [("missing", 2), ("unknown", 1), ("malformed", 2), ("several", 2)] {
        let line = metrics.lines().find(|line| {
            line.starts_with("hawthorn_route_key_rejections_total")
                && line.contains(&format!("reason=\"{reason}\""))
        });
        let line = line.ok_or_else(|| format!("no series of {reason}"))?;
        assert!(line.ends_with(&format!(" {count}")), "{line}");
    }
    Ok(())
}

/// Guards against a host that answers 401 because it knows no configuration yet, which callers
/// would not retry.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_without_a_configuration_answers_503() -> TestResult {
    let store = RouteStore::start().await?;
    let host = RouteHost::start("h-1", "east", store.address(), &[])?;
    route::wait_for("the host to listen", async || {
        host.send("GET", "/keyed/", "id-0", "").await.is_ok()
    })
    .await?;
    for headers in [&[][..], &[(headers::KEY, SHOP_KEY)]] {
        let answer = host.send_with("/keyed/", "id-1", headers).await?;
        assert_eq!((answer.status, &answer.body[..]), (503, &b"no-configuration"[..]));
        assert!(answer.headers.contains_key("retry-after"));
    }
    Ok(())
}

/// Guards against versions with mistakes: an unreadable one leaves the version before in force and
/// ends no request for good, a revoked key is refused, and targets receive no keys from callers that still send them after the last customer
/// was removed.
#[tokio::test(flavor = "multi_thread")]
async fn versions_change_which_keys_are_accepted() -> TestResult {
    let keyed = KeyedHost::start().await?;
    let KeyedHost { store, target, host } = &keyed;
    let send = async |key: &str| -> TestResult<u16> {
        let headers = [(headers::KEY, key)];
        Ok(host.send_with("/keyed/", "id-1", &headers).await?.status)
    };
    operator::put_raw_configuration(
        store,
        br#"{"configVersion":4,"tenants":[{"name":"shop","apiKeys":"sk-shop-61d0a7f3"}]}"#,
    );
    route::wait_for("the unreadable version", async || host.logged("E611") == 1).await?;
    assert_eq!((send(SHOP_KEY).await?, send(OTHER_KEY).await?), (200, 503));
    // The shop's key is revoked, and the bank's is given to both.
    let changed = [
        operator::customer("shop", &[BANK_KEY]),
        operator::customer("bank", &[BANK_KEY, OTHER_KEY]),
    ];
    operator::configure_customers(store, 5, &routes(), &["s"], &changed);
    let line = "customers-in-force: version=5 customers=2 keys=2 exempt_routes=1";
    route::wait_for(line, async || host.logged(line) == 1).await?;
    assert_eq!(host.logged("E651 customers-broken: version=5 error=\"customers shop and bank"), 1);
    assert_eq!((send(SHOP_KEY).await?, send(OTHER_KEY).await?), (401, 200));
    assert_eq!(send(BANK_KEY).await?, 200);
    let names = received(target, headers::CUSTOMER).concat();
    assert_eq!(names, ["shop", "bank", "bank"]);
    operator::configure(store, 6, &routes(), &["s"]);
    let line = "customers-in-force: version=6 customers=0 keys=0";
    route::wait_for(line, async || host.logged(line) == 1).await?;
    assert_eq!(send(SHOP_KEY).await?, 200);
    assert_eq!(received(target, headers::CUSTOMER).concat(), names);
    let keys = received(target, headers::KEY).concat();
    assert!(keys.is_empty(), "a target received {keys:?}");
    Ok(())
}

/// Guards against callers that state who they are by a header of their own, and keys that leave a
/// host that knows no customers, as after a restart under a version that lacks them by mistake.
/// All other headers reach the target unchanged.
#[tokio::test(flavor = "multi_thread")]
async fn without_customers_only_headers_of_the_tier_are_replaced() -> TestResult {
    let store = RouteStore::start().await?;
    let target = RouteTarget::start("t-1", "s").await?;
    operator::configure(&store, 3, &routes(), &["s"]);
    operator::register(&store, "t-1", &target, "east");
    let host = RouteHost::start("h-1", "east", store.address(), &[])?;
    host.wait_until_ready().await?;
    struct Case {
        name: &'static str,
        sent: &'static str,
        received: &'static [&'static str],
    }
    let cases = [
        Case { name: headers::KEY, sent: "x", received: &[] },
        Case { name: headers::CUSTOMER, sent: "y", received: &[] },
        Case { name: headers::EXPECTED_TARGET, sent: "t-9", received: &["t-1"] },
        Case { name: "authorization", sent: "Bearer z", received: &["Bearer z"] },
        Case { name: "cookie", sent: "a=b", received: &["a=b"] },
        Case { name: "x-forwarded-for", sent: "10.0.0.1", received: &["10.0.0.1"] },
        Case { name: "hawthornroute-other", sent: "v", received: &["v"] },
    ];
    let sent: Vec<(&str, &str)> = cases.iter().map(|case| (case.name, case.sent)).collect();
    assert_eq!(host.send_with("/keyed/", "id-1", &sent).await?.status, 200);
    for case in cases {
        assert_eq!(received(&target, case.name), [case.received], "{}", case.name);
    }
    let [time_left] = &received(&target, headers::TIME_LEFT)[..] else {
        return Err("one request ran".into());
    };
    assert_eq!(time_left.len(), 1, "{time_left:?}");
    assert_eq!(received(&target, headers::ATTEMPT_ID), [["id-1"]]);
    assert_eq!(host.logged("E650") + host.logged("E651"), 0);
    Ok(())
}

/// Forms in which a key or its digest could be written.
fn secrets() -> Vec<String> {
    let forms = |key: &&str| {
        let digest = Sha256::digest(key);
        let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        // The start of a list of numbers, as `Debug` prints bytes.
        let numbers = |bytes: &[u8]| format!("{:?}", &bytes[..4]).replace(['[', ']'], "");
        // Sixteen hexadecimal digits: a shortened digest must not appear either.
        [(*key).to_owned(), hex[..16].to_owned(), numbers(key.as_bytes()), numbers(&digest)]
    };
    KEYS.iter().flat_map(forms).collect()
}

/// Guards against keys that leave a host or are written. Two zones, with delegated queries and
/// failing targets, at debug level: targets of the other zone would receive a key that a peer had
/// received, as a peer forwards all headers of a query.
#[tokio::test(flavor = "multi_thread")]
async fn keys_reach_no_target_or_peer_and_are_written_nowhere() -> TestResult {
    let store = RouteStore::start().await?;
    let names = ["a", "b", "c", "d"];
    let mut targets = Vec::new();
    for name in names {
        let target = RouteTarget::start(&format!("t-{name}"), name).await?;
        operator::register(&store, &format!("t-{name}"), &target, "west");
        targets.push(target);
    }
    let routes = [operator::scatter_gather("/all/", &names, 0.5)];
    operator::configure_customers(&store, 3, &routes, &names, &customers());
    let east = RouteHost::start("h-1", "east", store.address(), &[])?;
    let west = RouteHost::start("h-2", "west", store.address(), &[&east])?;
    east.wait_until_ready().await?;
    west.wait_until_ready().await?;
    let joined = async || east.logged("host=h-2 zone=west change=up") == 1;
    route::wait_for("the hosts to know each other", joined).await?;
    sleep(Duration::from_millis(500)).await;
    let key = (headers::KEY, SHOP_KEY);
    let sent = [key, (headers::CUSTOMER, "bank")];
    let delegated = async || {
        let _answer = east.send_with("/all/", "id-1", &sent).await;
        east.logged("decision=delegated outcome=whole") > 0
    };
    route::wait_for("a peer to gather", delegated).await?;
    targets[0].fail_always(Some(TargetFault::Disconnect));
    targets[1].fail_always(Some(TargetFault::NoAnswer));
    for (id, headers) in [
        ("id-2", &sent[..]),
        ("id-3", &[(headers::KEY, OTHER_KEY)]),
        ("id-4", &[key, (headers::KEY, BANK_KEY)]),
        ("id-5", &[]),
    ] {
        east.send_with("/all/", id, headers).await?;
    }
    // Mistakes whose errors could quote keys: a shared key, and a key in place of a list or number.
    let shared = [
        operator::customer("shop", &[SHOP_KEY, BANK_KEY]),
        operator::customer("bank", &[BANK_KEY]),
    ];
    let hosts = [&east, &west];
    let all_logged = async |text: &str, count: usize| {
        let logged = async || hosts.iter().all(|host| host.logged(text) == count);
        route::wait_for(text, logged).await
    };
    operator::configure_customers(&store, 4, &routes, &names, &shared);
    all_logged("E651", 1).await?;
    let unreadable = [
        r#"{"configVersion":5,"tenants":[{"name":"shop","apiKeys":"sk-shop-61d0a7f3"}]}"#,
        r#"{"configVersion":6,"tenants":[{"name":"shop","priority":"sk-shop-61d0a7f3"}]}"#,
    ];
    for (index, text) in unreadable.iter().enumerate() {
        operator::put_raw_configuration(&store, text.as_bytes());
        all_logged("E611", index + 1).await?;
    }

    for target in &targets {
        let customers = received(target, headers::CUSTOMER);
        assert!(!customers.is_empty());
        assert!(customers.iter().all(|names| names[..] == ["shop"]), "{customers:?}");
        assert_eq!(received(target, headers::KEY).concat(), [""; 0]);
    }
    assert!(east.log_lines().iter().any(|line| {
        line.contains("E630 request-ended: request=id-2") && line.ends_with(" customer=\"shop\"")
    }));
    let gathered = west.log_lines().concat();
    assert!(gathered.contains("parts-missing"), "the peer gathered nothing: {gathered}");
    for host in hosts {
        let output = [host.log_lines(), host.error_lines()].concat().join("\n");
        let metrics = host.metrics().await?;
        assert!(output.contains("E650 ") && metrics.contains("of=\"customers\""), "{output}");
        for secret in secrets() {
            assert!(!output.contains(&secret), "{secret} is in the output: {output}");
            assert!(!metrics.contains(&secret), "{secret} is in the metrics: {metrics}");
        }
    }
    Ok(())
}
