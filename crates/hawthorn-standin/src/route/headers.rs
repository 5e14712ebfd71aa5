//! Names of the users' platform that callers and targets see in headers, in lower case.

/// Names one try of a caller.
pub const ATTEMPT_ID: &str = "hawthornroute-attempt-id";
/// Milliseconds that the caller, or whoever passes its request on, still waits.
pub const TIME_LEFT: &str = "hawthornroute-deadline-ms";
/// The signature of a target under its answer.
pub const RECEIPT: &str = "hawthornroute-response-stamp";
/// The signatures of the parts in a merged answer.
pub const PART_RECEIPTS: &str = "hawthornroute-part-stamps";
/// How many parts a merged answer lacks.
pub const MISSING_PARTS: &str = "hawthornroute-missing-parts";
/// The target that is meant.
pub const EXPECTED_TARGET: &str = "hawthornroute-expected-instance";
/// The target that has the address.
pub const TARGET_ID: &str = "hawthornroute-instance-id";
/// The target did not run the request.
pub const NOT_RUN: &str = "hawthornroute-not-executed";
/// Running, waiting and slots.
pub const LOAD: &str = "hawthornroute-server-load";
