//! The life of one query, told as stories of what goes wrong on its way.

mod support;

use std::error::Error;

use hawthorn_plan::RetryBudget;
use hawthorn_plan::track;

use support::all_found;
use support::context;
use support::even_table;
use support::finished;
use support::ms;
use support::query;
use support::sends;
use support::waiting;

type TestResult = Result<(), Box<dyn Error>>;

#[test]
fn a_query_is_whole_when_every_owner_answers() -> TestResult {
    let table = even_table(6, 1, &[support::OLD]);
    let mut budget = RetryBudget::default();
    let mut at = context(ms(0), &table, &mut budget);
    let (track, actions) =
        waiting(track::start(query(ms(50)), &mut at, track::Options::default()))?;
    let sends = sends(&actions);
    assert_eq!(sends.len(), 1);
    let event = track::Event::BatchAnswered {
        batch: sends[0].batch,
        host: sends[0].host,
        pieces: all_found(&sends[0]),
    };
    let (answer, _) = finished(track.step(event, &mut context(ms(4), &table, &mut budget)))?;
    assert_eq!(answer.coverage.fraction, 1.0);
    assert_eq!(answer.version, Some(support::OLD));
    assert_eq!(answer.total, 6);
    Ok(())
}
