//! What a seed does. The same seed, settings and length give the same plan on every machine.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use strum::EnumIter;

use crate::settings::SoakSettings;

/// Time of the greatest load at the beginning.
const FIRST_PEAK: Duration = Duration::from_secs(6);
/// Time of the least load after the last fault, in which the fleet recovers.
const RECOVERY: Duration = Duration::from_secs(4);
/// Time without load before the use of resources is measured: idle connections have ended then.
const PAUSE: Duration = Duration::from_secs(12);
/// Time before the first fault.
const CALM_START: Duration = FIRST_PEAK.saturating_add(PAUSE);
/// Time after the last fault.
const CALM_END: Duration = RECOVERY.saturating_add(PAUSE);
/// Mean time between two faults of a plan with a single kind.
const SINGLE_GAP_S: f64 = 5.0;
/// Mean time between two faults of a plan with several kinds.
const MIXED_GAP_S: f64 = 1.6;
/// Shortest length of a fault.
const SHORTEST_FAULT: Duration = Duration::from_millis(200);
/// Longest length of a fault.
const LONGEST_FAULT: Duration = Duration::from_secs(8);
/// Number of kinds of a plan with a few.
const FEW_KINDS: usize = 3;
/// Time between two changes of the load.
const LOAD_PERIOD: Duration = Duration::from_secs(8);

/// The kinds of faults.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    EnumIter,
    strum::Display,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A host is told to stop, and started again after it has ended.
    HostStop,
    /// A host is killed, and started again.
    HostKill,
    /// A host is suspended for a while.
    HostSuspend,
    /// A host's settings change, and it is told to read them again.
    HostReload,
    /// All hosts are stopped and started again, one after the other.
    HostRoll,
    /// The links to the targets of a zone are slow.
    LinkDelay,
    /// All connections to some targets are reset.
    LinkReset,
    /// The links to some targets accept connections and pass nothing on.
    LinkSilent,
    /// The links to the targets of a zone pass nothing in one direction.
    LinkCut,
    /// A host's link to the store passes nothing in one direction.
    StoreLinkCut,
    /// The links of all hosts to the store are slow.
    StoreLinkDelay,
    /// Targets end without notice, and others start under new ids.
    TargetCrash,
    /// A target drains, ends, and another starts under a new id.
    TargetDrain,
    /// A target's entry is removed although it runs on for a while.
    TargetRemove,
    /// A target starts again under its id.
    TargetReturn,
    /// A target ends, and one of another service takes its address.
    TargetReuse,
    /// Targets reject many requests.
    TargetReject,
    /// Targets are slow.
    TargetSlow,
    /// Targets end some answers too early.
    TargetTruncate,
    /// Targets send bytes that are no answer.
    TargetGarble,
    /// Targets send some answers and rejections twice.
    TargetDuplicate,
    /// Targets leave the attempt id out of some answers.
    TargetNoId,
    /// Targets put the id of another attempt into some answers.
    TargetOtherId,
    /// Targets run some requests and never answer them.
    TargetSilent,
    /// Targets run some requests and close the connection.
    TargetDisconnect,
    /// Targets run some requests and answer with status 500.
    TargetError,
    /// Targets run some requests and answer with a status that promises the contrary.
    TargetFalsePromise,
    /// The store answers all calls with 503.
    StoreDown,
    /// The store answers no call.
    StoreSilent,
    /// The store answers all calls with 429.
    StoreOverRate,
    /// The store handles calls and loses the answers.
    StoreLostAnswer,
    /// The store returns from a copy some seconds old, in a new era.
    StoreRestore,
    /// The store forgets its history.
    StoreCompact,
    /// A version changes a quota.
    ConfigQuota,
    /// A version replaces a customer's key.
    ConfigKey,
    /// A version moves a route to another service.
    ConfigMove,
    /// A version changes the weights of a route.
    ConfigWeight,
    /// A version lacks a customer, and a later one has it again.
    ConfigCustomer,
    /// A version lacks a route with its service, and a later one has it again.
    ConfigService,
    /// Several versions follow each other at once, with many routes.
    ConfigStorm,
    /// A zone is evacuated for a while.
    ZoneEvacuate,
}

/// A fault of a plan.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedFault {
    /// When it begins, in milliseconds since the start of the load.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "at_ms")]
    pub at: Duration,
    /// How long it lasts, in milliseconds; some kinds have a length of their own.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "length_ms")]
    pub length: Duration,
    /// Its kind.
    pub kind: FaultKind,
    /// Selects the host, target or zone, modulo their number.
    pub subject: u32,
    /// Its strength, from 0 to 1.
    pub dose: f64,
}

/// The load from one moment on.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPhase {
    /// When it begins, in milliseconds since the start of the load.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "at_ms")]
    pub at: Duration,
    /// The load, as a share of what the targets can run.
    pub share: f64,
}

/// What a seed does.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SoakPlan {
    /// The seed.
    pub seed: u64,
    /// Duration of the load, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "length_ms")]
    pub length: Duration,
    /// Number of hosts in each zone.
    pub hosts: Vec<usize>,
    /// Mean duration of a request's work at a target, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "work_ms")]
    pub work: Duration,
    /// Whether revoked keys must be refused in time, also without the store.
    pub strict_keys: bool,
    /// The load.
    pub load: Vec<LoadPhase>,
    /// The faults, in the order of their beginning.
    pub faults: Vec<PlannedFault>,
}

/// The plan of a seed for a load of this duration.
pub fn plan(seed: u64, length: Duration, settings: &SoakSettings) -> SoakPlan {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let hosts = (0..settings.zones)
        .map(|_| rng.random_range(settings.min_hosts..=settings.max_hosts))
        .collect();
    let strict_keys = rng.random_bool(0.5);
    let load = load_phases(&mut rng, length, settings);
    let kinds = fault_kinds(&mut rng, seed, settings);
    let gap = if kinds.len() == 1 { SINGLE_GAP_S } else { MIXED_GAP_S };
    let mut faults = Vec::new();
    let end = length.saturating_sub(CALM_END);
    let mut at = CALM_START;
    while at + SHORTEST_FAULT <= end {
        let Some(kind) = kinds.choose(&mut rng).copied() else { break };
        let longest = end.saturating_sub(at).min(LONGEST_FAULT);
        let length = rng.random_range(SHORTEST_FAULT.as_millis()..=longest.as_millis());
        let length = Duration::from_millis(length as u64);
        let dose = (rng.random_range(0.05..=1.0) * 1000.0_f64).round() / 1000.0;
        faults.push(PlannedFault { at, length, kind, subject: rng.random(), dose });
        // Exponentially distributed, so that faults come in series.
        let gap = -gap * (1.0 - rng.random_range(0.0..1.0_f64)).ln();
        at += Duration::from_millis((gap.clamp(0.05, 12.0) * 1000.0) as u64);
    }
    SoakPlan { seed, length, hosts, work: settings.work, strict_keys, load, faults }
}

/// The kinds of a plan's faults: a single one, a few or all, by turns.
fn fault_kinds(rng: &mut ChaCha8Rng, seed: u64, settings: &SoakSettings) -> Vec<FaultKind> {
    let permitted = settings.permitted_faults();
    match seed % 3 {
        0 => vec![permitted[(seed / 3) as usize % permitted.len()]],
        1 => permitted.sample(rng, FEW_KINDS).copied().collect(),
        _ => permitted,
    }
}

/// The load: a peak and a pause, any load during the faults, the least after them, and a pause.
///
/// Use of resources is compared between the ends of both pauses.
fn load_phases(rng: &mut ChaCha8Rng, length: Duration, settings: &SoakSettings) -> Vec<LoadPhase> {
    let mut phases = vec![
        LoadPhase { at: Duration::ZERO, share: settings.max_load },
        LoadPhase { at: FIRST_PEAK, share: 0.0 },
    ];
    let mut at = CALM_START;
    let end = length.saturating_sub(CALM_END);
    while at < end {
        let share = rng.random_range(settings.min_load..=settings.max_load);
        phases.push(LoadPhase { at, share: (share * 100.0).round() / 100.0 });
        at += LOAD_PERIOD;
    }
    phases.push(LoadPhase { at: end, share: settings.min_load });
    phases.push(LoadPhase { at: end + RECOVERY, share: 0.0 });
    phases
}

impl SoakPlan {
    /// When the faults may begin.
    pub fn calm_start(&self) -> Duration {
        CALM_START
    }

    /// When all faults have ended.
    pub fn faults_end(&self) -> Duration {
        self.length.saturating_sub(CALM_END)
    }

    /// The load at a time.
    pub fn load_at(&self, at: Duration) -> f64 {
        let begun = self.load.iter().rev().find(|phase| phase.at <= at);
        begun.map_or(0.0, |phase| phase.share)
    }
}
