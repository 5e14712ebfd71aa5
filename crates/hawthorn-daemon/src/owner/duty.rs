//! The loop of the owner's thread: commands and ends of attempts in, the
//! decisions' actions out.

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
use super::attempt::AttemptEnd;
use super::batch::BatchTable;
use super::batch::OpenBatch;
use super::intent::OrderEnd;
use super::intent::TargetUse;
use super::names::NameTable;
use super::probe::ProbeEnd;
use super::relay::RelayEnd;
use super::relay::RelayLinks;
use super::relay::RelayTable;
use super::seen::IntentRound;
use super::seen::SeenReport;
use super::view::OwnerGauges;
use crate::connection::message::OwnerView;
use crate::process::clock::unix_now;
use crate::process::events::LogEvent;
use crate::process::metrics::MetricSet;
use crate::version::config::ConfigInForce;
use crate::version::owned::OwnedGroups;
use hawthorn_pool::TargetPool;

/// How often waits and gauges are told, at most.
const VIEW_INTERVAL: Duration = Duration::from_millis(50);

/// How often the loop takes in what is ready before it looks at the clock.
const DRAIN_LIMIT: usize = 64;

/// Limits of the duty.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Of the decisions.
    pub decide: owner::Options,
    /// Of second chances at other zones' owners.
    pub relay: relay_options::Options,
    /// Commands waiting, at the most.
    pub ring: usize,
    /// Bytes of a target's answer, at the most.
    pub max_answer_bytes: usize,
    /// How long a target may take to tell its state.
    pub probe_timeout: Duration,
    /// How long opening a connection may take.
    pub connect_timeout: Duration,
    /// Seeds the ties of the decisions.
    pub seed: u64,
}

/// What other duties tell this one.
#[derive(Clone, Debug)]
pub struct OwnerInputs {
    /// The configuration in force.
    pub config: watch::Receiver<Option<Arc<ConfigInForce>>>,
    /// The groups owned.
    pub owned: watch::Receiver<Arc<OwnedGroups>>,
    /// Where to tell the buckets whose requests still run here.
    pub busy: watch::Sender<Arc<HashSet<u16>>>,
    /// The ways to other zones' owners.
    pub relays: RelayLinks,
    /// Where refusals and retries are counted.
    pub metrics: MetricSet,
}

/// Starts the duty on the current runtime, which its thread runs alone.
pub fn start(
    options: Options,
    inputs: OwnerInputs,
    stop: CancellationToken,
) -> (OwnerHandle, impl Future<Output = ()> + Send) {
    let (commands, receiver) = mpsc::channel(options.ring);
    let (view_sender, view) = watch::channel(Arc::default());
    let (gauge_sender, gauges) = watch::channel(OwnerGauges::default());
    let (seen_sender, seen) = watch::channel(Arc::default());
    let handle = OwnerHandle { commands, view, gauges, seen, next_batch: Arc::default() };
    let duty = async move {
        let (ends, ended) = mpsc::channel(options.ring);
        OwnerDuty {
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
            ends,
            view: view_sender,
            gauges: gauge_sender,
            busy: inputs.busy.clone(),
            buckets: HashMap::new(),
            config: None,
            relays: RelayTable::new(inputs.relays.clone(), options.relay),
            metrics: inputs.metrics.clone(),
            counted: OwnerCounters::default(),
            owned: Arc::default(),
            mine: Vec::new(),
            round: IntentRound::default(),
            seen: seen_sender,
            seen_at: Instant::now(),
        }
        .run(receiver, ended, inputs, stop)
        .await;
    };
    (handle, duty)
}

/// Something that a task of the duty brought back.
pub(super) enum TaskEnd {
    Attempt(AttemptEnd),
    Probe(ProbeEnd),
    Relay(RelayEnd),
    Order(OrderEnd),
}

/// A target this host owns, or owned and still hears from.
pub(super) struct OwnedTarget {
    pub(super) pool: Arc<TargetPool>,
    pub(super) shards: Vec<ShardName>,
    pub(super) held: Vec<HeldRanges>,
    pub(super) reachable: bool,
    /// Questions for its state in a row that it did not answer.
    pub(super) missed: u32,
    pub(super) usage: TargetUse,
}

pub(super) struct OwnerDuty {
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
    /// Versions that targets named when they refused one, by piece.
    pub(super) retired: HashMap<PieceKey, Vec<IndexVersion>>,
    pub(super) ends: mpsc::Sender<TaskEnd>,
    pub(super) view: watch::Sender<Arc<OwnerView>>,
    pub(super) gauges: watch::Sender<OwnerGauges>,
    pub(super) busy: watch::Sender<Arc<HashSet<u16>>>,
    /// The bucket of every target owned so far: what still runs at one that
    /// was given up keeps its bucket busy.
    pub(super) buckets: HashMap<TargetKey, u16>,
    pub(super) config: Option<Arc<ConfigInForce>>,
    pub(super) relays: RelayTable,
    pub(super) metrics: MetricSet,
    /// What the metrics have been told of.
    pub(super) counted: OwnerCounters,
    pub(super) owned: Arc<OwnedGroups>,
    /// Targets owned here, as keys of the catalog in force; set with both.
    pub(super) mine: Vec<TargetKey>,
    /// The reconciler's last round.
    pub(super) round: IntentRound,
    pub(super) seen: watch::Sender<Arc<SeenReport>>,
    pub(super) seen_at: Instant,
}

pub(super) struct OpenAttempt {
    request: String,
    piece: PieceKey,
    target: TargetKey,
    task: tokio::task::AbortHandle,
}

impl OwnerDuty {
    async fn run(
        mut self,
        mut commands: mpsc::Receiver<OwnerCommand>,
        mut ended: mpsc::Receiver<TaskEnd>,
        mut inputs: OwnerInputs,
        stop: CancellationToken,
    ) {
        let mut tell = tokio::time::interval(VIEW_INTERVAL);
        tell.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut new_commands = Vec::with_capacity(DRAIN_LIMIT);
        let mut new_ends = Vec::with_capacity(DRAIN_LIMIT);
        self.reload(&mut inputs);
        loop {
            let wakes = [self.state.next_wake(), self.relays.next_wake()];
            let wake = wakes.into_iter().flatten().min().map(|at| self.instant(at));
            tokio::select! {
                () = stop.cancelled() => return,
                count = ended.recv_many(&mut new_ends, DRAIN_LIMIT) => if count == 0 { return },
                count = commands.recv_many(&mut new_commands, DRAIN_LIMIT) => if count == 0 { return },
                Ok(()) = inputs.config.changed() => self.reload(&mut inputs),
                Ok(()) = inputs.owned.changed() => self.reload(&mut inputs),
                () = sleep_until(wake) => {}
                _ = tell.tick() => self.tell(),
            }
            for end in new_ends.drain(..) {
                self.take_end(end);
            }
            for command in new_commands.drain(..) {
                self.take_command(command);
            }
            let now = self.now();
            self.state.tick(now);
            self.act();
            self.relay_due();
        }
    }

    pub(super) fn now(&self) -> TickTime {
        TickTime(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    fn instant(&self, at: TickTime) -> Instant {
        self.started + Duration::from_micros(at.0)
    }

    pub(super) fn left(&self, deadline: TickTime) -> Duration {
        deadline.since(self.now())
    }

    fn take_command(&mut self, command: OwnerCommand) {
        match command {
            OwnerCommand::Search { key, batch, reply } => self.take_search(key, batch, reply),
            OwnerCommand::Run { key, batch, reply } => self.take_run(key, batch, reply),
            OwnerCommand::Intend(round) => self.take_round(round),
            OwnerCommand::Withdraw(key) => {
                let now = self.now();
                for piece in self.table.withdraw(key) {
                    self.relays.forget(piece);
                    self.state.cancel(now, piece);
                }
            }
        }
    }

    fn take_end(&mut self, end: TaskEnd) {
        match end {
            TaskEnd::Attempt(end) => self.take_attempt(end),
            TaskEnd::Probe(end) => {
                self.take_probe(end);
                self.tell();
            }
            TaskEnd::Relay(end) => self.take_relay(end),
            TaskEnd::Order(end) => self.take_order_end(&end),
        }
    }

    fn take_attempt(&mut self, end: AttemptEnd) {
        let Some(open) = self.attempts.remove(&end.attempt) else { return };
        if end.result == AttemptResult::Crossed {
            let name = self.target_names.name(open.target.0);
            let event = LogEvent::CrossedAnswer;
            crate::log_event!(log::Level::Warn, event, "target {name}, request {}", open.request);
        }
        if end.result == AttemptResult::Refused(TargetRefusal::VersionRetired) {
            self.note_retired(&open, end.versions);
        }
        if let Some(answer) = end.answer {
            self.answers.insert(end.attempt, answer);
        }
        let now = self.now();
        self.state.complete(now, end.attempt, end.result);
        self.act();
        // Whatever was not delivered by now came too late.
        self.answers.remove(&end.attempt);
    }

    /// A refusal is fresher than the last probe: fronts should not plan on the
    /// version for another second.
    fn note_retired(&mut self, open: &OpenAttempt, versions: Vec<IndexVersion>) {
        let Some(piece) = self.table.pieces.get(&open.piece) else { return };
        let service = piece.shard.service().to_owned();
        if let Some(target) = self.targets.get_mut(&open.target) {
            target.held.retain(|held| held.service != service || versions.contains(&held.version));
        }
        self.retired.insert(open.piece, versions);
    }

    fn act(&mut self) {
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
        self.table.note_wait(piece, self.now());
        if !self.try_send(attempt, piece, target, deadline) {
            let now = self.now();
            let unsent = AttemptResult::ConnectionFailed { sent: false };
            self.state.complete(now, attempt, unsent);
        }
    }

    /// Starts the attempt; false when nothing was sent and nothing will be.
    fn try_send(
        &mut self,
        attempt: AttemptId,
        piece: PieceKey,
        target: TargetKey,
        deadline: TickTime,
    ) -> bool {
        let left = self.left(deadline);
        let Some(owned) = self.targets.get(&target) else { return false };
        let Some(open) = self.table.pieces.get(&piece) else { return false };
        let Some(batch) = self.table.batches.get_mut(&open.batch) else { return false };
        let deadline_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1);
        let request = batch.request().to_owned();
        let pool = Arc::clone(&owned.pool);
        let exchange = match batch {
            OpenBatch::Search(search) => {
                let ask = ShardSearch {
                    request: request.clone(),
                    attempt: attempt.0,
                    shard: open.shard.clone(),
                    version: open.version,
                    range: open.range,
                    text: search.batch.text.clone(),
                    limit: search.batch.limit,
                    deadline_ms,
                };
                attempt::search(pool, ask).boxed()
            }
            OpenBatch::Run(run) => {
                // Failure: the process was suspended with the request unread in
                // its socket, or the machine with its monotonic clock stood
                // still. The caller has given up meanwhile, perhaps done it by
                // other means, or the claim is gone. Nothing is sent then.
                let not_after = Duration::from_millis(run.batch.not_after_ms);
                if left.is_zero() || unix_now() >= not_after {
                    return false;
                }
                let ask = TargetRun {
                    request: request.clone(),
                    attempt: attempt.0,
                    caller: run.batch.caller.clone(),
                    caller_request: run.batch.caller_request.clone(),
                    key: run.batch.key,
                    body: run.batch.body.clone(),
                    deadline_ms,
                };
                attempt::run(pool, ask).boxed()
            }
        };
        let ends = self.ends.clone();
        let task = tokio::spawn(async move {
            let end = exchange.await;
            let _stopped = ends.send(TaskEnd::Attempt(end)).await;
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
