//! Names of the headers that the users' platform exchanges with callers and targets, in
//! lower case.

/// Identifies one attempt of a caller.
pub const ATTEMPT_ID: &str = "hawthornroute-attempt-id";
/// The caller's key.
pub const KEY: &str = "hawthornroute-credential";
/// Remaining milliseconds that the sender of the request waits for its answer.
pub const TIME_LEFT: &str = "hawthornroute-deadline-ms";
/// The target's signature of its answer.
pub const RECEIPT: &str = "hawthornroute-response-stamp";
/// The targets' signatures of the parts of a merged answer.
pub const PART_RECEIPTS: &str = "hawthornroute-part-stamps";
/// Number of parts that a merged answer lacks.
pub const MISSING_PARTS: &str = "hawthornroute-missing-parts";
/// The id of the target that the request is meant for.
pub const EXPECTED_TARGET: &str = "hawthornroute-expected-instance";
/// The id of the target that received the request.
pub const TARGET_ID: &str = "hawthornroute-instance-id";
/// Set when the target did not run the request.
pub const NOT_RUN: &str = "hawthornroute-not-executed";
/// Running requests, waiting requests and slots of the target.
pub const LOAD: &str = "hawthornroute-server-load";
/// Remaining milliseconds for which the target stays cold.
pub const COLD: &str = "hawthornroute-cold-ms";
/// Name of the customer that holds the caller's key.
pub const CUSTOMER: &str = "hawthornroute-tenant";
