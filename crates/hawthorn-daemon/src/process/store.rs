//! The store worker: the only thread that reads the configuration and the list of hosts from the
//! platform's store.

use std::time::Duration;

use hawthorn_store::ReadError;
use hawthorn_store::Store;
use hawthorn_store::StoreClient;
use hawthorn_store::client::WatchOutcome;
use hawthorn_types::platform::StoreEntry;
use log::Level;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::process::events::LogEvent;
use crate::process::fleet::FleetCommand;
use crate::process::fleet::StoreCall;
use crate::process::fleet::StoreReply;

/// Key of the configuration in force.
pub const CONFIG_KEY: &str = "config/current";

/// Interval between reads of the platform's list of hosts in a small fleet.
const HOSTS_INTERVAL: Duration = Duration::from_secs(5);

/// Number of members per interval. Larger fleets read less often, so that all hosts together make
/// at most 13 reads per second of the two thousand that the store can serve: the list is only a
/// hint.
const MEMBERS_PER_INTERVAL: u32 = 64;

/// Runs until cancelled.
pub(crate) async fn run(
    client: StoreClient,
    mut calls: mpsc::Receiver<StoreCall>,
    fleet: mpsc::Sender<FleetCommand>,
    members: watch::Receiver<usize>,
    stop: CancellationToken,
) {
    let mut reader = ConfigReader { client: client.clone(), last_revision: 0, reachable: true };
    let hosts = read_hosts(client, fleet.clone(), members);
    tokio::pin!(hosts);
    let answer = async {
        while let Some(call) = calls.recv().await {
            let reply = reader.answer(call).await;
            if fleet.send(FleetCommand::StoreAnswered(reply)).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = hosts => {}
        () = answer => {}
    }
}

struct ConfigReader {
    client: StoreClient,
    /// The store's revision of the key at the last read.
    last_revision: u64,
    reachable: bool,
}

impl ConfigReader {
    async fn answer(&mut self, call: StoreCall) -> StoreReply {
        let reply = match call {
            StoreCall::Read => self.client.get(CONFIG_KEY).await.map(|entry| match entry {
                Some(entry) => self.record_entry(entry),
                None => StoreReply::Empty,
            }),
            StoreCall::Watch { wait } => {
                let watched = self.client.watch(CONFIG_KEY, self.last_revision, wait).await;
                watched.map(|outcome| match outcome {
                    WatchOutcome::Changed(entry) => self.record_entry(entry),
                    WatchOutcome::Unchanged => StoreReply::Unchanged,
                })
            }
        };
        self.log_reachability(&reply);
        reply.unwrap_or(StoreReply::Failed)
    }

    fn record_entry(&mut self, entry: StoreEntry) -> StoreReply {
        self.last_revision = entry.revision;
        StoreReply::Document(entry.value)
    }

    fn log_reachability(&mut self, reply: &Result<StoreReply, ReadError>) {
        let reachable = reply.is_ok();
        if std::mem::replace(&mut self.reachable, reachable) == reachable {
            return;
        }
        match reply {
            Ok(_) => crate::log_event!(Level::Info, LogEvent::StoreReachable, "answers again"),
            Err(error) => crate::log_event!(Level::Warn, LogEvent::StoreUnreachable, "{error}"),
        }
    }
}

async fn read_hosts(
    client: StoreClient,
    fleet: mpsc::Sender<FleetCommand>,
    members: watch::Receiver<usize>,
) {
    loop {
        if let Ok(hosts) = client.hosts().await
            && fleet.send(FleetCommand::PlatformHosts(hosts)).await.is_err()
        {
            return;
        }
        let members = u32::try_from(*members.borrow()).unwrap_or(u32::MAX);
        tokio::time::sleep(HOSTS_INTERVAL * members.div_ceil(MEMBERS_PER_INTERVAL).max(1)).await;
    }
}
