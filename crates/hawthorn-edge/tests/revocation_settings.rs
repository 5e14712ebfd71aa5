//! The range of the time within which keys must be revoked.

use hawthorn_edge::settings::RouteSettings;

fn settings(within_ms: u64) -> String {
    format!(
        "[host]\nname = \"h\"\nzone = \"east\"\n[listen]\ncallers = \"127.0.0.1:1\"\n\
         ready = \"127.0.0.1:2\"\npeers = \"127.0.0.1:3\"\nmetrics = \"127.0.0.1:4\"\n\
         [zones]\neast = \"r\"\n[fleet]\nseeds = []\n[store]\naddress = \"127.0.0.1:5\"\n\
         [targets]\nbeat_ms = 1200\nleave_ms = 3000\n[stop]\ngrace_ms = 6000\n\
         [budget]\nshare = 0.2\nwindow_s = 10\nallowance = 20\n\
         [revocation]\nwithin_ms = {within_ms}\n"
    )
}

/// Guards against a limit that refuses allowed requests on calm days, and against a mistaken unit
/// that leaves keys in use for hours.
#[test]
fn the_time_to_revoke_has_a_range() {
    struct Case {
        within_ms: u64,
        error: Option<&'static str>,
    }
    let cases = [
        Case { within_ms: 0, error: Some("revocation.within_ms: must be at least 3200") },
        Case { within_ms: 3199, error: Some("revocation.within_ms: must be at least 3200") },
        Case { within_ms: 3200, error: None },
        Case { within_ms: 5000, error: None },
        Case { within_ms: 600_000, error: None },
        Case { within_ms: 600_001, error: Some("revocation.within_ms: must be at most 600000") },
    ];
    for case in &cases {
        let error = RouteSettings::from_toml(&settings(case.within_ms)).err();
        let error = error.map(|error| error.to_string()).unwrap_or_default();
        let expected = case.error.unwrap_or_default();
        assert!(error.starts_with(expected), "{}: {error}", case.within_ms);
        assert_eq!(error.is_empty(), case.error.is_none(), "{}: {error}", case.within_ms);
    }
}
