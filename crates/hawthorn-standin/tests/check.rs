//! The checker reports every planted violation, and none in a valid history.

mod support;

use std::sync::Arc;
use std::time::Duration;

use hawthorn_standin::Corpus;
use hawthorn_standin::check;
use hawthorn_standin::check::ViolationKind;
use hawthorn_standin::corpus::CorpusOptions;
use hawthorn_standin::history::HistoryEvent;
use hawthorn_standin::history::HistoryRecord;
use hawthorn_standin::history::SentOnce;
use hawthorn_standin::history::SentQuery;
use hawthorn_standin::history::TargetWork;
use hawthorn_standin::history::WorkKind;
use hawthorn_standin::history::WorkPhase;
use hawthorn_types::AnswerCoverage;
use hawthorn_types::CallerAnswer;
use hawthorn_types::CallerOutcome;
use hawthorn_types::ConfigRevision;
use hawthorn_types::ConfigStamp;
use hawthorn_types::IndexVersion;
use hawthorn_types::KEY_SPACE;
use hawthorn_types::KeyRange;
use hawthorn_types::MissingRange;
use hawthorn_types::MissingReason;
use hawthorn_types::OnceRequest;
use hawthorn_types::RangeSet;
use hawthorn_types::RefusalReason;
use hawthorn_types::SearchQuery;
use hawthorn_types::UnknownReason;
use hawthorn_types::UrgencyClass;
use strum::IntoEnumIterator;
use support::SERVICE;
use support::TestResult;

const TEXT: &str = "mv-uhuru";
const LIMIT: u32 = 5;

fn corpus() -> Arc<Corpus> {
    Arc::new(Corpus::generate(SERVICE, &CorpusOptions::default()))
}

fn query_sent(send: u64) -> HistoryEvent {
    HistoryEvent::QuerySent(SentQuery {
        send,
        front: "entry-1".to_owned(),
        query: SearchQuery {
            caller: "bunker-desk".to_owned(),
            service: SERVICE.to_owned(),
            text: TEXT.to_owned(),
            range: None,
            limit: LIMIT,
            deadline_ms: 1_000,
            urgency: UrgencyClass::Urgent,
            request_id: Some(format!("q-{send}")),
        },
    })
}

/// The correct answer to [`query_sent`], with the upper half of the keys missing.
fn half_answer(send: u64) -> CallerAnswer {
    let half = KeyRange::new(0, KEY_SPACE / 2);
    let missing = KeyRange::new(KEY_SPACE / 2, KEY_SPACE);
    let found = corpus().search(IndexVersion(2), &RangeSet::from(half), TEXT, LIMIT as usize);
    CallerAnswer {
        request: format!("{send:032x}"),
        request_id: Some(format!("q-{send}")),
        outcome: CallerOutcome::Answer,
        retry_after_ms: None,
        index_version: Some(IndexVersion(2)),
        coverage: Some(AnswerCoverage {
            fraction: 0.5,
            covered: vec![half],
            missing: vec![MissingRange { range: missing, reason: MissingReason::Unreachable }],
        }),
        configuration: ConfigStamp { revision: ConfigRevision(3), age_ms: 0 },
        total: found.total,
        matches: found.matches,
        result: None,
        elapsed_ms: 1,
    }
}

fn answered(send: u64, change: impl FnOnce(&mut CallerAnswer)) -> HistoryEvent {
    let mut answer = half_answer(send);
    change(&mut answer);
    HistoryEvent::Answered { send, answer }
}

fn refusal(send: u64) -> CallerAnswer {
    let mut answer = half_answer(send);
    answer.outcome = CallerOutcome::NotRun(RefusalReason::NoConfiguration);
    answer.coverage = None;
    answer.index_version = None;
    answer.matches = Vec::new();
    answer.total = 0;
    answer
}

fn once_sent(send: u64, request_id: &str) -> HistoryEvent {
    HistoryEvent::OnceSent(SentOnce {
        send,
        front: "entry-1".to_owned(),
        request: OnceRequest {
            caller: "bunker-desk".to_owned(),
            service: SERVICE.to_owned(),
            key: 1,
            body: "confirm order 7".to_owned(),
            deadline_ms: 1_000,
            request_id: request_id.to_owned(),
        },
    })
}

fn once_answered(send: u64, request_id: &str, outcome: CallerOutcome) -> HistoryEvent {
    answered(send, |answer| {
        answer.request_id = Some(request_id.to_owned());
        answer.outcome = outcome;
        answer.coverage = None;
        answer.matches.clear();
    })
}

fn run_phase(request: u64, request_id: &str, phase: WorkPhase) -> HistoryEvent {
    HistoryEvent::Work(TargetWork {
        target: "agent-desk-00".to_owned(),
        request: format!("{request:032x}"),
        attempt: 1,
        kind: WorkKind::Run {
            caller: "bunker-desk".to_owned(),
            caller_request: request_id.to_owned(),
        },
        phase,
    })
}

fn draining() -> HistoryEvent {
    HistoryEvent::TargetDraining { target: "agent-desk-00".to_owned() }
}

fn serving() -> HistoryEvent {
    HistoryEvent::TargetServing { target: "agent-desk-00".to_owned() }
}

fn config(revision: u64) -> HistoryEvent {
    HistoryEvent::ConfigSeen { daemon: "entry-1".to_owned(), revision: ConfigRevision(revision) }
}

fn stop_started() -> HistoryEvent {
    HistoryEvent::StopStarted { daemon: "entry-1".to_owned() }
}

const NOT_RUN: CallerOutcome = CallerOutcome::NotRun(RefusalReason::QueueFull);
const LOST: CallerOutcome = CallerOutcome::Unknown(UnknownReason::ConnectionLost);

struct HistoryCase {
    name: &'static str,
    /// Events, one per second.
    events: Vec<HistoryEvent>,
    violations: Vec<ViolationKind>,
}

fn records(events: Vec<HistoryEvent>) -> Vec<HistoryRecord> {
    (0_u64..)
        .zip(events)
        .map(|(second, event)| HistoryRecord { at: Duration::from_secs(second), event })
        .collect()
}

fn check_all(cases: Vec<HistoryCase>) -> Vec<ViolationKind> {
    let options = check::Options { corpora: vec![corpus()], ..check::Options::default() };
    let mut planted = Vec::new();
    for case in cases {
        let found = check::check(&records(case.events), &options);
        let found: Vec<ViolationKind> = found.iter().map(|violation| violation.kind).collect();
        assert_eq!(found, case.violations, "{}", case.name);
        planted.extend(found);
    }
    planted
}

#[test]
fn valid_histories_have_no_violations() -> TestResult {
    let mut later = vec![draining()];
    later.extend(std::iter::repeat_n(config(1), 9));
    later.push(serving());
    later.push(run_phase(1, "1-a", WorkPhase::Arrived));
    let cases = vec![
        HistoryCase {
            name: "a partial answer with correct coverage",
            events: vec![query_sent(1), answered(1, |_| {})],
            violations: vec![],
        },
        HistoryCase {
            name: "not run, resent, run once",
            events: vec![
                once_sent(1, "1-a"),
                once_answered(1, "1-a", NOT_RUN),
                once_sent(2, "1-a"),
                run_phase(2, "1-a", WorkPhase::Started),
                once_answered(2, "1-a", CallerOutcome::Answer),
            ],
            violations: vec![],
        },
        HistoryCase {
            name: "run once, answer lost, outcome unknown",
            events: vec![
                once_sent(1, "1-a"),
                run_phase(1, "1-a", WorkPhase::Started),
                HistoryEvent::ConnectionLost { send: 1 },
                once_sent(2, "1-a"),
                once_answered(2, "1-a", LOST),
            ],
            violations: vec![],
        },
        HistoryCase {
            name: "an attempt within the grace period of a drain",
            events: vec![draining(), run_phase(1, "1-a", WorkPhase::Arrived), config(1)],
            violations: vec![],
        },
        HistoryCase {
            name: "an attempt after the target serves again",
            events: later,
            violations: vec![],
        },
        HistoryCase {
            name: "a killed daemon aborts requests",
            events: vec![
                stop_started(),
                HistoryEvent::Started { daemon: "entry-1".to_owned() },
                query_sent(1),
                HistoryEvent::Killed { daemon: "entry-1".to_owned() },
                HistoryEvent::ConnectionLost { send: 1 },
            ],
            violations: vec![],
        },
        HistoryCase {
            name: "an answer overtaken by one of a newer configuration",
            events: vec![
                query_sent(1),
                query_sent(2),
                answered(2, |answer| answer.configuration.revision = ConfigRevision(4)),
                answered(1, |_| {}),
            ],
            violations: vec![],
        },
    ];
    assert_eq!(check_all(cases), []);
    Ok(())
}

/// Guards against a checker that misses a kind of violation: every kind has at least one
/// case.
#[test]
fn planted_violations_are_reported() -> TestResult {
    let mut planted = check_all(answer_cases());
    planted.extend(check_all(run_cases()));
    planted.extend(check_all(fleet_cases()));
    for kind in ViolationKind::iter() {
        assert!(planted.contains(&kind), "{kind} has no planted violation");
    }
    Ok(())
}

fn answer_case(
    name: &'static str,
    change: fn(&mut CallerAnswer),
    violations: Vec<ViolationKind>,
) -> HistoryCase {
    HistoryCase { name, events: vec![query_sent(1), answered(1, change)], violations }
}

fn answer_cases() -> Vec<HistoryCase> {
    let overstated = || vec![ViolationKind::OverstatedCoverage];
    vec![
        answer_case(
            "one document of another version",
            |answer| {
                answer.matches[0].text = answer.matches[0].text.replace("edition-2", "edition-1")
            },
            vec![ViolationKind::MixedVersions, ViolationKind::OverstatedCoverage],
        ),
        answer_case(
            "no version stated",
            |answer| answer.index_version = None,
            vec![ViolationKind::MixedVersions],
        ),
        answer_case(
            "a missing shard claimed as covered",
            |answer| {
                let coverage = AnswerCoverage {
                    fraction: 1.0,
                    covered: vec![KeyRange::FULL],
                    missing: vec![],
                };
                answer.coverage = Some(coverage);
            },
            overstated(),
        ),
        answer_case(
            "a gap that is neither covered nor missing",
            |answer| {
                answer.coverage.iter_mut().for_each(|coverage| coverage.missing.clear());
            },
            overstated(),
        ),
        answer_case(
            "a fraction of one with a range missing",
            |answer| answer.coverage.iter_mut().for_each(|coverage| coverage.fraction = 1.0),
            overstated(),
        ),
        answer_case("no coverage stated", |answer| answer.coverage = None, overstated()),
        answer_case("a missing match", |answer| drop(answer.matches.remove(1)), overstated()),
        answer_case(
            "a duplicate match",
            |answer| answer.matches[1] = answer.matches[0].clone(),
            overstated(),
        ),
        answer_case("a total too small", |answer| answer.total -= 1, overstated()),
        answer_case(
            "another request's id",
            |answer| answer.request_id = Some("q-2".to_owned()),
            vec![ViolationKind::MismatchedAnswer],
        ),
        answer_case(
            "documents that do not match the query",
            |answer| {
                let half = RangeSet::from(KeyRange::new(0, KEY_SPACE / 2));
                let other = corpus().search(IndexVersion(2), &half, "mv-pemba", LIMIT as usize);
                answer.matches = other.matches;
            },
            vec![ViolationKind::MismatchedAnswer, ViolationKind::OverstatedCoverage],
        ),
    ]
}

fn run_cases() -> Vec<HistoryCase> {
    vec![
        HistoryCase {
            name: "a request run twice",
            events: vec![
                once_sent(1, "1-a"),
                run_phase(1, "1-a", WorkPhase::Started),
                HistoryEvent::ConnectionLost { send: 1 },
                once_sent(2, "1-a"),
                run_phase(2, "1-a", WorkPhase::Started),
            ],
            violations: vec![ViolationKind::DuplicateRun],
        },
        HistoryCase {
            name: "answered as not run after it ran",
            events: vec![
                once_sent(1, "1-a"),
                run_phase(1, "1-a", WorkPhase::Started),
                once_answered(1, "1-a", NOT_RUN),
            ],
            violations: vec![ViolationKind::FalseNotRun],
        },
        HistoryCase {
            name: "answered as not run before it runs",
            events: vec![
                once_sent(1, "1-a"),
                once_answered(1, "1-a", NOT_RUN),
                run_phase(1, "1-a", WorkPhase::Started),
            ],
            violations: vec![ViolationKind::FalseNotRun],
        },
        HistoryCase {
            name: "a second send answered as not run after the first ran",
            events: vec![
                once_sent(1, "1-a"),
                run_phase(1, "1-a", WorkPhase::Started),
                HistoryEvent::ConnectionLost { send: 1 },
                once_sent(2, "1-a"),
                once_answered(2, "1-a", NOT_RUN),
            ],
            violations: vec![ViolationKind::FalseNotRun],
        },
    ]
}

fn fleet_cases() -> Vec<HistoryCase> {
    let mut late = vec![draining()];
    late.extend(std::iter::repeat_n(config(1), 6));
    late.push(run_phase(1, "1-a", WorkPhase::Arrived));
    vec![
        HistoryCase {
            name: "a daemon reverts to an older configuration",
            events: vec![config(2), config(1)],
            violations: vec![ViolationKind::ConfigReverted],
        },
        HistoryCase {
            name: "an answer with an older configuration than at the time of its request",
            events: vec![config(4), query_sent(1), answered(1, |_| {})],
            violations: vec![ViolationKind::ConfigReverted],
        },
        HistoryCase {
            name: "an answer without configuration",
            events: vec![
                config(4),
                query_sent(1),
                answered(1, |answer| answer.configuration.revision = ConfigRevision(0)),
            ],
            violations: vec![ViolationKind::ConfigReverted],
        },
        HistoryCase {
            name: "a refusal by a restarted host without configuration",
            events: vec![
                config(4),
                query_sent(1),
                answered(1, |answer| {
                    *answer = refusal(1);
                    answer.configuration.revision = ConfigRevision(0);
                }),
            ],
            violations: vec![],
        },
        HistoryCase {
            name: "an attempt seven seconds after the start of a drain",
            events: late,
            violations: vec![ViolationKind::WorkToDraining],
        },
        HistoryCase {
            name: "a planned stop aborts a request",
            events: vec![query_sent(1), stop_started(), HistoryEvent::ConnectionLost { send: 1 }],
            violations: vec![ViolationKind::RequestAborted],
        },
    ]
}
