//! Answers of a target: correct ones, injected faults, and changes during a search.

mod support;

use hawthorn_standin::TargetOptions;
use hawthorn_standin::TargetStandin;
use hawthorn_standin::target::TargetFaults;
use hawthorn_types::IndexVersion;
use hawthorn_types::KEY_SPACE;
use hawthorn_types::KeyRange;
use hawthorn_types::RangeSet;
use hawthorn_types::target::RefusedAttempt;
use hawthorn_types::target::RunAnswer;
use hawthorn_types::target::ShardAnswer;
use hawthorn_types::target::TargetRefusal;
use support::Fallible;
use support::SERVICE;
use support::TestResult;

#[tokio::test]
async fn a_search_is_echoed_and_complete() -> TestResult {
    let target = TargetStandin::start(support::options()).await?;
    let reply = support::post(target.address(), "/search", &support::search(7)).await?;
    assert_eq!(reply.status, 200);
    let answer: ShardAnswer = reply.json()?;
    let request = support::search(7);
    assert_eq!((answer.request, answer.attempt), (request.request, request.attempt));
    assert_eq!((answer.shard, answer.version), (request.shard, request.version));
    let all_keys = RangeSet::from(KeyRange::FULL);
    let expected = support::corpus().search(IndexVersion(1), &all_keys, "", 10);
    assert_eq!(answer.searched, all_keys);
    assert_eq!((answer.total, answer.matches), (expected.total, expected.matches));
    Ok(())
}

struct AnswerCase {
    name: &'static str,
    fault: fn(&mut TargetFaults),
    is_faulty: fn(Fallible<support::Reply>) -> bool,
}

/// A fault affects the given number of answers, here one: the answer is mismatched,
/// malformed, oversized or lost, and the next one is correct.
#[tokio::test]
async fn each_answer_fault_affects_one_answer() -> TestResult {
    let cases = [
        AnswerCase {
            name: "mismatched",
            fault: |faults| faults.mismatched_answers = 1,
            is_faulty: |reply| {
                let answer = reply.and_then(|reply| reply.json::<ShardAnswer>());
                answer.is_ok_and(|answer| answer.attempt != 1)
            },
        },
        AnswerCase {
            name: "malformed",
            fault: |faults| faults.malformed_answers = 1,
            is_faulty: |reply| reply.is_ok_and(|reply| reply.json::<ShardAnswer>().is_err()),
        },
        AnswerCase {
            name: "oversized",
            fault: |faults| {
                faults.oversized_answers = 1;
                faults.oversized_bytes = 1 << 20;
            },
            is_faulty: |reply| reply.is_ok_and(|reply| reply.body.len() > 1 << 20),
        },
        AnswerCase {
            name: "lost",
            fault: |faults| faults.lost_answers = 1,
            is_faulty: |reply| reply.is_err(),
        },
    ];
    for case in cases {
        let target = TargetStandin::start(support::options()).await?;
        target.control().set_faults(case.fault);
        let reply = support::post(target.address(), "/search", &support::search(1)).await;
        assert!((case.is_faulty)(reply), "{}", case.name);
        let reply = support::post(target.address(), "/search", &support::search(2)).await?;
        assert_eq!(reply.json::<ShardAnswer>()?.attempt, 2, "{}", case.name);
        assert_eq!(target.control().counters().searches, 2, "{}", case.name);
    }
    Ok(())
}

/// Simulates the cause of duplicate runs: the answer to a request is lost and the request
/// is resent. The stand-in must run it although its answer is lost.
#[tokio::test]
async fn runs_can_fail_or_lose_their_answer_after_running() -> TestResult {
    let target = TargetStandin::start(support::options()).await?;
    target.control().set_faults(|faults| faults.lost_answers = 1);
    assert!(support::post(target.address(), "/run", &support::run(1)).await.is_err());
    assert_eq!(target.control().counters().runs, 1);
    target.control().set_faults(|faults| faults.failed_runs = 1);
    let failed = support::post(target.address(), "/run", &support::run(2)).await?;
    assert_eq!(failed.status, 500);
    let done = support::post(target.address(), "/run", &support::run(3)).await?;
    assert_eq!(done.status, 200);
    assert_eq!(done.json::<RunAnswer>()?.result, "done: confirm order 7");
    Ok(())
}

/// Guards against undetected partial answers when a shard is split during a search: the
/// target must report the ranges that it searched.
#[tokio::test]
async fn repartition_during_a_search_is_reported_in_the_answer() -> TestResult {
    let old = TargetStandin::start(support::options()).await?;
    old.control().set_paused(true);
    let new =
        TargetStandin::start(TargetOptions { held: Vec::new(), ..support::options() }).await?;
    let address = old.address();
    let sent = tokio::spawn(async move {
        let reply = support::post(address, "/search", &support::search(1)).await;
        reply.and_then(|reply| reply.json::<ShardAnswer>()).ok()
    });
    support::until(|| old.control().counters().busy == 1).await?;
    let upper = KeyRange::new(KEY_SPACE / 2, KEY_SPACE);
    old.control().repartition(SERVICE, upper, new.control());
    old.control().set_paused(false);
    let answer = sent.await?.ok_or("the search was not answered")?;
    assert_eq!(answer.searched, RangeSet::from(KeyRange::new(0, KEY_SPACE / 2)));

    let mut upper_search = support::search(2);
    upper_search.range = upper;
    let moved = support::post(address, "/search", &upper_search).await?.json::<RefusedAttempt>()?;
    assert_eq!(moved.refusal, TargetRefusal::RangeMoved);
    let found =
        support::post(new.address(), "/search", &upper_search).await?.json::<ShardAnswer>()?;
    assert_eq!(found.searched, RangeSet::from(upper));
    let all = support::corpus().search(IndexVersion(1), &RangeSet::from(KeyRange::FULL), "", 0);
    assert_eq!(answer.total + found.total, all.total);
    Ok(())
}

/// A replica that goes down during a search and returns at the same address: its caller
/// sees a closed connection, never a refusal.
#[tokio::test]
async fn a_target_that_is_down_closes_connections_until_it_returns() -> TestResult {
    let target = TargetStandin::start(support::options()).await?;
    target.control().set_paused(true);
    let running = tokio::spawn(support::search_status(target.address(), 1));
    support::until(|| target.control().counters().busy == 1).await?;
    target.control().set_down(true);
    assert_eq!(running.await?, 0);
    assert_eq!(support::search_status(target.address(), 2).await, 0);
    target.control().set_down(false);
    target.control().set_paused(false);
    assert_eq!(support::search_status(target.address(), 3).await, 200);
    Ok(())
}

#[tokio::test]
async fn versions_are_published_and_retired() -> TestResult {
    let target = TargetStandin::start(support::options()).await?;
    target.control().publish_next(SERVICE, IndexVersion(2));
    let mut search = support::search(1);
    search.version = IndexVersion(2);
    let answer = support::post(target.address(), "/search", &search).await?;
    assert_eq!(answer.json::<ShardAnswer>()?.version, IndexVersion(2));
    target.control().retire(SERVICE, IndexVersion(1));
    let refused = support::post(target.address(), "/search", &support::search(2)).await?;
    assert_eq!(refused.json::<RefusedAttempt>()?.versions, [IndexVersion(2)]);
    Ok(())
}
