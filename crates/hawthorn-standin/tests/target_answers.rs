//! A target's answers: right ones, ones that go wrong as told, ones that change
//! while a search runs.

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
    let asked = support::search(7);
    assert_eq!((answer.request, answer.attempt), (asked.request, asked.attempt));
    assert_eq!((answer.shard, answer.version), (asked.shard, asked.version));
    let whole = RangeSet::from(KeyRange::FULL);
    let truth = support::corpus().search(IndexVersion(1), &whole, "", 10);
    assert_eq!(answer.searched, whole);
    assert_eq!((answer.total, answer.matches), (truth.total, truth.matches));
    Ok(())
}

struct AnswerCase {
    name: &'static str,
    fault: fn(&mut TargetFaults),
    wrong: fn(Fallible<support::Reply>) -> bool,
}

/// A caller is given another caller's order, or waits for an answer that never
/// comes: the target crossed, garbled, blew up or lost one answer. The next one
/// must be right again, since each fault is for a number of answers.
#[tokio::test]
async fn answers_go_wrong_once_as_told() -> TestResult {
    let cases = [
        AnswerCase {
            name: "crossed",
            fault: |faults| faults.mismatched_answers = 1,
            wrong: |reply| {
                let answer = reply.and_then(|reply| reply.json::<ShardAnswer>());
                answer.is_ok_and(|answer| answer.attempt != 1)
            },
        },
        AnswerCase {
            name: "garbled",
            fault: |faults| faults.malformed_answers = 1,
            wrong: |reply| reply.is_ok_and(|reply| reply.json::<ShardAnswer>().is_err()),
        },
        AnswerCase {
            name: "oversized",
            fault: |faults| {
                faults.oversized_answers = 1;
                faults.oversized_bytes = 1 << 20;
            },
            wrong: |reply| reply.is_ok_and(|reply| reply.body.len() > 1 << 20),
        },
        AnswerCase {
            name: "lost",
            fault: |faults| faults.lost_answers = 1,
            wrong: |reply| reply.is_err(),
        },
    ];
    for case in cases {
        let target = TargetStandin::start(support::options()).await?;
        target.control().set_faults(case.fault);
        let reply = support::post(target.address(), "/search", &support::search(1)).await;
        assert!((case.wrong)(reply), "{}", case.name);
        let reply = support::post(target.address(), "/search", &support::search(2)).await?;
        assert_eq!(reply.json::<ShardAnswer>()?.attempt, 2, "{}", case.name);
        assert_eq!(target.control().counters().searches, 2, "{}", case.name);
    }
    Ok(())
}

/// An order is confirmed twice: the target ran it, the answer was lost, and it
/// was sent again. The stand-in must run it although nobody hears of it.
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

/// Half the answers to a search are missing although every target answered: the
/// shard was split while the search ran. The target must say what it searched.
#[tokio::test]
async fn repartition_during_a_search_shows_in_the_answer() -> TestResult {
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

    let mut rest = support::search(2);
    rest.range = upper;
    let moved = support::post(address, "/search", &rest).await?.json::<RefusedAttempt>()?;
    assert_eq!(moved.refusal, TargetRefusal::RangeMoved);
    let found = support::post(new.address(), "/search", &rest).await?.json::<ShardAnswer>()?;
    assert_eq!(found.searched, RangeSet::from(upper));
    let whole = support::corpus().search(IndexVersion(1), &RangeSet::from(KeyRange::FULL), "", 0);
    assert_eq!(answer.total + found.total, whole.total);
    Ok(())
}

/// A replica is lost in the middle of a search and comes back at its address:
/// its caller sees a closed connection, never a refusal.
#[tokio::test]
async fn a_lost_target_closes_connections_and_comes_back() -> TestResult {
    let target = TargetStandin::start(support::options()).await?;
    target.control().set_paused(true);
    let running = tokio::spawn(support::open_search(target.address(), 1));
    support::until(|| target.control().counters().busy == 1).await?;
    target.control().set_down(true);
    assert_eq!(running.await?, 0);
    assert_eq!(support::open_search(target.address(), 2).await, 0);
    target.control().set_down(false);
    target.control().set_paused(false);
    assert_eq!(support::open_search(target.address(), 3).await, 200);
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
