//! Event loop of the owner worker: processes commands and completed attempts, and executes the
//! actions of the decision state machine.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use hawthorn_decide::counter::OwnerCounters;
use hawthorn_decide::message::AttemptResult;
use hawthorn_decide::message::OwnerAction;
use hawthorn_decide::message::PieceKey;
use hawthorn_decide::owner;
use hawthorn_decide::owner::OwnerState;
use hawthorn_decide::relay as relay_options;
use hawthorn_decide::time::TickTime;
use hawthorn_types::AttemptId;
use hawthorn_types::IndexVersion;
use hawthorn_types::ShardName;
use hawthorn_types::TargetKey;
use hawthorn_types::target::HeldRanges;
use hawthorn_types::target::ShardSearch;
use hawthorn_types::target::TargetRefusal;
use hawthorn_types::target::TargetRun;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::OwnerCommand;
use super::OwnerHandle;
use super::attempt;
use super::attempt::AttemptAnswer;
use super::attempt::AttemptCompletion;
use super::batch::BatchTable;
use super::batch::OpenBatch;
use super::intent::OrderCompletion;
use super::intent::TargetUsage;
use super::names::NameTable;
use super::probe::ProbeCompletion;
use super::relay::RelayCompletion;
use super::relay::RelayLinks;
use super::relay::RelayTable;
use super::snapshot::IntentRound;
use super::snapshot::OwnerSnapshot;
use super::view::OwnerGauges;
use crate::connection::message::OwnerView;
use crate::process::clock::unix_now;
use crate::process::events::LogEvent;
use crate::process::metrics::MetricSet;
use crate::version::config::ConfigInForce;
use crate::version::owned::OwnedGroups;
use hawthorn_pool::TargetPool;

/// Interval at which waits and gauges are published.
const VIEW_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of ready messages processed before the loop checks its timers.
const DRAIN_LIMIT: usize = 64;

/// Limits of the owner worker.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Options of the decision state machine.
    pub decide: owner::Options,
    /// Options of relays to owners in other zones.
    pub relay: relay_options::Options,
    /// Capacity of the command channel.
    pub channel_capacity: usize,
    /// Maximum size of a target's answer, in bytes.
    pub max_answer_bytes: usize,
    /// Timeout of a state probe.
    pub probe_timeout: Duration,
    /// Timeout of a connect to a target.
    pub connect_timeout: Duration,
    /// Seed for random tie-breaking.
    pub seed: u64,
}

/// Inputs from other workers.
#[derive(Clone, Debug)]
pub struct OwnerInputs {
    /// The configuration in force.
    pub config: watch::Receiver<Option<Arc<ConfigInForce>>>,
    /// Groups owned by this host.
    pub owned: watch::Receiver<Arc<OwnedGroups>>,
    /// Publishes the buckets whose requests still run here.
    pub busy: watch::Sender<Arc<HashSet<u16>>>,
    /// Links to owners in other zones.
    pub relays: RelayLinks,
    /// Counts refusals and retries.
    pub metrics: MetricSet,
}

/// Creates the worker and its handle. The returned future must run on a thread of its own.
pub fn start(
    options: Options,
    inputs: OwnerInputs,
    stop: CancellationToken,
) -> (OwnerHandle, impl Future<Output = ()> + Send) {
    let (commands, receiver) = mpsc::channel(options.channel_capacity);
    let (view_sender, view) = watch::channel(Arc::default());
    let (gauge_sender, gauges) = watch::channel(OwnerGauges::default());
    let (snapshot_sender, snapshot) = watch::channel(Arc::default());
    let handle = OwnerHandle { commands, view, gauges, snapshot, next_batch: Arc::default() };
    let worker = async move {
        let (completions, completed) = mpsc::channel(options.channel_capacity);
        OwnerWorker {
            state: OwnerState::new(options.decide, options.seed),
            options,
            started: Instant::now(),
            table: BatchTable::default(),
            targets: HashMap::new(),
            target_names: NameTable::new(),
            shard_names: NameTable::new(),
            caller_names: NameTable::new(),
            attempts: HashMap::new(),
            answers: HashMap::new(),
            retired: HashMap::new(),
            completions,
            view: view_sender,
            gauges: gauge_sender,
            busy: inputs.busy.clone(),
            buckets: HashMap::new(),
            config: None,
            relays: RelayTable::new(inputs.relays.clone(), options.relay),
            metrics: inputs.metrics.clone(),
            exported_counters: OwnerCounters::default(),
            owned: Arc::default(),
            owned_keys: Vec::new(),
            round: IntentRound::default(),
            snapshot: snapshot_sender,
            snapshot_at: Instant::now(),
        }
        .run(receiver, completed, inputs, stop)
        .await;
    };
    (handle, worker)
}

/// Completion of a task that the worker spawned.
pub(super) enum TaskCompletion {
    Attempt(AttemptCompletion),
    Probe(ProbeCompletion),
    Relay(RelayCompletion),
    Order(OrderCompletion),
}

/// A target that this host owns.
pub(super) struct OwnedTarget {
    pub(super) pool: Arc<TargetPool>,
    pub(super) shards: Vec<ShardName>,
    pub(super) held: Vec<HeldRanges>,
    pub(super) reachable: bool,
    /// Consecutive state probes without an answer.
    pub(super) missed: u32,
    pub(super) usage: TargetUsage,
}

pub(super) struct OwnerWorker {
    pub(super) options: Options,
    pub(super) state: OwnerState,
    pub(super) started: Instant,
    pub(super) table: BatchTable,
    pub(super) targets: HashMap<TargetKey, OwnedTarget>,
    pub(super) target_names: NameTable<String>,
    pub(super) shard_names: NameTable<ShardName>,
    pub(super) caller_names: NameTable<String>,
    pub(super) attempts: HashMap<AttemptId, OpenAttempt>,
    pub(super) answers: HashMap<AttemptId, AttemptAnswer>,
    /// Versions that targets listed when they rejected the requested one, by piece.
    pub(super) retired: HashMap<PieceKey, Vec<IndexVersion>>,
    pub(super) completions: mpsc::Sender<TaskCompletion>,
    pub(super) view: watch::Sender<Arc<OwnerView>>,
    pub(super) gauges: watch::Sender<OwnerGauges>,
    pub(super) busy: watch::Sender<Arc<HashSet<u16>>>,
    /// Bucket of every target owned so far, including targets no longer owned: attempts still in
    /// flight at these keep the bucket busy.
    pub(super) buckets: HashMap<TargetKey, u16>,
    pub(super) config: Option<Arc<ConfigInForce>>,
    pub(super) relays: RelayTable,
    pub(super) metrics: MetricSet,
    /// Counters as last exported to the metrics.
    pub(super) exported_counters: OwnerCounters,
    pub(super) owned: Arc<OwnedGroups>,
    /// Keys of the owned targets in the catalog in force, updated when ownership or the catalog
    /// changes.
    pub(super) owned_keys: Vec<TargetKey>,
    /// Last round received from the reconciler.
    pub(super) round: IntentRound,
    pub(super) snapshot: watch::Sender<Arc<OwnerSnapshot>>,
    pub(super) snapshot_at: Instant,
}

pub(super) struct OpenAttempt {
    request: String,
    piece: PieceKey,
    target: TargetKey,
    task: tokio::task::AbortHandle,
}

impl OwnerWorker {
    async fn run(
        mut self,
        mut commands: mpsc::Receiver<OwnerCommand>,
        mut completed: mpsc::Receiver<TaskCompletion>,
        mut inputs: OwnerInputs,
        stop: CancellationToken,
    ) {
        let mut publish_timer = tokio::time::interval(VIEW_INTERVAL);
        publish_timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut new_commands = Vec::with_capacity(DRAIN_LIMIT);
        let mut new_completions = Vec::with_capacity(DRAIN_LIMIT);
        self.reload(&mut inputs);
        loop {
            let wakes = [self.state.next_wake(), self.relays.next_wake()];
            let wake = wakes.into_iter().flatten().min().map(|at| self.instant(at));
            tokio::select! {
                () = stop.cancelled() => return,
                count = completed.recv_many(&mut new_completions, DRAIN_LIMIT) =>
                    if count == 0 { return },
                count = commands.recv_many(&mut new_commands, DRAIN_LIMIT) =>
                    if count == 0 { return },
                Ok(()) = inputs.config.changed() => self.reload(&mut inputs),
                Ok(()) = inputs.owned.changed() => self.reload(&mut inputs),
                () = sleep_until(wake) => {}
                _ = publish_timer.tick() => self.publish(),
            }
            for completion in new_completions.drain(..) {
                self.handle_completion(completion);
            }
            for command in new_commands.drain(..) {
                self.handle_command(command);
            }
            let now = self.now();
            self.state.tick(now);
            self.run_actions();
            self.send_due_relays();
        }
    }

    pub(super) fn now(&self) -> TickTime {
        TickTime(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    fn instant(&self, at: TickTime) -> Instant {
        self.started + Duration::from_micros(at.0)
    }

    pub(super) fn remaining(&self, deadline: TickTime) -> Duration {
        deadline.since(self.now())
    }

    fn handle_command(&mut self, command: OwnerCommand) {
        match command {
            OwnerCommand::Search { key, batch, reply } => self.handle_search(key, batch, reply),
            OwnerCommand::Run { key, batch, reply } => self.handle_run(key, batch, reply),
            OwnerCommand::ApplyRound(round) => self.apply_round(round),
            OwnerCommand::Cancel(key) => {
                let now = self.now();
                for piece in self.table.remove_batch(key) {
                    self.relays.remove(piece);
                    self.state.cancel(now, piece);
                }
            }
        }
    }

    fn handle_completion(&mut self, completion: TaskCompletion) {
        match completion {
            TaskCompletion::Attempt(completion) => self.handle_attempt(completion),
            TaskCompletion::Probe(completion) => {
                self.handle_probe(completion);
                self.publish();
            }
            TaskCompletion::Relay(completion) => self.handle_relay(completion),
            TaskCompletion::Order(completion) => self.handle_order(&completion),
        }
    }

    fn handle_attempt(&mut self, completion: AttemptCompletion) {
        let Some(open) = self.attempts.remove(&completion.attempt) else { return };
        if completion.result == AttemptResult::Crossed {
            let name = self.target_names.name(open.target.0);
            let event = LogEvent::CrossedAnswer;
            crate::log_event!(log::Level::Warn, event, "target {name}, request {}", open.request);
        }
        if completion.result == AttemptResult::Refused(TargetRefusal::VersionRetired) {
            self.record_retired(&open, completion.versions);
        }
        if let Some(answer) = completion.answer {
            self.answers.insert(completion.attempt, answer);
        }
        let now = self.now();
        self.state.complete(now, completion.attempt, completion.result);
        self.run_actions();
        // Answers that were not delivered by now arrived too late.
        self.answers.remove(&completion.attempt);
    }

    /// Removes versions that a target has rejected as retired. This is newer information than the
    /// last probe; without it, fronts would plan with the version for another second.
    fn record_retired(&mut self, open: &OpenAttempt, versions: Vec<IndexVersion>) {
        let Some(piece) = self.table.pieces.get(&open.piece) else { return };
        let service = piece.shard.service().to_owned();
        if let Some(target) = self.targets.get_mut(&open.target) {
            target.held.retain(|held| held.service != service || versions.contains(&held.version));
        }
        self.retired.insert(open.piece, versions);
    }

    fn run_actions(&mut self) {
        while let Some(action) = self.state.poll_action() {
            match action {
                OwnerAction::Send { attempt, piece, target, deadline } => {
                    self.send(attempt, piece, target, deadline);
                }
                OwnerAction::Cancel { attempt, target } => self.cancel(attempt, target),
                OwnerAction::Close { attempt, .. } => self.close(attempt),
                OwnerAction::Finish { piece, result } => self.finish(piece, result),
                OwnerAction::Probe { target } => self.probe(target),
            }
        }
    }

    fn send(&mut self, attempt: AttemptId, piece: PieceKey, target: TargetKey, deadline: TickTime) {
        self.table.record_wait(piece, self.now());
        if !self.try_send(attempt, piece, target, deadline) {
            let now = self.now();
            let unsent = AttemptResult::ConnectionFailed { sent: false };
            self.state.complete(now, attempt, unsent);
        }
    }

    /// Starts the attempt; returns false if nothing was sent and nothing will be.
    fn try_send(
        &mut self,
        attempt: AttemptId,
        piece: PieceKey,
        target: TargetKey,
        deadline: TickTime,
    ) -> bool {
        let remaining = self.remaining(deadline);
        let Some(owned) = self.targets.get(&target) else { return false };
        let Some(open) = self.table.pieces.get(&piece) else { return false };
        let Some(batch) = self.table.batches.get_mut(&open.batch) else { return false };
        let deadline_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX).max(1);
        let request = batch.request().to_owned();
        let pool = Arc::clone(&owned.pool);
        let exchange = match batch {
            OpenBatch::Search(search) => {
                let shard_search = ShardSearch {
                    request: request.clone(),
                    attempt: attempt.0,
                    shard: open.shard.clone(),
                    version: open.version,
                    range: open.range,
                    text: search.batch.text.clone(),
                    limit: search.batch.limit,
                    deadline_ms,
                };
                attempt::search(pool, shard_search).boxed()
            }
            OpenBatch::Run(run) => {
                // Sends nothing if the process was suspended while the request was unread in its
                // socket, or the machine and its monotonic clock were paused: the caller may have
                // given up and acted by other means, or the claim may have expired.
                let not_after = Duration::from_millis(run.batch.not_after_ms);
                if remaining.is_zero() || unix_now() >= not_after {
                    return false;
                }
                let target_run = TargetRun {
                    request: request.clone(),
                    attempt: attempt.0,
                    caller: run.batch.caller.clone(),
                    caller_request: run.batch.caller_request.clone(),
                    key: run.batch.key,
                    body: run.batch.body.clone(),
                    deadline_ms,
                };
                attempt::run(pool, target_run).boxed()
            }
        };
        let completions = self.completions.clone();
        let task = tokio::spawn(async move {
            let completion = exchange.await;
            let _stopped = completions.send(TaskCompletion::Attempt(completion)).await;
        });
        let open = OpenAttempt { request, piece, target, task: task.abort_handle() };
        self.attempts.insert(attempt, open);
        true
    }

    fn cancel(&mut self, attempt: AttemptId, target: TargetKey) {
        let Some(open) = self.attempts.get(&attempt) else { return };
        let Some(owned) = self.targets.get(&target) else { return };
        let pool = Arc::clone(&owned.pool);
        tokio::spawn(attempt::cancel(pool, open.request.clone(), attempt));
    }

    fn close(&mut self, attempt: AttemptId) {
        if let Some(open) = self.attempts.remove(&attempt) {
            open.task.abort();
        }
    }
}

async fn sleep_until(wake: Option<Instant>) {
    match wake {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
