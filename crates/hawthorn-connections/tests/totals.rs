//! The sums that a budget keeps, over arbitrary sequences of what connections do.

use std::time::Duration;

use hawthorn_connections::budget::ConnectionBudget;
use hawthorn_connections::budget::ConnectionKey;
use hawthorn_connections::budget::Full;
use hawthorn_connections::budget::Grant;
use hawthorn_connections::budget::Options;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;

const MAX_CONNECTIONS: usize = 6;
const MAX_BYTES: usize = 50_000;

#[derive(Clone, Copy, Debug)]
enum Step {
    Wait(u64),
    Open,
    Read(usize, usize),
    Complete(usize),
    Discard(usize),
    Hold(usize, usize),
    Sent(usize, usize),
    Flushed(usize),
    Answered(usize),
    Relieve,
    Close(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let index = 0..MAX_CONNECTIONS;
    let bytes = 0_usize..20_000;
    prop_oneof![
        (0_u64..600).prop_map(Step::Wait),
        proptest::strategy::Just(Step::Open),
        (index.clone(), bytes.clone()).prop_map(|(index, bytes)| Step::Read(index, bytes)),
        index.clone().prop_map(Step::Complete),
        index.clone().prop_map(Step::Discard),
        (index.clone(), bytes.clone()).prop_map(|(index, bytes)| Step::Hold(index, bytes)),
        (index.clone(), bytes).prop_map(|(index, bytes)| Step::Sent(index, bytes)),
        index.clone().prop_map(Step::Flushed),
        index.clone().prop_map(Step::Answered),
        proptest::strategy::Just(Step::Relieve),
        index.prop_map(Step::Close),
    ]
}

/// Plays a step; returns the connection that is closed to make room.
fn play(
    budget: &mut ConnectionBudget,
    open: &mut Vec<ConnectionKey>,
    now: &mut Duration,
    step: Step,
) -> Option<ConnectionKey> {
    let key = |index: usize| open.get(index).copied().unwrap_or_default();
    match step {
        Step::Wait(millis) => *now += Duration::from_millis(millis),
        Step::Open => match budget.open(*now) {
            Ok(key) => open.push(key),
            Err(Full::Evict(victim)) => return Some(victim),
            Err(Full::Wait) => {}
        },
        Step::Read(index, bytes) => match budget.grant(key(index), *now, bytes) {
            Grant::Bytes(granted) => budget.received(key(index), *now, granted.min(bytes)),
            Grant::Later(victim) => return victim,
            Grant::Refused => return Some(key(index)),
        },
        Step::Complete(index) => {
            let _kept = budget.complete(key(index));
        }
        Step::Discard(index) => budget.discard(key(index)),
        Step::Hold(index, bytes) => budget.hold(key(index), *now, bytes),
        Step::Sent(index, bytes) => budget.sent(key(index), *now, bytes),
        Step::Flushed(index) => budget.flushed(key(index)),
        Step::Answered(index) => budget.answered(key(index), *now),
        Step::Relieve => return budget.relieve(*now),
        Step::Close(index) => return open.get(index).copied(),
    }
    None
}

proptest! {
    /// Guards against memory that stays reserved, or is released twice, however connections end.
    #[test]
    fn what_connections_hold_adds_up(steps in proptest::collection::vec(step(), 1..200)) {
        let options = Options {
            max_connections: MAX_CONNECTIONS,
            max_bytes: MAX_BYTES,
            ..Options::default()
        };
        let mut budget = ConnectionBudget::new(options);
        let (mut open, mut now) = (Vec::new(), Duration::ZERO);
        for step in steps {
            if let Some(ended) = play(&mut budget, &mut open, &mut now, step) {
                budget.close(ended);
                open.retain(|key| *key != ended);
            }
            let held: usize = open.iter().map(|key| budget.held_by(*key)).sum();
            prop_assert_eq!(budget.held(), held);
            prop_assert_eq!(budget.count(), open.len());
            prop_assert!(open.len() <= MAX_CONNECTIONS);
        }
        for key in open.drain(..) {
            budget.close(key);
        }
        prop_assert_eq!(budget.held(), 0);
        // Nothing counts as being closed any longer.
        for _ in 0..MAX_CONNECTIONS {
            prop_assert!(budget.open(now).is_ok());
        }
    }
}
