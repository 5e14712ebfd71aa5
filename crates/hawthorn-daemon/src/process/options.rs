//! Converts the settings of the process to the options of its components.

use std::time::Duration;

use hawthorn_connections::budget;
use hawthorn_fleet::MemberPlace;
use hawthorn_fleet::handover;
use hawthorn_fleet::member;
use hawthorn_fleet::propagation;
use hawthorn_intent::DaemonSettings;
use hawthorn_plan::admit;
use hawthorn_plan::track;
use hawthorn_store::claim;
use hawthorn_store::client;

use crate::owner;
use crate::process::fleet;
use crate::request::body;
use crate::request::front;

/// Maximum number of front threads. Requests mostly wait, so on a small host the cores are left to
/// the owner worker.
const MAX_FRONT_THREADS: usize = 4;

/// Capacity of the owner's command channel: a few milliseconds of work.
const OWNER_CHANNEL_CAPACITY: usize = 4_096;

/// Timeout of a connect to a target: ten times its normal duration. After that, the slot is better
/// used for another attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Delay of the first call to the store while no other daemon has answered. Seeds answer within
/// milliseconds and list all members they know, and a host without peers should still be ready
/// within a second.
const STARTUP_DELAY: Duration = Duration::from_millis(400);

/// Time within which an accepted configuration is in force on every host.
const CONFIG_IN_FORCE_WITHIN: Duration = Duration::from_secs(8);

/// Maximum duration of a watch of the configuration. Each watch that ends confirms the
/// configuration, so half the time leaves room for one that is late.
const CONFIG_WATCH_TIMEOUT: Duration = Duration::from_secs(4);

const PERCENT: f64 = 100.0;

/// Number of front threads.
pub fn front_threads() -> usize {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    (cores / 2).clamp(1, MAX_FRONT_THREADS)
}

/// Options of the front.
pub fn front(settings: &DaemonSettings) -> front::Options {
    let limits = &settings.limits;
    front::Options {
        body: body::Options {
            max_bytes: usize::try_from(limits.max_body_bytes).unwrap_or(usize::MAX),
            timeout: limits.slow_client,
        },
        bodies: budget::Options {
            max_bytes: usize::try_from(limits.body_memory_bytes).unwrap_or(usize::MAX),
            ..budget::Options::default()
        },
        admit: admit::Options { max_in_flight: limits.front_queue, ..admit::Options::default() },
        track: track::Options::default(),
        max_limit: limits.max_limit,
        max_request_id_bytes: limits.max_request_id_bytes as usize,
        max_deadline: limits.max_deadline,
        config_in_force_within: CONFIG_IN_FORCE_WITHIN,
    }
}

/// Options of the owner worker.
pub fn owner(settings: &DaemonSettings) -> owner::Options {
    let mut decide = hawthorn_decide::owner::Options::default();
    decide.queue.waiting_limit = settings.limits.group_queue;
    decide.hedge.min_delay = settings.hedge.min_delay;
    decide.budget.share = f64::from(settings.hedge.budget_percent) / PERCENT;
    decide.shift.probe_interval = settings.probe.interval;
    owner::Options {
        decide,
        relay: hawthorn_decide::relay::Options::default(),
        channel_capacity: OWNER_CHANNEL_CAPACITY,
        max_answer_bytes: usize::try_from(settings.limits.max_answer_bytes).unwrap_or(usize::MAX),
        probe_timeout: settings.probe.timeout,
        connect_timeout: CONNECT_TIMEOUT,
        seed: rand::random(),
    }
}

/// Options of the fleet worker.
pub fn fleet(settings: &DaemonSettings, place: MemberPlace) -> fleet::Options {
    fleet::Options {
        place,
        seeds: settings.seeds.clone(),
        member: member::Options {
            heartbeat: settings.fleet.heartbeat,
            suspicion_timeout: settings.fleet.suspect_after,
            ..member::Options::default()
        },
        handover: handover::Options::default(),
        propagation: propagation::Options {
            startup_delay: STARTUP_DELAY,
            watch_timeout: CONFIG_WATCH_TIMEOUT,
            ..propagation::Options::default()
        },
        seed: rand::random(),
    }
}

/// Options of claims.
pub fn claims(settings: &DaemonSettings) -> claim::Options {
    claim::Options { min_interval: settings.claims.gather, ..claim::Options::default() }
}

/// Options of the client of the platform's store.
pub fn store_client() -> client::Options {
    client::Options { seed: rand::random(), ..client::Options::default() }
}
