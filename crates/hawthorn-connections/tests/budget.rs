//! Which connections may read, and which are closed to make room.

use std::time::Duration;

use hawthorn_connections::budget::ConnectionBudget;
use hawthorn_connections::budget::ConnectionKey;
use hawthorn_connections::budget::FREE_BYTES;
use hawthorn_connections::budget::Full;
use hawthorn_connections::budget::Grant;
use hawthorn_connections::budget::Options;
use hawthorn_connections::budget::READ_BYTES;

const OPTIONS: Options = Options {
    max_connections: 4,
    max_bytes: 4 * READ_BYTES,
    stall: Duration::from_millis(250),
    grace: Duration::from_millis(500),
    min_rate: 64 * 1024,
};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn open(budget: &mut ConnectionBudget, now: Duration) -> ConnectionKey {
    budget.open(now).expect("there is room for the connection")
}

/// Reads `bytes` on a connection as far as they are granted; returns the grant that stopped it.
fn read(
    budget: &mut ConnectionBudget,
    key: ConnectionKey,
    now: Duration,
    bytes: usize,
) -> Option<Grant> {
    let mut left = bytes;
    while left > 0 {
        match budget.grant(key, now, left) {
            Grant::Bytes(granted) => {
                budget.received(key, now, granted);
                left -= granted;
            }
            grant => return Some(grant),
        }
    }
    None
}

/// Guards against uploads that stall and keep out one that does not.
#[test]
fn a_stalled_upload_makes_room_for_another() {
    let mut budget = ConnectionBudget::new(OPTIONS);
    let stalled = open(&mut budget, millis(0));
    let sending = open(&mut budget, millis(0));
    assert_eq!(read(&mut budget, stalled, millis(0), OPTIONS.max_bytes + FREE_BYTES), None);
    let bytes = READ_BYTES + FREE_BYTES;
    // It has not stalled yet.
    assert_eq!(read(&mut budget, sending, millis(100), bytes), Some(Grant::Refused));
    budget.discard(sending);
    budget.close(sending);
    let sending = open(&mut budget, millis(300));
    let later = Grant::Later(Some(stalled));
    assert_eq!(read(&mut budget, sending, millis(300), bytes), Some(later));
    // No other connection is closed while this one is being closed.
    assert_eq!(read(&mut budget, sending, millis(300), READ_BYTES), Some(Grant::Later(None)));
    budget.close(stalled);
    assert_eq!(read(&mut budget, sending, millis(300), READ_BYTES), None);
}

/// Guards against a client that keeps its memory by a byte now and then.
#[test]
fn an_upload_slower_than_the_least_rate_counts_as_stalled() {
    let mut budget = ConnectionBudget::new(OPTIONS);
    let trickling = open(&mut budget, millis(0));
    let sending = open(&mut budget, millis(0));
    assert_eq!(read(&mut budget, trickling, millis(0), OPTIONS.max_bytes + FREE_BYTES - 1), None);
    for at in (100..2000).step_by(100) {
        budget.received(trickling, millis(at), 0);
    }
    let grant = read(&mut budget, sending, millis(1950), READ_BYTES + FREE_BYTES);
    assert_eq!(grant, Some(Grant::Later(Some(trickling))));
}

/// Guards against requests without a body that are refused beside a crowd of uploads.
#[test]
fn the_first_bytes_of_a_request_need_no_room() {
    let mut budget = ConnectionBudget::new(OPTIONS);
    let upload = open(&mut budget, millis(0));
    assert_eq!(read(&mut budget, upload, millis(0), OPTIONS.max_bytes + FREE_BYTES), None);
    let small = open(&mut budget, millis(0));
    assert_eq!(read(&mut budget, small, millis(0), FREE_BYTES), None);
    assert!(budget.complete(small));
    assert_eq!(budget.held(), OPTIONS.max_bytes);
}

/// Guards against a limit that a single request meets, however large operators allow it to be.
#[test]
fn a_request_that_is_alone_is_granted_all() {
    let mut budget = ConnectionBudget::new(OPTIONS);
    let alone = open(&mut budget, millis(0));
    assert_eq!(read(&mut budget, alone, millis(0), 100 * OPTIONS.max_bytes), None);
    assert!(budget.complete(alone));
}

/// Guards against complete requests that take all memory, as they cannot make room.
#[test]
fn complete_requests_leave_room_for_others() {
    let mut budget = ConnectionBudget::new(OPTIONS);
    let first = open(&mut budget, millis(0));
    let second = open(&mut budget, millis(0));
    assert_eq!(read(&mut budget, first, millis(0), 3 * READ_BYTES + FREE_BYTES), None);
    assert!(budget.complete(first));
    assert!(!budget.admits(second, READ_BYTES));
    assert_eq!(read(&mut budget, second, millis(0), READ_BYTES + FREE_BYTES), None);
    assert!(!budget.complete(second));
    budget.answered(first, millis(10));
    assert!(budget.complete(second));
}

/// Guards against memory that stays reserved after the request that held it.
#[test]
fn all_is_released_however_a_request_ends() {
    struct Case {
        name: &'static str,
        end: fn(&mut ConnectionBudget, ConnectionKey),
    }
    let cases = [
        Case { name: "answered", end: |budget, key| budget.answered(key, millis(1)) },
        Case { name: "refused", end: |budget, key| budget.discard(key) },
        Case { name: "disconnected", end: |budget, key| budget.close(key) },
        Case {
            name: "answered and sent",
            end: |budget, key| {
                budget.hold(key, millis(1), 5000);
                budget.answered(key, millis(1));
                budget.sent(key, millis(2), 3000);
                budget.sent(key, millis(2), 2000);
            },
        },
        Case {
            name: "answered and flushed",
            end: |budget, key| {
                budget.hold(key, millis(1), 5000);
                budget.answered(key, millis(1));
                budget.flushed(key);
            },
        },
        Case {
            name: "cut while its answer is sent",
            end: |budget, key| {
                budget.hold(key, millis(1), 5000);
                budget.close(key);
            },
        },
    ];
    for Case { name, end } in cases {
        let mut budget = ConnectionBudget::new(OPTIONS);
        let key = open(&mut budget, millis(0));
        assert_eq!(read(&mut budget, key, millis(0), 2 * READ_BYTES), None, "{name}");
        assert!(budget.complete(key), "{name}");
        end(&mut budget, key);
        assert_eq!(budget.held(), 0, "{name}");
        budget.close(key);
        assert_eq!((budget.held(), budget.count()), (0, 0), "{name}");
    }
}

/// Guards against answers that nobody reads and that stay in memory.
#[test]
fn an_unread_answer_is_dropped_once_memory_is_short() {
    let mut budget = ConnectionBudget::new(OPTIONS);
    let unread = open(&mut budget, millis(0));
    let reading = open(&mut budget, millis(0));
    budget.hold(unread, millis(0), OPTIONS.max_bytes);
    budget.answered(unread, millis(0));
    assert_eq!(budget.relieve(millis(1000)), None, "memory is not short");
    budget.hold(reading, millis(1000), READ_BYTES);
    assert!(budget.is_exceeded());
    assert_eq!(budget.relieve(millis(1000)), Some(unread));
    assert_eq!(budget.relieve(millis(1000)), None, "one at a time");
    budget.close(unread);
    assert!(!budget.is_exceeded());
}

/// Guards against connections that are only open and keep out others; requests that are being served
/// are not cut off.
#[test]
fn the_connection_that_has_been_idle_for_longest_makes_room() {
    let mut budget = ConnectionBudget::new(OPTIONS);
    let serving = open(&mut budget, millis(0));
    budget.received(serving, millis(0), 100);
    assert!(budget.complete(serving));
    let first = open(&mut budget, millis(10));
    let second = open(&mut budget, millis(20));
    let third = open(&mut budget, millis(30));
    assert_eq!(budget.open(millis(100)), Err(Full::Wait), "all may be about to send");
    budget.touch(first, millis(400));
    assert_eq!(budget.open(millis(500)), Err(Full::Evict(second)));
    assert_eq!(budget.open(millis(500)), Err(Full::Wait), "one at a time");
    budget.close(second);
    let fourth = open(&mut budget, millis(500));
    assert_eq!(budget.open(millis(600)), Err(Full::Evict(third)));
    budget.close(third);
    budget.close(first);
    budget.close(fourth);
    assert_eq!(budget.count(), 1);
}
