//! The JSON format of an answer is part of the API for callers.

use std::error::Error;

use hawthorn_types::CallerAnswer;
use hawthorn_types::CallerOutcome;
use hawthorn_types::ConfigRevision;
use hawthorn_types::ConfigStamp;
use hawthorn_types::RefusalReason;

#[test]
fn refusal_serializes_as_outcome_and_reason() -> Result<(), Box<dyn Error>> {
    let answer = CallerAnswer {
        request: "0".repeat(32),
        request_id: Some("r-1".into()),
        outcome: CallerOutcome::NotRun(RefusalReason::QueueFull),
        retry_after_ms: Some(40),
        index_version: None,
        coverage: None,
        configuration: ConfigStamp { revision: ConfigRevision(7), age_ms: 12 },
        total: 0,
        matches: Vec::new(),
        result: None,
        elapsed_ms: 1,
    };
    insta::assert_snapshot!(serde_json::to_string(&answer)?, @r#"{"request":"00000000000000000000000000000000","request_id":"r-1","outcome":"not-run","reason":"queue-full","retry_after_ms":40,"configuration":{"revision":7,"age_ms":12},"total":0,"matches":[],"elapsed_ms":1}"#);
    assert_eq!(serde_json::from_str::<CallerAnswer>(&serde_json::to_string(&answer)?)?, answer);
    Ok(())
}
