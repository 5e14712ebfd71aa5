//! Order, fairness, bounds and rejections of the dispatcher, with a service of a few slots in
//! virtual time.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use hawthorn_route::dispatch::ArrivalDecision;
use hawthorn_route::dispatch::Dispatcher;
use hawthorn_route::dispatch::ExpectedCapacity;
use hawthorn_route::dispatch::FlowName;
use hawthorn_route::dispatch::Options;
use hawthorn_route::dispatch::RequestDemand;
use hawthorn_route::dispatch::RetryIdentity;
use hawthorn_route::dispatch::TicketKey;
use hawthorn_route::fingerprint::RequestFingerprint;
use hawthorn_route::placement::SlotWait;

const fn millis(time: u64) -> Duration {
    Duration::from_millis(time)
}

const FREE: ExpectedCapacity = busy(0);

/// The capacity if slots become free after this time.
const fn busy(wait_ms: u64) -> ExpectedCapacity {
    let wait = SlotWait { expected: millis(wait_ms), cautious: millis(wait_ms) };
    ExpectedCapacity { wait, window_full: false }
}

/// A request of a customer with its number, which arrives at `now`.
fn demand(customer: &str, priority: u32, number: u64, now: Duration, aim_ms: u64) -> RequestDemand {
    RequestDemand {
        flow: FlowName::Customer(customer.into()),
        priority,
        identity: RetryIdentity { caller: number, fingerprint: RequestFingerprint::default() },
        target_latency: millis(aim_ms),
        soft_deadline: now + millis(aim_ms),
        deadline: now + millis(aim_ms * 6),
        service_time: millis(10),
        slot_time: millis(10),
    }
}

/// Regular requests of a customer.
#[derive(Clone, Debug)]
struct Stream {
    customer: &'static str,
    priority: u32,
    every: Duration,
    service: Duration,
    aim_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Served {
    requested: u32,
    in_time: u32,
    work: Duration,
}

impl Served {
    fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requested)
    }
}

/// Runs the streams for ten seconds over a service with `slots` slots.
fn run(streams: &[Stream], slots: usize) -> HashMap<&'static str, Served> {
    const STEP: Duration = millis(1);
    let options = Options::default();
    let mut dispatcher = Dispatcher::default();
    let mut waiting: HashMap<TicketKey, (usize, Duration)> = HashMap::new();
    let mut running: Vec<Duration> = Vec::new();
    let mut queue: VecDeque<Duration> = VecDeque::new();
    let mut served: HashMap<&'static str, Served> = HashMap::new();
    let mut now = Duration::ZERO;
    let mut number = 0;
    let capacity = |running: &Vec<Duration>, queue: &VecDeque<Duration>, now: Duration| {
        let queued: Duration = queue.iter().sum();
        let next = running.iter().min().filter(|_| running.len() >= slots);
        let wait = next.map_or(Duration::ZERO, |end| end.saturating_sub(now).max(STEP));
        let wait = wait + queued / slots as u32;
        ExpectedCapacity { wait: SlotWait { expected: wait, cautious: wait }, window_full: false }
    };
    while now < millis(10_000) {
        running.retain(|end| *end > now);
        while running.len() < slots
            && let Some(service) = queue.pop_front()
        {
            running.push(now + service);
        }
        let mut send = |index: usize,
                        arrived: Duration,
                        running: &mut Vec<Duration>,
                        queue: &mut VecDeque<Duration>| {
            let stream: &Stream = &streams[index];
            let wait = capacity(running, queue, now).wait.expected;
            let end = now + wait + stream.service;
            let record = served.entry(stream.customer).or_default();
            record.in_time += u32::from(end <= arrived + millis(stream.aim_ms));
            record.work += stream.service;
            if running.len() < slots {
                running.push(end);
            } else {
                queue.push_back(stream.service);
            }
        };
        while let Some(ticket) = dispatcher.next(now, |_| capacity(&running, &queue, now), &options)
        {
            let (index, arrived) = waiting.remove(&ticket).expect("each ticket waits");
            send(index, arrived, &mut running, &mut queue);
        }
        for (ticket, _) in dispatcher.expire(now) {
            waiting.remove(&ticket);
        }
        for (index, stream) in streams.iter().enumerate() {
            // Several requests a step if the interval is shorter than one.
            let count = |at: Duration| at.as_micros() / stream.every.as_micros();
            for _ in 0..count(now + STEP) - count(now) {
                number += 1;
                let service = stream.service;
                let request = RequestDemand {
                    service_time: service,
                    slot_time: service,
                    ..demand(stream.customer, stream.priority, number, now, stream.aim_ms)
                };
                let free = capacity(&running, &queue, now);
                let arrival = dispatcher.arrive(now, request, free, &options);
                if let Some((evicted, _)) = arrival.evicted {
                    waiting.remove(&evicted);
                }
                match arrival.decision {
                    ArrivalDecision::Send => {
                        send(index, now, &mut running, &mut queue);
                    }
                    ArrivalDecision::Wait(ticket) => {
                        waiting.insert(ticket, (index, now));
                    }
                    ArrivalDecision::Reject(_) => {}
                }
            }
        }
        now += STEP;
    }
    for stream in streams {
        let count = (now.as_micros() / stream.every.as_micros()) as u32;
        served.entry(stream.customer).or_default().requested += count;
    }
    served
}

/// Guards against an order that lets one load pattern take what others need: each case has the
/// minimum share of in-time answers of each customer.
#[test]
fn each_customer_is_served_in_its_order() {
    struct Case {
        name: &'static str,
        slots: usize,
        streams: Vec<Stream>,
        /// Customers with the minimum share of their requests that are answered in time.
        min_shares: &'static [(&'static str, f64)],
    }
    let stream = |customer, priority, every_us, service_ms, aim_ms| Stream {
        customer,
        priority,
        every: Duration::from_micros(every_us),
        service: millis(service_ms),
        aim_ms,
    };
    // Four slots of 10 ms serve 400 requests a second.
    let cases = [
        Case {
            name: "no contention",
            slots: 4,
            streams: vec![stream("a", 0, 10_000, 10, 100), stream("b", 1, 10_000, 10, 100)],
            min_shares: &[("a", 1.0), ("b", 1.0)],
        },
        Case {
            name: "a customer with 7.5 times its usual demand",
            slots: 4,
            streams: vec![
                stream("small", 0, 8_000, 10, 150),
                stream("usual", 0, 8_000, 10, 150),
                stream("skewed", 0, 1_066, 10, 150),
            ],
            // Together they need three times the capacity; the two within their shares lose
            // almost nothing.
            min_shares: &[("small", 0.95), ("usual", 0.95), ("skewed", 0.1)],
        },
        Case {
            name: "long and short work",
            slots: 4,
            streams: vec![stream("short", 0, 5_000, 5, 150), stream("long", 0, 10_000, 80, 600)],
            min_shares: &[("short", 0.95), ("long", 0.25)],
        },
        Case {
            name: "urgent requests below capacity, less urgent ones above it",
            slots: 4,
            streams: vec![stream("urgent", 0, 5_000, 7, 50), stream("patient", 1, 5_000, 20, 200)],
            min_shares: &[("urgent", 0.95), ("patient", 0.35)],
        },
        Case {
            name: "three ranks in saturation by the most urgent",
            slots: 4,
            streams: vec![
                stream("first", 0, 1_250, 10, 100),
                stream("second", 1, 10_000, 10, 400),
                stream("third", 2, 10_000, 10, 1_200),
            ],
            // An eighth of the slots is reserved for each: 50 requests a second of 100.
            min_shares: &[("first", 0.25), ("second", 0.25), ("third", 0.25)],
        },
    ];
    for case in cases {
        let served = run(&case.streams, case.slots);
        for (customer, min_share) in case.min_shares {
            let share = served[customer].share();
            assert!(share >= *min_share, "{}: {customer} {share:.3}: {served:?}", case.name);
        }
    }
}

/// Guards against a customer that takes more than its share of the slot time by longer work: two
/// customers of the same priority that both ask for more than half receive about as much.
#[test]
fn slot_time_is_divided_equally() {
    let stream = |customer, every_ms, service_ms, aim_ms| Stream {
        customer,
        priority: 0,
        every: millis(every_ms),
        service: millis(service_ms),
        aim_ms,
    };
    let served = run(&[stream("short", 2, 10, 300), stream("long", 8, 40, 300)], 4);
    let ratio = served["long"].work.as_secs_f64() / served["short"].work.as_secs_f64();
    assert!((0.8..1.25).contains(&ratio), "{ratio}: {served:?}");
}

/// Guards against a slow target whose waiting requests hold back those for other targets.
#[test]
fn requests_for_other_targets_overtake() {
    let (options, now) = (Options::default(), millis(100));
    let mut dispatcher = Dispatcher::default();
    let slow = demand("a", 0, 1, now, 1_000);
    let ArrivalDecision::Wait(slow) = dispatcher.arrive(now, slow, FULL, &options).decision else {
        panic!("the window is full");
    };
    let other = demand("b", 0, 2, now, 1_000);
    let ArrivalDecision::Wait(other) = dispatcher.arrive(now, other, FREE, &options).decision
    else {
        panic!("an earlier request waits");
    };
    let capacity = |ticket| if ticket == slow { FULL } else { FREE };
    assert_eq!(dispatcher.next(now, capacity, &options), Some(other));
    assert_eq!(dispatcher.next(now, capacity, &options), None);
    assert_eq!(dispatcher.waiting(), 1);
    assert_eq!(dispatcher.counts().overtook, 0, "both arrived at the same time");
}

const FULL: ExpectedCapacity = ExpectedCapacity { window_full: true, ..FREE };

/// Guards against an unbounded queue, and against one filled by less urgent requests that rejects
/// urgent ones.
#[test]
fn a_full_queue_rejects_the_least_urgent_newest() {
    let options = Options { waiting_limit: 3, ..Options::default() };
    let mut dispatcher = Dispatcher::default();
    let mut arrive = |priority, number, at| {
        let request = demand("a", priority, number, millis(at), 1_000);
        dispatcher.arrive(millis(at), request, FULL, &options)
    };
    let ticket = |decision| match decision {
        ArrivalDecision::Wait(ticket) => ticket,
        other => panic!("{other:?}"),
    };
    let first = ticket(arrive(1, 1, 10).decision);
    let second = ticket(arrive(1, 2, 11).decision);
    let _third = ticket(arrive(0, 3, 12).decision);
    assert!(matches!(arrive(1, 4, 13).decision, ArrivalDecision::Reject(_)));
    let fourth = arrive(0, 5, 14);
    assert_eq!(fourth.evicted.map(|(ticket, _)| ticket), Some(second));
    let fifth = arrive(0, 6, 15);
    assert_eq!(fifth.evicted.map(|(ticket, _)| ticket), Some(first));
    assert!(matches!(arrive(0, 7, 16).decision, ArrivalDecision::Reject(_)));
    assert_eq!(dispatcher.waiting(), 3);
}

/// Guards against answers that are late although their lateness was known at arrival, and against
/// a time to retry that is too early.
#[test]
fn a_request_that_would_be_late_is_rejected_at_once() {
    struct Case {
        wait_ms: u64,
        /// Time until capacity is expected; `None` if the request is not rejected.
        after_ms: Option<u64>,
    }
    // Of 100 ms, a quarter is reserved for the answer.
    let cases = [
        Case { wait_ms: 0, after_ms: None },
        Case { wait_ms: 70, after_ms: None },
        Case { wait_ms: 80, after_ms: Some(20) },
        Case { wait_ms: 175, after_ms: Some(100) },
    ];
    for case in cases {
        let mut dispatcher = Dispatcher::default();
        let request = demand("a", 0, 1, Duration::ZERO, 100);
        let options = Options::default();
        let arrival = dispatcher.arrive(Duration::ZERO, request, busy(case.wait_ms), &options);
        let after = match arrival.decision {
            ArrivalDecision::Reject(rejection) => Some(rejection.after),
            _ => None,
        };
        assert_eq!(after, case.after_ms.map(millis), "{} ms", case.wait_ms);
    }
}

/// Guards against requests that a resumed host sends although they expired while it was suspended.
#[test]
fn a_resumed_host_rejects_what_expired() {
    let options = Options::default();
    let mut dispatcher = Dispatcher::default();
    let short = demand("a", 0, 1, Duration::ZERO, 100);
    let long = demand("b", 1, 2, Duration::ZERO, 60_000);
    let short = dispatcher.arrive(Duration::ZERO, short, FULL, &options);
    let ArrivalDecision::Wait(short) = short.decision else { panic!("the window is full") };
    dispatcher.arrive(Duration::ZERO, long, FULL, &options);
    let resumed = millis(8_000);
    // The urgent one is first in order, and slots are free.
    assert!(dispatcher.next(resumed, |_| FREE, &options).is_some_and(|ticket| ticket != short));
    let expired = dispatcher.expire(resumed);
    assert_eq!(expired.len(), 1);
    assert_eq!(expired[0].0, short);
}

/// Guards against retries that count as new demand or lose their place to requests that arrived
/// after their first attempt.
#[test]
fn a_retry_keeps_its_place() {
    let options = Options::default();
    let mut dispatcher = Dispatcher::default();
    let mut wait = |number, at: u64| {
        let request = demand("a", 0, number, millis(at), 1_000);
        match dispatcher.arrive(millis(at), request, FULL, &options).decision {
            ArrivalDecision::Wait(ticket) => ticket,
            other => panic!("{other:?}"),
        }
    };
    let left = wait(1, 0);
    let second = wait(2, 10);
    dispatcher.leave(left);
    let request = demand("a", 0, 1, millis(20), 1_000);
    let retry = dispatcher.arrive(millis(20), request, FULL, &options).decision;
    let counts = dispatcher.counts();
    assert_eq!((counts.requested, counts.retried), (2, 1));
    let next = dispatcher.next(millis(30), |_| FREE, &options);
    assert_eq!(next.map(ArrivalDecision::Wait), Some(retry));
    assert_eq!(dispatcher.next(millis(30), |_| FREE, &options), Some(second));
}

/// Guards against a burst of less urgent requests whose queue at the targets delays urgent ones.
#[test]
fn less_urgent_requests_leave_slots_to_urgent_ones() {
    let options = Options::default();
    let mut dispatcher = Dispatcher::default();
    let urgent = demand("urgent", 0, 1, Duration::ZERO, 50);
    dispatcher.arrive(Duration::ZERO, urgent, FREE, &options);
    let mut arrive = |at: u64, wait_ms| {
        let request = demand("patient", 1, at, millis(at), 200);
        dispatcher.arrive(millis(at), request, busy(wait_ms), &options).decision
    };
    assert_eq!(arrive(1, 7), ArrivalDecision::Send);
    assert!(matches!(arrive(2, 8), ArrivalDecision::Wait(_)), "above 0.15 of 50 ms");
    // No urgent request has arrived for a second.
    let next = dispatcher.next(millis(1_001), |_| busy(8), &options);
    assert!(next.is_none(), "it would have had to be sent by 152 ms");
    assert_eq!(dispatcher.expire(millis(1_001)).len(), 1);
    let late = demand("patient", 1, 3, millis(1_002), 200);
    let arrival = dispatcher.arrive(millis(1_002), late, busy(8), &options);
    assert_eq!(arrival.decision, ArrivalDecision::Send);
}
