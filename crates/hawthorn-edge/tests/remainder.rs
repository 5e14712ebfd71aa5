//! Queries that are held for requests of their remainder.

use hawthorn_edge::connection::message::GatherReply;
use hawthorn_edge::request::remainder::RemainderRequest;
use hawthorn_edge::request::remainder::RemainderTable;
use tokio::sync::oneshot;

/// Guards against parts of another query: a request for a remainder that arrives after a restart of
/// the host names a query of the earlier process.
#[tokio::test]
async fn a_token_of_an_earlier_process_names_no_query() {
    for _ in 0..100 {
        let earlier = RemainderTable::default().hold().token;
        let restarted = RemainderTable::default();
        let mut held = restarted.hold();
        let (reply, answer) = oneshot::channel::<GatherReply>();
        restarted.request(earlier, RemainderRequest { needed: 1, reply });
        assert!(held.requested.try_recv().is_err(), "the query of another process was requested");
        assert!(answer.await.is_err(), "the request is dropped");
    }
}
