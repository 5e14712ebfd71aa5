//! Turns the settings of the process into the options of its parts.

use std::time::Duration;

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

/// Threads of the front: requests spend their time waiting, so a small host's
/// cores are left to the owner.
const MOST_FRONT_THREADS: usize = 4;

/// Commands waiting for the owner, at the most: a few milliseconds of its work.
const OWNER_RING: usize = 4_096;

/// Opening a connection to a target may take so long. Ten times what it costs
/// on an ordinary day; longer, and the slot is better used elsewhere.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a daemon that hears nobody waits before its first call to the store.
/// The seeds answer within some milliseconds and name everybody they know; a
/// host that is alone should be ready within a second of its start.
const START_PATIENCE: Duration = Duration::from_millis(400);

const PERCENT: f64 = 100.0;

/// How many threads the front gets.
pub fn front_threads() -> usize {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    (cores / 2).clamp(1, MOST_FRONT_THREADS)
}

/// Of the front.
pub fn front(settings: &DaemonSettings) -> front::Options {
    let limits = &settings.limits;
    front::Options {
        body: body::Options {
            max_bytes: usize::try_from(limits.max_body_bytes).unwrap_or(usize::MAX),
            timeout: limits.slow_client,
        },
        admit: admit::Options { max_in_flight: limits.front_queue, ..admit::Options::default() },
        track: track::Options::default(),
        max_limit: limits.max_limit,
        max_request_id_bytes: limits.max_request_id_bytes as usize,
        max_deadline: limits.max_deadline,
    }
}

/// Of the owner.
pub fn owner(settings: &DaemonSettings) -> owner::Options {
    let mut decide = hawthorn_decide::owner::Options::default();
    decide.queue.waiting_limit = settings.limits.group_queue;
    decide.hedge.min_delay = settings.hedge.min_delay;
    decide.budget.share = f64::from(settings.hedge.budget_percent) / PERCENT;
    decide.shift.probe_interval = settings.probe.interval;
    owner::Options {
        decide,
        relay: hawthorn_decide::relay::Options::default(),
        ring: OWNER_RING,
        max_answer_bytes: usize::try_from(settings.limits.max_answer_bytes).unwrap_or(usize::MAX),
        probe_timeout: settings.probe.timeout,
        connect_timeout: CONNECT_TIMEOUT,
        seed: rand::random(),
    }
}

/// Of the fleet.
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
        spread: propagation::Options {
            startup_delay: START_PATIENCE,
            ..propagation::Options::default()
        },
        seed: rand::random(),
    }
}

/// Of claims.
pub fn claims(settings: &DaemonSettings) -> claim::Options {
    claim::Options { min_interval: settings.claims.gather, ..claim::Options::default() }
}

/// Of the client of the platform's store.
pub fn store_client() -> client::Options {
    client::Options { seed: rand::random(), ..client::Options::default() }
}
