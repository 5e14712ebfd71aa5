//! Quarantine of requests that crash targets: decisions of one host, and merging of records.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use hawthorn_route::fingerprint::RequestFingerprint;
use hawthorn_route::quarantine;
use hawthorn_route::quarantine::AttemptKind;
use hawthorn_route::quarantine::AttemptOutcome;
use hawthorn_route::quarantine::ChangeKind;
use hawthorn_route::quarantine::Exposure;
use hawthorn_route::quarantine::MAX_UNANSWERED_EXTRA;
use hawthorn_route::quarantine::Options;
use hawthorn_route::quarantine::Permit;
use hawthorn_route::quarantine::QuarantineTable;
use hawthorn_route::quarantine::RequestIdentity;
use hawthorn_route::quarantine::Subject;
use hawthorn_route::quarantine::Verdict;

fn caller(number: u8) -> Option<IpAddr> {
    Some(IpAddr::V4(Ipv4Addr::new(10, 0, 0, number)))
}

fn identity(path: &str, from: u8) -> RequestIdentity {
    let fingerprint = RequestFingerprint::of("GET", "a.example", path, b"");
    RequestIdentity::new(fingerprint, caller(from), "r")
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A host's table and the history of its current request.
#[derive(Default)]
struct Host {
    table: QuarantineTable,
    exposure: Exposure,
}

impl Host {
    fn permit(&self, identity: &RequestIdentity, kind: AttemptKind, now: Duration) -> Permit {
        let options = Options::default();
        quarantine::decide(&self.table, identity, &self.exposure, kind, now, &options)
    }

    fn end(&mut self, identity: &RequestIdentity, outcome: AttemptOutcome, now: Duration) {
        if self.exposure.record_end(outcome) {
            self.table.strike(identity, now, &Options::default());
        }
        if outcome == AttemptOutcome::Answered {
            self.table.answer(identity, now);
        }
    }

    /// Sends attempts sequentially, all of which crash; returns how many were permitted.
    fn crash_sequentially(
        &mut self,
        identity: &RequestIdentity,
        max: usize,
        now: Duration,
    ) -> usize {
        self.exposure = Exposure::default();
        let mut sent = 0;
        while sent < max && self.permit(identity, AttemptKind::First, now) == Permit::Send {
            self.exposure.record_sent(false);
            self.end(identity, AttemptOutcome::Crashed, now);
            sent += 1;
        }
        sent
    }

    fn verdict(&self, identity: &RequestIdentity, now: Duration) -> Verdict {
        self.table.verdict(identity, now, &Options::default())
    }
}

/// Guards against extra attempts at all shards before any shard has answered.
#[test]
fn a_fan_out_makes_few_extra_attempts_before_its_first_part() {
    let mut host = Host::default();
    let request = identity("/a", 1);
    for _ in 0..20 {
        assert_eq!(host.permit(&request, AttemptKind::First, at(0)), Permit::Send);
        host.exposure.record_sent(false);
    }
    for _ in 0..MAX_UNANSWERED_EXTRA {
        assert_eq!(host.permit(&request, AttemptKind::Extra, at(30)), Permit::Send);
        host.exposure.record_sent(true);
    }
    assert_eq!(host.permit(&request, AttemptKind::Extra, at(30)), Permit::Hold);
    host.end(&request, AttemptOutcome::Answered, at(40));
    assert_eq!(host.permit(&request, AttemptKind::Extra, at(40)), Permit::Send);
}

/// Guards against an attempt that is held although nothing is in flight that could release it.
#[test]
fn an_attempt_is_held_only_for_others_in_flight() {
    let mut host = Host::default();
    let request = identity("/a", 1);
    host.exposure.record_sent(false);
    host.end(&request, AttemptOutcome::Other, at(1));
    for _ in 0..MAX_UNANSWERED_EXTRA {
        assert_eq!(host.permit(&request, AttemptKind::Extra, at(2)), Permit::Send);
        host.exposure.record_sent(true);
    }
    assert_eq!(host.permit(&request, AttemptKind::Extra, at(2)), Permit::Hold);
    for _ in 0..MAX_UNANSWERED_EXTRA {
        host.end(&request, AttemptOutcome::Other, at(3));
    }
    assert_eq!(host.permit(&request, AttemptKind::Extra, at(3)), Permit::Exhausted);
}

/// Guards against a fan-out that continues at all shards after crashes.
#[test]
fn after_a_crash_one_attempt_is_made_at_a_time() {
    let mut host = Host::default();
    let request = identity("/a", 1);
    (0..20).for_each(|_| host.exposure.record_sent(false));
    for crashed in 1..=20 {
        host.end(&request, AttemptOutcome::Crashed, at(5));
        let expected = if crashed < 20 { Permit::Hold } else { Permit::Send };
        assert_eq!(host.permit(&request, AttemptKind::Extra, at(5)), expected, "{crashed}");
    }
    // The fan-out is one strike, and each attempt after it is another.
    assert_eq!(host.verdict(&request, at(5)), Verdict::Trial);
    for _ in 0..2 {
        assert_eq!(host.permit(&request, AttemptKind::Extra, at(6)), Permit::Send);
        host.exposure.record_sent(true);
        assert_eq!(host.permit(&request, AttemptKind::Extra, at(6)), Permit::Hold);
        host.end(&request, AttemptOutcome::Crashed, at(7));
    }
    let term = Options::default().term;
    assert_eq!(host.permit(&request, AttemptKind::Extra, at(7)), Permit::Refuse(term));
}

#[test]
fn a_request_is_tried_after_its_term_and_then_refused_for_longer() {
    let mut host = Host::default();
    let request = identity("/a", 1);
    let term = Options::default().term;
    assert_eq!(host.crash_sequentially(&request, 10, at(0)), 3);
    assert_eq!(host.verdict(&request, at(1000)), Verdict::Refuse(term - at(1000)));
    let kinds: Vec<ChangeKind> = host.table.sweep(term).iter().map(|change| change.kind).collect();
    assert!(kinds.contains(&ChangeKind::Released));
    assert_eq!(host.verdict(&request, term), Verdict::Trial);
    assert_eq!(host.crash_sequentially(&request, 10, term), 1);
    assert_eq!(host.verdict(&request, term), Verdict::Refuse(term * 2));
    // An answer after the next term lifts all restrictions.
    host.exposure = Exposure::default();
    host.exposure.record_sent(false);
    host.end(&request, AttemptOutcome::Answered, term * 3);
    assert_eq!(host.verdict(&request, term * 3), Verdict::Send);
}

/// Guards against refusing requests that were in progress when a target crashed for another
/// reason.
#[test]
fn requests_affected_by_unrelated_crashes_are_not_refused() {
    let mut host = Host::default();
    let mut refused = 0;
    for number in 0..2000_u64 {
        let request = identity(&format!("/{number}"), (number % 50) as u8);
        let now = at(number * 10);
        // One request in ten is affected by a crash, one in a hundred by two.
        let crashes = match number {
            _ if number.is_multiple_of(100) => 2,
            _ if number.is_multiple_of(10) => 1,
            _ => 0,
        };
        host.exposure = Exposure::default();
        for crash in 0..=crashes {
            let kind = if crash == 0 { AttemptKind::First } else { AttemptKind::Extra };
            if host.permit(&request, kind, now) != Permit::Send {
                refused += 1;
                break;
            }
            host.exposure.record_sent(crash > 0);
            let last = crash == crashes;
            let outcome = if last { AttemptOutcome::Answered } else { AttemptOutcome::Crashed };
            host.end(&request, outcome, now);
        }
        host.table.sweep(now);
    }
    assert_eq!(refused, 0);
}

/// Guards against a caller that avoids refusal by varying the content of its requests.
#[test]
fn a_caller_with_varying_requests_is_refused_and_others_are_not() {
    let mut host = Host::default();
    let mut crashed = 0;
    for number in 0..100 {
        let request = identity(&format!("/crash/{number}"), 1);
        crashed += host.crash_sequentially(&request, 10, at(number * 20));
    }
    assert!(crashed <= 12, "{crashed} crashes in two seconds");
    let now = at(2000);
    assert!(matches!(host.verdict(&identity("/b", 1), now), Verdict::Refuse(_)));
    // Other callers on the route are tried at one target first.
    assert_eq!(host.verdict(&identity("/b", 2), now), Verdict::Trial);
    let other = RequestIdentity { route: 7, ..identity("/b", 3) };
    assert_eq!(host.verdict(&other, now), Verdict::Send);
}

/// Guards against a caller whose headers crash targets and cause the same content to be
/// refused for other callers.
#[test]
fn a_content_is_refused_to_the_callers_who_crashed_targets_with_it() {
    let mut host = Host::default();
    host.crash_sequentially(&identity("/a", 1), 10, at(0));
    assert!(matches!(host.verdict(&identity("/a", 1), at(1)), Verdict::Refuse(_)));
    assert_eq!(host.verdict(&identity("/a", 2), at(1)), Verdict::Trial);
    assert_eq!(host.crash_sequentially(&identity("/a", 2), 1, at(2)), 1);
    // Once two callers have crashed targets, the content is refused for all.
    assert!(matches!(host.verdict(&identity("/a", 3), at(3)), Verdict::Refuse(_)));
}

/// Guards against unbounded memory use with many distinct requests, and against eviction
/// of a refused request by others.
#[test]
fn records_are_bounded_and_refused_requests_are_not_evicted() {
    let mut host = Host::default();
    let refused = identity("/refused", 250);
    host.crash_sequentially(&refused, 10, at(0));
    for number in 0..20_000_u64 {
        let request = identity(&format!("/{number}"), (number % 200) as u8);
        host.exposure = Exposure::default();
        host.exposure.record_sent(false);
        host.end(&request, AttemptOutcome::Crashed, at(1 + number));
    }
    assert!(host.table.counts().0 <= 2048, "{} subjects", host.table.counts().0);
    assert!(matches!(host.verdict(&refused, at(20_001)), Verdict::Refuse(_)));
    host.table.sweep(at(10_000_000));
    assert!(host.table.is_empty());
    assert_eq!(host.table.digest(), 0);
}

/// Guards against hosts that fail to converge when notices are duplicated, delayed or reordered.
#[test]
fn hosts_agree_whatever_the_order_of_notices() {
    let options = Options::default();
    let request = identity("/a", 1);
    let (mut first, mut second) = (Host::default(), Host::default());
    first.crash_sequentially(&request, 10, at(0));
    let old = first.table.notices(at(0));
    first.exposure = Exposure::default();
    first.exposure.record_sent(false);
    first.end(&request, AttemptOutcome::Answered, at(10));
    let new = first.table.notices(at(10));
    for notices in [&new, &old, &new, &old] {
        for notice in notices {
            second.table.merge(notice, at(20), &options);
        }
    }
    assert_eq!(second.verdict(&request, at(20)), Verdict::Send);
    assert_eq!(second.table.digest(), first.table.digest());
    // Expired records are not merged.
    let expired = first.table.notices(at(100_000_000));
    let mut third = Host::default();
    for notice in &expired {
        assert_eq!(third.table.merge(notice, at(0), &options), None);
    }
    assert!(third.table.is_empty());
    let subject = Subject::Request(request.fingerprint);
    assert!(second.table.notice(subject, at(20)).is_some());
}

/// Guards against gossip that grows with the query rate during an outage.
#[test]
fn notices_of_single_strikes_are_rate_limited_and_others_are_not() {
    let mut host = Host::default();
    let mut unconfirmed = 0;
    let mut confirmed = 0;
    for number in 0..2000_u64 {
        let now = at(number);
        let request = identity(&format!("/{number}"), (number % 200) as u8);
        host.exposure = Exposure::default();
        host.exposure.record_sent(false);
        host.end(&request, AttemptOutcome::Crashed, now);
        if number.is_multiple_of(20) {
            // Each on a different route, so that the caller is not refused earlier.
            let request =
                RequestIdentity::new(request.fingerprint, caller(250), &number.to_string());
            host.crash_sequentially(&request, 10, now);
        }
        let notices = host.table.take_unsent(usize::MAX, now);
        confirmed += notices.iter().filter(|notice| notice.confirmed).count();
        unconfirmed += notices.iter().filter(|notice| !notice.confirmed).count();
    }
    assert!(confirmed >= 100, "{confirmed} notices of confirmed records");
    assert!(unconfirmed <= 52, "{unconfirmed} notices of unconfirmed records in two seconds");
}

/// Guards against refusing the only caller of a route while targets of all routes crash.
#[test]
fn a_caller_is_not_refused_while_requests_of_other_callers_crash_targets_too() {
    let mut host = Host::default();
    let only_caller_identity = |number: u64| {
        let fingerprint = RequestFingerprint::of("GET", "a.example", &number.to_string(), b"");
        RequestIdentity::new(fingerprint, caller(1), "alone")
    };
    for number in 0..100_u64 {
        let now = at(number * 50);
        host.crash_sequentially(&identity(&format!("/{number}"), (number % 20) as u8), 2, now);
        if number.is_multiple_of(10) {
            host.crash_sequentially(&only_caller_identity(number), 2, now);
        }
    }
    assert_ne!(host.verdict(&only_caller_identity(1000), at(5000)), Verdict::Send);
    assert!(!matches!(host.verdict(&only_caller_identity(1000), at(5000)), Verdict::Refuse(_)));
}
