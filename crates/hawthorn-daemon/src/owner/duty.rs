//! The loop of the owner's thread: commands and ends of attempts in, the
//! decisions' actions out.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use hawthorn_decide::counter::OwnerCounters;
use hawthorn_decide::message::AttemptResult;
use hawthorn_decide::message::HeldShard;
use hawthorn_decide::message::Observation;
use hawthorn_decide::message::OwnerAction;
use hawthorn_decide::message::PieceKey;
use hawthorn_decide::message::PieceResult;
use hawthorn_decide::message::QueuedPiece;
use hawthorn_decide::message::TargetRecord;
use hawthorn_decide::owner;
use hawthorn_decide::owner::OwnerState;
use hawthorn_decide::shift::Phase;
use hawthorn_decide::time::TickTime;
use hawthorn_fleet::SlotShare;
use hawthorn_store::claim::ClaimGrant;
use hawthorn_types::AttemptId;
use hawthorn_types::CallerKey;
use hawthorn_types::FailureReason;
use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use hawthorn_types::MissingReason;
use hawthorn_types::RefusalReason;
use hawthorn_types::ShardKey;
use hawthorn_types::ShardName;
use hawthorn_types::TargetKey;
use hawthorn_types::UrgencyClass;
use hawthorn_types::WantedState;
use hawthorn_types::target::HeldRanges;
use hawthorn_types::target::ShardSearch;
use hawthorn_types::target::TargetRefusal;
use hawthorn_types::target::TargetRun;
use hawthorn_types::target::TargetState;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::BatchKey;
use super::OwnerCommand;
use super::OwnerHandle;
use super::attempt;
use super::attempt::AttemptAnswer;
use super::attempt::AttemptEnd;
use super::batch::BatchTable;
use super::batch::OpenBatch;
use super::batch::OpenPiece;
use super::batch::OpenRun;
use super::batch::OpenSearch;
use super::names::NameTable;
use super::probe;
use super::probe::ProbeEnd;
use super::view;
use super::view::OwnerGauges;
use super::view::UsableReplica;
use crate::connection::message::BatchAnswer;
use crate::connection::message::OnceBatch;
use crate::connection::message::OnceOutcome;
use crate::connection::message::OwnerView;
use crate::connection::message::PieceOutcome;
use crate::connection::message::SearchBatch;
use crate::connection::pool;
use crate::connection::pool::TargetPool;
use crate::process::events::LogEvent;
use crate::request::runner::unix_now;
use crate::version::config::ConfigInForce;
use crate::version::owned::OwnedGroups;

/// How often waits and gauges are told, at most.
const VIEW_INTERVAL: Duration = Duration::from_millis(50);

/// How often the loop takes in what is ready before it looks at the clock.
const DRAIN_LIMIT: usize = 64;

/// Limits of the duty.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Of the decisions.
    pub decide: owner::Options,
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
    let handle = OwnerHandle { commands, view, gauges, next_batch: Arc::default() };
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
        }
        .run(receiver, ended, inputs, stop)
        .await;
    };
    (handle, duty)
}

/// Something that a task of the duty brought back.
enum TaskEnd {
    Attempt(AttemptEnd),
    Probe(ProbeEnd),
}

/// A target this host owns, or owned and still hears from.
struct OwnedTarget {
    pool: Arc<TargetPool>,
    shards: Vec<ShardName>,
    held: Vec<HeldRanges>,
    reachable: bool,
}

struct OwnerDuty {
    options: Options,
    state: OwnerState,
    started: Instant,
    table: BatchTable,
    targets: HashMap<TargetKey, OwnedTarget>,
    target_names: NameTable<String>,
    shard_names: NameTable<ShardName>,
    caller_names: NameTable<String>,
    attempts: HashMap<AttemptId, OpenAttempt>,
    answers: HashMap<AttemptId, AttemptAnswer>,
    /// Versions that targets named when they refused one, by piece.
    retired: HashMap<PieceKey, Vec<IndexVersion>>,
    ends: mpsc::Sender<TaskEnd>,
    view: watch::Sender<Arc<OwnerView>>,
    gauges: watch::Sender<OwnerGauges>,
    busy: watch::Sender<Arc<HashSet<u16>>>,
    /// The bucket of every target owned so far: what still runs at one that
    /// was given up keeps its bucket busy.
    buckets: HashMap<TargetKey, u16>,
}

struct OpenAttempt {
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
            let wake = self.state.next_wake().map(|at| self.instant(at));
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
        }
    }

    fn now(&self) -> TickTime {
        TickTime(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    fn instant(&self, at: TickTime) -> Instant {
        self.started + Duration::from_micros(at.0)
    }

    fn left(&self, deadline: TickTime) -> Duration {
        deadline.since(self.now())
    }

    fn reload(&mut self, inputs: &mut OwnerInputs) {
        let config = inputs.config.borrow_and_update().clone();
        let owned = inputs.owned.borrow_and_update().clone();
        let Some(config) = config else { return };
        let records = self.records(&config, &owned);
        let kept: HashSet<TargetKey> = records.iter().map(|record| record.key).collect();
        let now = self.now();
        self.state.set_targets(now, &records);
        self.targets.retain(|key, _| kept.contains(key));
        self.tell();
    }

    fn records(&mut self, config: &ConfigInForce, owned: &OwnedGroups) -> Vec<TargetRecord> {
        let catalog = &config.catalog;
        let mut records = Vec::new();
        for (_, target) in catalog.targets() {
            let zone = &catalog.zone(target.zone).name;
            let share = owned.share(zone, catalog.group(target.group).bucket);
            // Switched off on purpose: nothing to ask it, nothing to report.
            if share == SlotShare::None || target.wanted() == WantedState::Off {
                continue;
            }
            let names: Vec<ShardName> =
                target.shards.iter().map(|&shard| catalog.shard(shard).name.clone()).collect();
            let key = TargetKey(self.target_names.intern(&target.name));
            if let Ok(bucket) = u16::try_from(catalog.group(target.group).bucket) {
                self.buckets.insert(key, bucket);
            }
            let shards = names.iter().map(|name| ShardKey(self.shard_names.intern(name))).collect();
            let slots = u16::try_from(share.slots(target.slots)).unwrap_or(u16::MAX);
            self.keep_target(key, names, target.address, slots_connections(target));
            records.push(TargetRecord { key, slots, wanted: target.wanted(), shards });
        }
        records
    }

    fn keep_target(
        &mut self,
        key: TargetKey,
        shards: Vec<ShardName>,
        address: std::net::SocketAddr,
        connections: usize,
    ) {
        if let Some(known) = self.targets.get_mut(&key)
            && known.pool.address() == address
        {
            known.shards = shards;
            return;
        }
        let options = pool::Options {
            connections,
            max_answer_bytes: self.options.max_answer_bytes,
            connect_timeout: self.options.connect_timeout,
        };
        let pool = Arc::new(TargetPool::new(address, options));
        let warming = Arc::clone(&pool);
        tokio::spawn(async move { warming.warm(connections / 2).await });
        let target = OwnedTarget { pool, shards, held: Vec::new(), reachable: false };
        self.targets.insert(key, target);
    }

    fn take_command(&mut self, command: OwnerCommand) {
        match command {
            OwnerCommand::Search { key, batch, reply } => self.take_search(key, batch, reply),
            OwnerCommand::Run { key, batch, grant, reply } => {
                self.take_run(key, batch, grant, reply);
            }
            OwnerCommand::Withdraw(key) => {
                let now = self.now();
                for piece in self.table.withdraw(key) {
                    self.state.cancel(now, piece);
                }
            }
        }
    }

    fn take_search(
        &mut self,
        key: BatchKey,
        batch: SearchBatch,
        reply: oneshot::Sender<BatchAnswer>,
    ) {
        let now = self.now();
        let deadline = now.after(Duration::from_micros(batch.left_us));
        let caller = CallerKey(self.caller_names.intern(&batch.caller));
        let urgency = batch.urgency;
        let pieces = batch.pieces.clone();
        let request = batch.request.to_string();
        let left = pieces.len();
        let open = OpenSearch { batch, request, parts: Vec::with_capacity(left), left, reply };
        if left == 0 {
            return self.answer(open);
        }
        self.table.batches.insert(key, OpenBatch::Search(open));
        for piece in pieces {
            let shard = self.shard_names.number(&piece.shard).map(ShardKey);
            let version = piece.version;
            let open = OpenPiece {
                batch: key,
                number: piece.number,
                shard: piece.shard,
                version,
                range: piece.range,
            };
            let key = self.table.add_piece(open);
            match shard {
                Some(shard) => self.submit(key, caller, urgency, shard, version, deadline),
                None => self.end_search_piece(key, PieceOutcome::NotOwner),
            }
        }
    }

    fn submit(
        &mut self,
        piece: PieceKey,
        caller: CallerKey,
        urgency: UrgencyClass,
        shard: ShardKey,
        version: IndexVersion,
        deadline: TickTime,
    ) {
        let queued = QueuedPiece {
            piece,
            caller,
            urgency,
            shard,
            version,
            deadline,
            expected_cost: None,
            once: false,
        };
        let outcome = self.state.submit(self.now(), queued);
        if let hawthorn_decide::admit::Outcome::Refused { reason, .. } = outcome {
            self.end_search_piece(piece, PieceOutcome::Missing(missing_for(reason)));
        }
    }

    fn take_run(
        &mut self,
        key: BatchKey,
        batch: OnceBatch,
        grant: ClaimGrant,
        reply: oneshot::Sender<OnceOutcome>,
    ) {
        let now = self.now();
        let deadline = now.after(Duration::from_micros(batch.left_us));
        let caller = CallerKey(self.caller_names.intern(&batch.caller));
        let Some(shard) = self.shard_names.number(&batch.shard).map(ShardKey) else {
            let _gone = reply.send(OnceOutcome::NotRun(RefusalReason::NoTarget));
            return;
        };
        let version = self.newest_version(&batch.shard);
        let piece = self.table.add_piece(OpenPiece {
            batch: key,
            number: 0,
            shard: batch.shard.clone(),
            version,
            range: KeyRange::new(batch.key, batch.key + 1),
        });
        let request = batch.request.to_string();
        let open = OpenRun { batch, request, grant: Some(grant), reply };
        self.table.batches.insert(key, OpenBatch::Run(open));
        let queued = QueuedPiece {
            piece,
            caller,
            urgency: UrgencyClass::Urgent,
            shard,
            version,
            deadline,
            expected_cost: None,
            once: true,
        };
        let outcome = self.state.submit(now, queued);
        if let hawthorn_decide::admit::Outcome::Refused { reason, .. } = outcome {
            self.end_run(piece, OnceOutcome::NotRun(reason));
        }
    }

    /// A run is not read at a version, but goes only to a target that holds
    /// the key now: any holder of the newest version does.
    fn newest_version(&self, shard: &ShardName) -> IndexVersion {
        let view = self.view.borrow();
        let known = view.shards.iter().find(|known| known.shard == *shard);
        known.and_then(|known| known.versions.last().copied()).unwrap_or_default()
    }

    fn take_end(&mut self, end: TaskEnd) {
        match end {
            TaskEnd::Attempt(end) => self.take_attempt(end),
            TaskEnd::Probe(end) => self.take_probe(end),
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

    fn take_probe(&mut self, end: ProbeEnd) {
        let now = self.now();
        let Some(state) = end.state else {
            self.note_reachable(end.target, false);
            self.state.observe(now, end.target, Observation::Unreachable);
            return;
        };
        let Some(held) = self.note_state(end.target, &state) else { return };
        self.note_reachable(end.target, true);
        self.state.observe(now, end.target, Observation::Reported { phase: state.phase, held });
    }

    fn note_reachable(&mut self, key: TargetKey, reachable: bool) {
        let name = self.target_names.name(key.0).clone();
        let Some(target) = self.targets.get_mut(&key) else { return };
        if target.reachable == reachable {
            return;
        }
        target.reachable = reachable;
        if reachable {
            crate::log_event!(log::Level::Info, LogEvent::TargetBack, "target {name}");
        } else {
            crate::log_event!(log::Level::Warn, LogEvent::TargetLost, "target {name}");
        }
    }

    fn note_state(
        &mut self,
        key: TargetKey,
        state: &TargetState,
    ) -> Option<smallvec::SmallVec<[HeldShard; 4]>> {
        let target = self.targets.get_mut(&key)?;
        target.held.clone_from(&state.held);
        let mut held = smallvec::SmallVec::new();
        for shard in &target.shards {
            let number = self.shard_names.number(shard).map(ShardKey)?;
            let of_shard = state.held.iter().filter(|held| held.service == shard.service());
            held.extend(of_shard.map(|held| HeldShard { shard: number, version: held.version }));
        }
        Some(held)
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
                let Some(grant) = run.grant.take() else { return false };
                let Ok(_permit) = grant.dispatch(Instant::now(), unix_now()) else { return false };
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

    fn probe(&mut self, target: TargetKey) {
        let Some(owned) = self.targets.get(&target) else { return };
        let pool = Arc::clone(&owned.pool);
        let name = self.target_names.name(target.0).clone();
        let timeout = self.options.probe_timeout;
        let ends = self.ends.clone();
        tokio::spawn(async move {
            let end = probe::probe(target, name, pool, timeout).await;
            let _stopped = ends.send(TaskEnd::Probe(end)).await;
        });
    }

    fn finish(&mut self, piece: PieceKey, result: PieceResult) {
        let retired = self.retired.remove(&piece);
        match result {
            PieceResult::Answered { attempt, .. } => self.deliver(piece, attempt),
            PieceResult::Missing(MissingReason::VersionMissing) => {
                let versions = retired.unwrap_or_else(|| self.versions_of(piece));
                self.end_search_piece(piece, PieceOutcome::Retired(versions));
            }
            PieceResult::Missing(reason) => {
                self.end_search_piece(piece, PieceOutcome::Missing(reason));
            }
            PieceResult::NotRun(reason) => self.end_run(piece, OnceOutcome::NotRun(reason)),
            PieceResult::Unknown(reason) => self.end_run(piece, OnceOutcome::Unknown(reason)),
            PieceResult::Failed(reason) => self.end_run(piece, OnceOutcome::Failed(reason)),
            PieceResult::Withdrawn { .. } => {
                self.table.pieces.remove(&piece);
            }
        }
    }

    fn versions_of(&self, piece: PieceKey) -> Vec<IndexVersion> {
        let Some(open) = self.table.pieces.get(&piece) else { return Vec::new() };
        let service = open.shard.service();
        let holders = self.targets.values().filter(|target| target.shards.contains(&open.shard));
        let held = holders.flat_map(|target| &target.held).filter(|held| held.service == service);
        let versions: HashSet<IndexVersion> = held.map(|held| held.version).collect();
        versions.into_iter().collect()
    }

    fn deliver(&mut self, piece: PieceKey, attempt: AttemptId) {
        match self.answers.remove(&attempt) {
            Some(AttemptAnswer::Search(answer)) => {
                let outcome = PieceOutcome::Answered {
                    version: answer.version,
                    searched: answer.searched,
                    total: answer.total,
                    matches: answer.matches,
                };
                self.end_search_piece(piece, outcome);
            }
            Some(AttemptAnswer::Ran(result)) => self.end_run(piece, OnceOutcome::Ran(result)),
            Some(AttemptAnswer::RanAndFailed) => {
                self.end_run(piece, OnceOutcome::Failed(FailureReason::TargetError));
            }
            None => {
                self.end_search_piece(piece, PieceOutcome::Missing(MissingReason::BadAnswer));
            }
        }
    }

    fn end_search_piece(&mut self, piece: PieceKey, outcome: PieceOutcome) {
        if let Some(open) = self.table.end_piece(piece, outcome) {
            self.answer(open);
        }
    }

    fn answer(&self, open: OpenSearch) {
        let view = self.view.borrow();
        let view = (view.generation != open.batch.view).then(|| (**view).clone());
        let answer = BatchAnswer { request: open.batch.request, parts: open.parts, view };
        // A front that no longer listens has its reason; nothing is owed to it.
        let _gone = open.reply.send(answer);
    }

    fn end_run(&mut self, piece: PieceKey, outcome: OnceOutcome) {
        let Some(open) = self.table.pieces.remove(&piece) else { return };
        if let Some(OpenBatch::Run(run)) = self.table.batches.remove(&open.batch) {
            let _gone = run.reply.send(outcome);
        }
    }

    /// Tells fronts what can be searched here, and the process what is held.
    fn tell(&mut self) {
        let shards = self.shard_views();
        let last = Arc::clone(&self.view.borrow());
        if let Some(next) = view::next(&last, shards) {
            self.view.send_replace(Arc::new(next));
        }
        let counters = self.state.counters();
        let gauges = OwnerGauges {
            batches: self.table.batches.len() as u64,
            queued: counters.waiting.iter().map(|&count| u64::from(count)).sum(),
            slots_in_use: u64::from(counters.slots_taken),
            targets: self.targets.len() as u64,
            attempts: counters.attempts,
            extra_attempts: extra_attempts(counters),
        };
        self.gauges.send_if_modified(|last| std::mem::replace(last, gauges) != gauges);
        let running = self.buckets.iter().filter(|(key, _)| self.state.slots_taken(**key) > 0);
        let busy: HashSet<u16> = running.map(|(_, &bucket)| bucket).collect();
        if **self.busy.borrow() != busy {
            self.busy.send_replace(Arc::new(busy));
        }
    }

    fn shard_views(&self) -> Vec<crate::connection::message::ShardView> {
        let usable = self.targets.iter().filter(|(key, target)| {
            let phase = self.state.phase(**key);
            target.reachable && matches!(phase, Some(Phase::Serving | Phase::Ramping { .. }))
        });
        let replicas = usable.flat_map(|(_, target)| {
            target.shards.iter().map(|shard| UsableReplica { shard, held: &target.held })
        });
        view::shards(replicas, |shard| {
            let number = self.shard_names.number(shard).map(ShardKey);
            let wait = number.map(|key| self.state.expected_wait(key, UrgencyClass::Urgent));
            wait.map_or(0, |wait| u64::try_from(wait.as_micros()).unwrap_or(u64::MAX))
        })
    }
}

fn extra_attempts(counters: &OwnerCounters) -> u64 {
    use strum::IntoEnumIterator;
    hawthorn_types::RetryReason::iter().map(|reason| counters.retried(reason)).sum()
}

/// The reason a refused piece of a search is missing for.
fn missing_for(reason: RefusalReason) -> MissingReason {
    match reason {
        RefusalReason::NoTarget => MissingReason::NoReplica,
        RefusalReason::WaitBeyondDeadline
        | RefusalReason::ExpiredInQueue
        | RefusalReason::DeadlinePast => MissingReason::QueuedPastDeadline,
        _ => MissingReason::Shedding,
    }
}

/// Connections of one owner to a target, at the most.
///
/// Load: a group changes hands and for a moment two hosts own it. The harm is
/// a target over its connection limit, which refuses both. No owner ever opens
/// more than half of what the target takes; within that, room for every slot,
/// as many cancellations beside them, one probe and one to spare.
fn slots_connections(target: &hawthorn_intent::catalog::TargetRecord) -> usize {
    let useful = target.slots as usize * 2 + 2;
    useful.min((target.connections / 2).max(1) as usize)
}

async fn sleep_until(wake: Option<Instant>) {
    match wake {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
