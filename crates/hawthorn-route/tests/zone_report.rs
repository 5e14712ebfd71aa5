//! Reports within a zone: when they count, what confirms them, and what they do to readiness.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use hawthorn_route::payload;
use hawthorn_route::payload::PayloadKind;
use hawthorn_route::zone_report::Finding;
use hawthorn_route::zone_report::MAX_REPORTS;
use hawthorn_route::zone_report::MAX_ZONE_BYTES;
use hawthorn_route::zone_report::Report;
use hawthorn_route::zone_report::ReportSubject;
use hawthorn_route::zone_report::RequestDemand;
use hawthorn_route::zone_report::ZoneMessage;
use hawthorn_route::zone_report::book::OwnEvidence;
use hawthorn_route::zone_report::book::ReportBook;
use hawthorn_route::zone_report::book::Standing;
use hawthorn_route::zone_report::readiness;
use hawthorn_route::zone_report::readiness::ReturnGate;
use hawthorn_route::zone_report::readiness::UnreadyCause;
use hawthorn_route::zone_report::readiness::ZoneView;
use hawthorn_route::zone_report::schedule::MAX_RECEIVERS;
use hawthorn_route::zone_report::schedule::SendSchedule;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn reporter(index: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7000))
}

fn south() -> ReportSubject {
    ReportSubject::Zone("south".to_owned())
}

fn report(finding: Finding, age_ms: u32) -> Report {
    let subject = south();
    Report { subject, finding, unanswered: 6, first_ms: age_ms, suspected_ms: age_ms, age_ms }
}

fn message(at: u64, reports: Vec<Report>) -> ZoneMessage {
    ZoneMessage { sequence: at, reports, ..ZoneMessage::default() }
}

/// Something that a host learns, in milliseconds.
#[derive(Clone, Copy)]
enum Step {
    /// A report of another host, its number and the age of the finding.
    Report(u64, u16, Finding, u32),
    /// An own request or probe was answered.
    Answer(u64),
    /// An own probe failed, sent 60 ms before.
    FailedProbe(u64),
    /// Own requests were not answered.
    Evidence(u64),
}

fn apply(book: &mut ReportBook, step: Step) {
    match step {
        Step::Report(at, from, finding, age) => {
            book.receive(reporter(from), &message(at, vec![report(finding, age)]), ms(at));
        }
        Step::Answer(at) => book.record_answer(&south(), ms(at)),
        Step::FailedProbe(at) => book.record_failed_probe(&south(), ms(at - 60), ms(at)),
        Step::Evidence(at) => {
            let (first, suspected, held) = (ms(at - 80), ms(at), ms(at));
            let finding = Finding::Suspected;
            let evidence = OwnEvidence { finding, unanswered: 6, first, suspected, held };
            book.observe(&south(), evidence);
        }
    }
}

/// Guards against a zone that is given up because of one host's report or because of reports that
/// are outdated, and against one that is not given up although two hosts found it unreachable.
#[test]
fn a_report_needs_a_second_reporter_or_an_own_failed_probe() {
    use Finding::Answered;
    use Finding::Suspected;
    use Step::Answer;
    use Step::Evidence;
    use Step::FailedProbe;
    use Step::Report;
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        at: u64,
        least: Finding,
        standing: Standing,
    }
    let case = |name, steps, at, standing| Case { name, steps, at, least: Suspected, standing };
    let one = &[Report(1000, 1, Suspected, 0)];
    let two = &[Report(1000, 1, Suspected, 0), Report(1010, 2, Suspected, 0)];
    let cases = [
        case("one reporter", one, 1200, Standing::Reported),
        case("one reporter, expired", one, 2500, Standing::Unreported),
        case("two reporters, not probed yet", two, 1080, Standing::Reported),
        case("two reporters", two, 1100, Standing::Confirmed),
        Case {
            name: "two that suspect are no evidence of an unreachable zone",
            steps: two,
            at: 1100,
            least: Finding::Unreachable,
            standing: Standing::Unreported,
        },
        case("one of two expired", two, 2505, Standing::Reported),
        case(
            "old evidence expires early",
            &[Report(1000, 1, Suspected, 1400)],
            1101,
            Standing::Unreported,
        ),
        case(
            "renewed",
            &[Report(1000, 1, Suspected, 0), Report(2000, 1, Suspected, 0)],
            3400,
            Standing::Reported,
        ),
        case(
            "a host that repeats itself",
            &[Report(1000, 1, Suspected, 0), Report(1100, 1, Suspected, 0)],
            1300,
            Standing::Reported,
        ),
        case("own evidence alone", &[Evidence(1000)], 1200, Standing::Reported),
        case(
            "own evidence and a report",
            &[Evidence(1000), Report(1010, 1, Suspected, 0)],
            1010,
            Standing::Confirmed,
        ),
        case("a failed probe alone", &[FailedProbe(1000)], 1010, Standing::Unreported),
        case(
            "a report and a failed probe",
            &[Report(1000, 1, Suspected, 0), FailedProbe(1060)],
            1060,
            Standing::Confirmed,
        ),
        case(
            "a failed probe that was not repeated",
            &[Report(1000, 1, Suspected, 0), FailedProbe(1060)],
            1470,
            Standing::Reported,
        ),
        case(
            "two reporters, answered here since",
            &[Report(1000, 1, Suspected, 0), Report(1010, 2, Suspected, 0), Answer(1020)],
            1200,
            Standing::Unreported,
        ),
        case(
            "two reporters, answered here before",
            &[Answer(990), Report(1000, 1, Suspected, 0), Report(1010, 2, Suspected, 0)],
            1200,
            Standing::Confirmed,
        ),
        case(
            "a failed probe that an answer overtook",
            &[Report(1000, 1, Suspected, 30), Answer(965), FailedProbe(1010)],
            1020,
            Standing::Reported,
        ),
        case(
            "cleared by one of two",
            &[
                Report(1000, 1, Suspected, 0),
                Report(1010, 2, Suspected, 0),
                Report(1200, 2, Answered, 0),
            ],
            1300,
            Standing::Reported,
        ),
        case(
            "an older message that arrives late",
            &[Report(1200, 1, Answered, 0), Report(1100, 1, Suspected, 0)],
            1250,
            Standing::Unreported,
        ),
    ];
    for Case { name, steps, at, least, standing } in cases {
        let mut book = ReportBook::default();
        steps.iter().for_each(|step| apply(&mut book, *step));
        assert_eq!(book.standing(&south(), least, ms(at)), standing, "{name}");
    }
}

/// Guards against a report that starts no probe, and against probes of what this host knows.
#[test]
fn an_unknown_report_is_probed() {
    struct Case {
        name: &'static str,
        before: &'static [Step],
        finding: Finding,
        probed: bool,
    }
    let cases = [
        Case { name: "unknown", before: &[], finding: Finding::Suspected, probed: true },
        Case {
            name: "answered before",
            before: &[Step::Answer(900)],
            finding: Finding::Suspected,
            probed: true,
        },
        Case { name: "cleared", before: &[], finding: Finding::Answered, probed: false },
        Case {
            name: "own evidence",
            before: &[Step::Evidence(950)],
            finding: Finding::Suspected,
            probed: false,
        },
        Case {
            name: "probed already",
            before: &[Step::FailedProbe(950)],
            finding: Finding::Suspected,
            probed: false,
        },
    ];
    for Case { name, before, finding, probed } in cases {
        let mut book = ReportBook::default();
        before.iter().for_each(|step| apply(&mut book, *step));
        let subjects =
            book.receive(reporter(1), &message(1000, vec![report(finding, 0)]), ms(1000));
        assert_eq!(!subjects.is_empty(), probed, "{name}");
    }
}

/// Guards against a clearance that is not reported, and against reports of failed probes that
/// outlive the reports which caused them.
#[test]
fn own_reports_follow_the_evidence() {
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        at: u64,
        reported: Option<Finding>,
    }
    let case = |name, steps, at, reported| Case { name, steps, at, reported };
    let cases = [
        case("evidence", &[Step::Evidence(1000)], 1010, Some(Finding::Suspected)),
        case("evidence that was not renewed", &[Step::Evidence(1000)], 2500, None),
        case("cleared", &[Step::Evidence(1000), Step::Answer(1100)], 1110, Some(Finding::Answered)),
        case("cleared long ago", &[Step::Evidence(1000), Step::Answer(1100)], 2600, None),
        case("an answer as usual", &[Step::Answer(1100)], 1110, None),
        case("a failed probe without reports", &[Step::FailedProbe(1000)], 1010, None),
        case(
            "a failed probe after a report",
            &[Step::Report(940, 1, Finding::Suspected, 0), Step::FailedProbe(1000)],
            1010,
            Some(Finding::Suspected),
        ),
        case(
            "a failed probe after a report that was cleared",
            &[
                Step::Report(940, 1, Finding::Suspected, 0),
                Step::FailedProbe(1000),
                Step::Report(1005, 1, Finding::Answered, 0),
            ],
            1010,
            None,
        ),
    ];
    for Case { name, steps, at, reported } in cases {
        let mut book = ReportBook::default();
        steps.iter().for_each(|step| apply(&mut book, *step));
        let findings: Vec<Finding> =
            book.own_reports(ms(at)).iter().map(|report| report.finding).collect();
        assert_eq!(findings, Vec::from_iter(reported), "{name}");
    }
}

/// Guards against messages that the membership protocol drops for their size, and against a host
/// that fills the memory of another with reports.
#[test]
fn messages_are_bounded() {
    let mut book = ReportBook::default();
    let names = (0..40).map(|index| format!("{index:0>width$}", width = MAX_ZONE_BYTES));
    let subjects: Vec<ReportSubject> = names.map(ReportSubject::Zone).collect();
    let long_name = ReportSubject::Zone("z".repeat(MAX_ZONE_BYTES + 1));
    let evidence = OwnEvidence {
        finding: Finding::Unreachable,
        unanswered: u32::MAX,
        first: ms(0),
        suspected: ms(0),
        held: ms(1_000_000_000),
    };
    book.observe(&long_name, evidence);
    subjects.iter().for_each(|subject| book.observe(subject, evidence));
    let reports = book.own_reports(ms(1_000_000_001));
    assert_eq!(reports.len(), MAX_REPORTS);
    assert!(reports.iter().all(|report| report.subject != long_name));
    let demand = RequestDemand { total: u32::MAX, lost: u32::MAX };
    let sequence = u64::MAX;
    let longest = ZoneMessage { sequence, fails_alone: true, demand, reports };
    let bytes = postcard::to_allocvec(&longest).expect("a message is encoded");
    assert!(payload::wrap(PayloadKind::ZoneReports, bytes).len() <= 1150);

    let flood = subjects
        .iter()
        .map(|subject| Report { subject: subject.clone(), ..report(Finding::Suspected, 0) });
    let mut receiver = ReportBook::default();
    receiver.receive(reporter(1), &message(1, flood.collect()), ms(1000));
    assert_eq!(receiver.subjects(ms(1000)).len(), MAX_REPORTS);
    for index in 0..2000 {
        receiver.receive(
            reporter(index),
            &message(2, vec![report(Finding::Suspected, 0)]),
            ms(1100),
        );
    }
    assert!(receiver.reporters(&south(), Finding::Suspected, ms(1100)).0 <= 512);
}

/// Guards against a zone that leaves although it can serve or because of one host, and against one
/// whose hosts leave one after the other.
#[test]
fn a_zone_fails_its_probes_together() {
    struct Case {
        name: &'static str,
        live: usize,
        failing: u16,
        fails_alone: bool,
        confirmed: usize,
        own: (u32, u32),
        reported: (u32, u32),
        cause: Option<UnreadyCause>,
    }
    let base = Case {
        name: "calm",
        live: 10,
        failing: 0,
        fails_alone: false,
        confirmed: 0,
        own: (1000, 0),
        reported: (0, 0),
        cause: None,
    };
    let cases = [
        Case { name: "by itself", fails_alone: true, cause: Some(UnreadyCause::Alone), ..base },
        Case { name: "half", failing: 5, cause: Some(UnreadyCause::Majority), ..base },
        Case { name: "fewer than half", failing: 4, ..base },
        Case { name: "the other one of two", live: 2, failing: 1, ..base },
        Case {
            name: "two of three",
            live: 3,
            failing: 2,
            cause: Some(UnreadyCause::Majority),
            ..base
        },
        Case {
            name: "most zones confirmed, and needed",
            confirmed: 2,
            own: (1000, 900),
            cause: Some(UnreadyCause::Partition),
            ..base
        },
        Case {
            name: "most zones confirmed, not needed",
            confirmed: 2,
            reported: (1000, 1000),
            ..base
        },
        Case { name: "fewer zones confirmed", confirmed: 1, own: (1000, 900), ..base },
        Case {
            name: "without demand of its own",
            confirmed: 2,
            own: (50, 0),
            reported: (1000, 900),
            cause: Some(UnreadyCause::Partition),
            ..base
        },
        Case {
            name: "without demand of its own, in a zone with copies",
            confirmed: 2,
            own: (0, 0),
            reported: (1000, 0),
            ..base
        },
        Case { name: "without any demand", confirmed: 2, own: (0, 0), ..base },
        base,
    ];
    for case in cases {
        let mut book = ReportBook::default();
        for index in 0..case.failing {
            let failing = ZoneMessage { fails_alone: true, ..message(1, Vec::new()) };
            book.receive(reporter(index), &failing, ms(1000));
        }
        let (total, lost) = case.reported;
        let demand = RequestDemand { total, lost };
        let reporting = ZoneMessage { demand, ..message(1, vec![report(Finding::Unreachable, 0)]) };
        book.receive(reporter(100), &reporting, ms(1000));
        let view = ZoneView {
            live: case.live,
            zones: 3,
            confirmed: case.confirmed,
            fails_alone: case.fails_alone,
            demand: RequestDemand { total: case.own.0, lost: case.own.1 },
        };
        assert_eq!(readiness::unready_cause(&view, &book, ms(1100)), case.cause, "{}", case.name);
    }
}

/// Guards against callers that return to all hosts of a zone at the same moment, and against a
/// short false suspicion that a delay makes long enough for the balancer to act.
#[test]
fn hosts_return_after_random_delays() {
    let mut returned = BTreeSet::new();
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut gate = ReturnGate::default();
        assert!(gate.update(true, ms(0), &mut rng));
        assert!(!gate.update(false, ms(900), &mut rng), "after a short suspicion");
        assert!(gate.update(true, ms(1000), &mut rng));
        let mut now = 3000;
        while gate.update(false, ms(now), &mut rng) {
            now += 10;
        }
        assert!(now <= 4010);
        returned.insert((now - 3000) / 100);
    }
    assert!(returned.len() >= 8, "{returned:?}");
}

/// Guards against a host that sends more the longer a partition lasts, and against hosts of a large
/// zone that never hear of a report.
#[test]
fn renewals_are_bounded_and_reach_the_whole_zone() {
    let own = reporter(0);
    let peers: Vec<SocketAddr> = (1..160).map(reporter).collect();
    let mut schedule = SendSchedule::default();
    let mut reached = BTreeSet::new();
    let mut sent = Vec::new();
    assert!(!schedule.take_due(&message(0, Vec::new()), ms(0)), "nothing to say");
    for now in (10..1500).step_by(10) {
        // The finding changes once, right after the first message.
        let finding = if now < 20 { Finding::Suspected } else { Finding::Unreachable };
        if schedule.take_due(&message(now, vec![report(finding, 0)]), ms(now)) {
            let receivers = schedule.receivers(peers.clone(), own);
            assert!(receivers.len() <= MAX_RECEIVERS);
            reached.extend(receivers);
            sent.push(now);
        }
    }
    assert_eq!(sent, [10, 60, 560, 1060]);
    assert_eq!(reached.len(), 159);
    assert!(schedule.take_due(&message(1500, Vec::new()), ms(1500)), "the end is sent");
    assert!(!schedule.take_due(&message(2500, Vec::new()), ms(2500)), "and not renewed");
}

/// Guards against messages that are longer than the cost in docs/design/partitions.md assumes.
#[test]
fn messages_are_as_short_as_the_page_says() {
    struct Case {
        zones: u32,
        bytes: usize,
    }
    for Case { zones, bytes } in [Case { zones: 1, bytes: 39 }, Case { zones: 12, bytes: 303 }] {
        let reports = (0..zones).map(|index| Report {
            subject: ReportSubject::Zone(format!("zone-{index:05}")),
            unanswered: 200,
            ..report(Finding::Unreachable, 60_000)
        });
        let demand = RequestDemand { total: 100_000, lost: 90_000 };
        let reports = reports.collect();
        let sequence = 1 << 40;
        let message = ZoneMessage { sequence, fails_alone: true, demand, reports };
        let message = postcard::to_allocvec(&message).expect("a message is encoded");
        let payload = payload::wrap(PayloadKind::ZoneReports, message);
        assert!(payload.len() <= bytes, "{zones}: {}", payload.len());
    }
}
