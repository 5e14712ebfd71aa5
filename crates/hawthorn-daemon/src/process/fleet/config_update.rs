//! Fetches configuration documents and puts them into force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hawthorn_fleet::propagation;
use hawthorn_fleet::propagation::ConfigEdition;
use hawthorn_fleet::propagation::PropagationAction;
use hawthorn_fleet::propagation::PropagationAlarm;
use hawthorn_fleet::propagation::StoreAnswer;
use hawthorn_intent::document::ConfigDocument;
use hawthorn_types::ConfigRevision;
use hawthorn_types::HostKey;
use log::Level;

use super::FleetCommand;
use super::OfferSource;
use super::StoreCall;
use super::StoreReply;
use super::worker::FleetWorker;
use crate::connection::message::ConfigCopy;
use crate::connection::peer;
use crate::connection::peer::PeerLinks;
use crate::process::events::LogEvent;
use crate::version::config;
use crate::version::config::ConfigInForce;

/// Timeout of fetching a configuration document from a peer.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

impl FleetWorker {
    pub(super) fn handle_store_reply(&mut self, reply: StoreReply) {
        let now = self.now();
        match reply {
            StoreReply::Document(json) => self.offer(&json, OfferSource::Store),
            StoreReply::Unchanged => self.propagation.store_answered(now, StoreAnswer::Unchanged),
            StoreReply::Empty => self.propagation.store_answered(now, StoreAnswer::Empty),
            StoreReply::Failed => self.propagation.store_answered(now, StoreAnswer::Failed),
        }
    }

    /// Processes an offered document. A newer one is validated on another thread first, because
    /// parsing a megabyte takes longer than a heartbeat may be delayed.
    pub(super) fn offer(&mut self, json: &str, source: OfferSource) {
        let now = self.now();
        let document = match ConfigDocument::from_json(json) {
            Ok(document) => document,
            Err(error) => {
                crate::log_event!(Level::Error, LogEvent::ConfigBroken, "{error}");
                if matches!(source, OfferSource::Store) {
                    self.propagation.store_answered(now, StoreAnswer::Failed);
                }
                return;
            }
        };
        let edit = xxhash_rust::xxh3::xxh3_64(document.edit_id.as_bytes());
        let edition = ConfigEdition { revision: document.revision, edit };
        let in_force = self.propagation.in_force().unwrap_or_default().revision;
        if document.revision <= in_force {
            self.adopt(edition, &source);
            return;
        }
        let json = json.to_owned();
        let commands = self.commands.clone();
        tokio::task::spawn_blocking(move || {
            let parsed = config::parse(&json);
            let command = FleetCommand::Parsed { edition, parsed, source };
            let _stopped = commands.blocking_send(command);
        });
    }

    pub(super) fn handle_parsed(
        &mut self,
        edition: ConfigEdition,
        parsed: Result<Arc<ConfigInForce>, config::Error>,
        source: &OfferSource,
    ) {
        let config = match parsed {
            Ok(config) => config,
            Err(error) => {
                let revision = edition.revision.0;
                crate::log_event!(
                    Level::Error,
                    LogEvent::ConfigBroken,
                    "revision {revision}: {error}"
                );
                self.report_to_propagation(edition, source);
                return;
            }
        };
        if self.adopt(edition, source) == propagation::Outcome::Adopted {
            let revision = edition.revision.0;
            let author = &config.document.author;
            crate::log_event!(
                Level::Info,
                LogEvent::ConfigInForce,
                "revision {revision} by {author}"
            );
            self.config.send_replace(Some(config));
        }
    }

    pub(super) fn adopt(
        &mut self,
        edition: ConfigEdition,
        source: &OfferSource,
    ) -> propagation::Outcome {
        let now = self.now();
        let outcome = self.propagation.adopt(now, edition);
        self.report_to_propagation(edition, source);
        outcome
    }

    pub(super) fn report_to_propagation(&mut self, edition: ConfigEdition, source: &OfferSource) {
        if matches!(source, OfferSource::Store) {
            let now = self.now();
            self.propagation.store_answered(now, StoreAnswer::Holds(edition));
        }
    }

    pub(super) fn handle_propagation(&mut self, action: PropagationAction) {
        match action {
            PropagationAction::Pull { peer, .. } => self.pull(peer),
            PropagationAction::Watch { wait, .. } => self.call_store(StoreCall::Watch { wait }),
            PropagationAction::ReadStore => self.call_store(StoreCall::Read),
            PropagationAction::Alarm(alarm) => self.raise_propagation_alarm(alarm),
        }
    }

    pub(super) fn call_store(&mut self, call: StoreCall) {
        if self.store.try_send(call).is_err() {
            let now = self.now();
            self.propagation.store_answered(now, StoreAnswer::Failed);
        }
    }

    pub(super) fn pull(&mut self, peer: HostKey) {
        let Some(record) = self.table.record(peer) else {
            let now = self.now();
            return self.propagation.pull_failed(now, peer);
        };
        let address = record.place.peer;
        let have = self.propagation.in_force().unwrap_or_default().revision;
        let links = Arc::clone(&self.links);
        let commands = self.commands.clone();
        tokio::spawn(async move {
            let copy = pull(&links, address, have).await;
            let _stopped = commands.send(FleetCommand::Pulled { peer, copy }).await;
        });
    }

    pub(super) fn raise_propagation_alarm(&mut self, alarm: PropagationAlarm) {
        match alarm {
            PropagationAlarm::Fork { revision, .. } => {
                let text = format!("another edit of revision {} was also offered", revision.0);
                crate::log_event!(Level::Error, LogEvent::ConfigForkRefused, "{text}");
                self.raise_alarm(text);
            }
            PropagationAlarm::StoreBehind { store, in_force } => {
                let (store, in_force) = (store.0, in_force.0);
                let text =
                    format!("the store holds revision {store}, older than {in_force} in force");
                crate::log_event!(Level::Error, LogEvent::ConfigOlderRefused, "{text}");
                self.raise_alarm(text);
            }
            PropagationAlarm::StoreEmpty { in_force } => {
                let text = format!("the store holds no configuration; {} is in force", in_force.0);
                crate::log_event!(Level::Error, LogEvent::ConfigOlderRefused, "{text}");
                self.raise_alarm(text);
            }
        }
    }
}

async fn pull(links: &PeerLinks, address: SocketAddr, have: ConfigRevision) -> Option<ConfigCopy> {
    let client = links.client(address).await.ok()?;
    let context = peer::call_context(PULL_TIMEOUT);
    client
        .pull_config(context, have)
        .await
        .map_err(|error| links.classify_error(address, error))
        .ok()?
}
