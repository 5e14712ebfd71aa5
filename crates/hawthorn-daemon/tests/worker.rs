//! Worker threads that end.

use std::future;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use hawthorn_daemon::process::worker;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Longer than a thread needs to start and end.
const END_TIME: Duration = Duration::from_millis(500);

/// Guards against a process that serves on without a worker that has panicked.
#[tokio::test]
async fn a_process_stops_with_its_worker() {
    struct Case {
        name: &'static str,
        worker: BoxFuture<'static, ()>,
        stops: bool,
    }
    let cases = [
        Case { name: "returns", worker: future::ready(()).boxed(), stops: true },
        Case { name: "panics", worker: async { panic!("a bug") }.boxed(), stops: true },
        Case { name: "runs", worker: future::pending().boxed(), stops: false },
    ];
    for Case { name, worker, stops } in cases {
        let stop = CancellationToken::new();
        worker::spawn(name, &stop, worker).expect("a thread can be started");
        assert_eq!(timeout(END_TIME, stop.cancelled()).await.is_ok(), stops, "{name}");
    }
}
