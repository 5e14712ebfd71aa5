//! Hosts that read a store and each other, without sockets: no host counts as current without a
//! revision that the store acknowledged longer ago than the limit.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use hawthorn_route::confirmation::ConfirmationPlan;
use hawthorn_route::confirmation::PeerAge;
use hawthorn_route::confirmation::StoreConfirmation;
use hawthorn_route::revision::StoreRevision;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::proptest;

const HOSTS: usize = 6;
const WITHIN_MS: u64 = 5000;
/// True time of the start, so that no clock is negative.
const START_MS: u64 = 100_000;

#[derive(Clone, Copy, Debug)]
struct SimulatedHost {
    clock_offset: u64,
    mirror: u64,
}

/// A request of one host. Long delays stand for partitions and for a suspended receiver.
#[derive(Clone, Copy, Debug)]
struct Exchange {
    host: usize,
    /// The host that is asked; the host itself stands for the store.
    source: usize,
    request_delay: u64,
    held: u64,
    reply_delay: u64,
    /// Whether the answer has the changes, or only the revision.
    delivers: bool,
    /// Whether the host restarts instead.
    restarts: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Send,
    Reply,
    /// The answer: its revision, and as of when it is confirmed by the host's clock.
    Arrive(u64, Option<Duration>),
}

struct Simulation {
    hosts: Vec<SimulatedHost>,
    confirmations: Vec<StoreConfirmation>,
    /// True times at which the store acknowledged its revisions.
    acknowledged: Vec<u64>,
    exchanges: Vec<(u64, Exchange)>,
    plan: ConfirmationPlan,
}

impl Simulation {
    fn newest(&self, time: u64) -> u64 {
        self.acknowledged.iter().filter(|at| **at <= time).count() as u64
    }

    fn clock(&self, host: usize, time: u64) -> Duration {
        Duration::from_millis(time + self.hosts[host].clock_offset)
    }

    fn reply(&self, sent: u64, exchange: &Exchange, now: u64) -> Step {
        let Exchange { host, source, held, .. } = *exchange;
        let sent = self.clock(host, sent);
        if source == host {
            return Step::Arrive(self.newest(now), Some(sent));
        }
        let confirmed = self.confirmations[source].confirmed_at();
        let age = confirmed.map(|at| self.clock(source, now) - at);
        let at = age
            .and_then(|age| PeerAge { age, held: Duration::from_millis(held) }.confirmed_at(sent));
        Step::Arrive(self.hosts[source].mirror, at)
    }

    fn arrive(&mut self, exchange: &Exchange, revision: u64, at: Option<Duration>) {
        let (host, confirmation) =
            (&mut self.hosts[exchange.host], &mut self.confirmations[exchange.host]);
        if exchange.delivers {
            host.mirror = host.mirror.max(revision);
        }
        let mirror = StoreRevision::new(0, host.mirror);
        confirmation.advance(mirror);
        if let Some(at) = at {
            confirmation.record(StoreRevision::new(0, revision), at, mirror);
        }
    }

    /// Checks that each host that counts as current has what was acknowledged before the limit.
    fn check(&self, now: u64) {
        for (index, confirmation) in self.confirmations.iter().enumerate() {
            let age = confirmation.confirmed_at().map(|at| self.clock(index, now) - at);
            let mirror = self.hosts[index].mirror;
            let needed = self.newest(now - WITHIN_MS);
            assert!(
                !self.plan.is_current(age) || mirror >= needed,
                "host {index} at {now}: revision {mirror}, needed {needed}, age {age:?}"
            );
        }
    }

    fn run(mut self) {
        let exchanges = self.exchanges.clone();
        let sends = exchanges.iter().enumerate();
        let mut events: BinaryHeap<_> =
            sends.map(|(index, (sent, _))| Reverse((*sent, index, Step::Send))).collect();
        while let Some(Reverse((now, index, step))) = events.pop() {
            self.check(now);
            let (sent, exchange) = &exchanges[index];
            match step {
                Step::Send if exchange.restarts => {
                    self.hosts[exchange.host].mirror = 0;
                    self.confirmations[exchange.host] = StoreConfirmation::default();
                }
                Step::Send => {
                    let replied = now + exchange.request_delay + exchange.held;
                    events.push(Reverse((replied, index, Step::Reply)));
                }
                Step::Reply => {
                    let arrived = now + exchange.reply_delay;
                    events.push(Reverse((arrived, index, self.reply(*sent, exchange, now))));
                }
                // An answer to a process that has since restarted is lost.
                Step::Arrive(revision, at) => {
                    let restarted = exchanges.iter().any(|(restart, other)| {
                        other.restarts
                            && other.host == exchange.host
                            && (*sent..=now).contains(restart)
                    });
                    if !restarted {
                        self.arrive(exchange, revision, at);
                    }
                }
            }
            self.check(now);
        }
    }
}

/// Mostly short delays, some of many seconds.
fn delay(value: u16) -> u64 {
    let value = u64::from(value);
    if value.is_multiple_of(8) { value % 20_000 } else { value % 60 }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    /// Guards against any order of partitions, suspensions, restarts, delayed replies and
    /// revocations in which a host serves a revoked key after the limit.
    #[test]
    fn no_current_host_lacks_an_old_revision(
        offsets in vec(0u64..50_000_000, HOSTS),
        revocations in vec(0u64..60_000, 0..12),
        requests in vec((0u64..60_000, 0..HOSTS, 0..HOSTS, [0u16.., 0u16.., 0u16..], 0u8..32), 1..300),
    ) {
        let hosts = offsets.iter().map(|clock_offset| SimulatedHost { clock_offset: *clock_offset, mirror: 0 });
        let exchanges = requests.iter().map(|(sent, host, source, [request, held, reply], kind)| {
            let (request_delay, held, reply_delay) = (delay(*request), delay(*held), delay(*reply));
            let (delivers, restarts) = (kind % 4 != 0, *kind == 31);
            let (host, source) = (*host, *source);
            (START_MS + sent, Exchange { host, source, request_delay, held, reply_delay, delivers, restarts })
        });
        let simulation = Simulation {
            hosts: hosts.collect(),
            confirmations: vec![StoreConfirmation::default(); HOSTS],
            acknowledged: revocations.iter().map(|at| START_MS + at).collect(),
            exchanges: exchanges.collect(),
            plan: ConfirmationPlan::new(Some(Duration::from_millis(WITHIN_MS))),
        };
        simulation.run();
    }
}
