//! In-memory store whose calls take virtual time and fail as configured.
#![allow(dead_code)]

pub mod claims;
pub mod load;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hawthorn_store::DeleteOutcome;
use hawthorn_store::NotRunCause;
use hawthorn_store::ReadError;
use hawthorn_store::Store;
use hawthorn_store::UncertainCause;
use hawthorn_store::WriteOutcome;
use hawthorn_types::platform::StoreEntry;
use hawthorn_types::platform::StorePut;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::sleep;

/// Fault of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// Returns 429; the call does not run.
    RateLimited,
    /// Returns 503; the call does not run, which the client cannot know.
    Outage,
    /// The call runs, but its answer is lost.
    LostAnswer,
    /// The answer is lost immediately, and the call runs after the given delay.
    RunsLater(Duration),
}

/// Rates of random faults, in percent of all calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultRates {
    pub outage: u32,
    pub lost_answer: u32,
    pub runs_later: u32,
    pub rate_limited: u32,
}

#[derive(Debug)]
struct State {
    entries: BTreeMap<String, StoreEntry>,
    revision: u64,
    script: VecDeque<Fault>,
    rates: FaultRates,
    random: StdRng,
    down: bool,
    calls: Calls,
}

/// In-memory store. Clones share the store and the connection.
#[derive(Clone, Debug)]
pub struct FakeStore {
    state: Arc<Mutex<State>>,
    disconnected: Arc<AtomicBool>,
    latency: Duration,
}

/// Calls made so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    pub gets: u64,
    pub puts: u64,
    pub lists: u64,
    pub deletes: u64,
}

impl FakeStore {
    pub fn new(latency: Duration) -> Self {
        Self::seeded(latency, FaultRates::default(), 0)
    }

    pub fn seeded(latency: Duration, rates: FaultRates, seed: u64) -> Self {
        let state = State {
            entries: BTreeMap::new(),
            revision: 0,
            script: VecDeque::new(),
            rates,
            random: StdRng::seed_from_u64(seed),
            down: false,
            calls: Calls::default(),
        };
        Self { state: Arc::new(Mutex::new(state)), disconnected: Arc::default(), latency }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no test panics while it holds the lock")
    }

    /// Sets the faults of the next writes and deletions, in order.
    pub fn script(&self, faults: impl IntoIterator<Item = Fault>) {
        self.lock().script.extend(faults);
    }

    /// The same store over another host's connection.
    pub fn other_host(&self) -> Self {
        Self { disconnected: Arc::default(), ..self.clone() }
    }

    /// Permanently disconnects this host, as a crash would.
    pub fn disconnect(&self) {
        self.disconnected.store(true, Ordering::Relaxed);
    }

    fn is_down(&self, state: &State) -> bool {
        state.down || self.disconnected.load(Ordering::Relaxed)
    }

    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    pub fn stop_random_faults(&self) {
        self.lock().rates = FaultRates::default();
    }

    pub fn calls(&self) -> Calls {
        self.lock().calls
    }

    pub fn value(&self, key: &str) -> Option<String> {
        self.lock().entries.get(key).map(|entry| entry.value.clone())
    }

    pub fn keys(&self) -> Vec<String> {
        self.lock().entries.keys().cloned().collect()
    }

    /// Returns a copy of all entries.
    pub fn backup(&self) -> BTreeMap<String, StoreEntry> {
        self.lock().entries.clone()
    }

    /// Restores a backup, including revisions.
    pub fn restore(&self, backup: BTreeMap<String, StoreEntry>) {
        let mut state = self.lock();
        state.revision = backup.values().map(|entry| entry.revision).max().unwrap_or(0);
        state.entries = backup;
    }

    /// Writes without faults, as another client would.
    pub fn force(&self, key: &str, value: &str) {
        let mut state = self.lock();
        let expect = state.entries.get(key).map_or(0, |entry| entry.revision);
        state.put(key, &StorePut { expect, value: value.to_owned(), lease: None });
    }

    fn write_fault(&self) -> Fault {
        let mut state = self.lock();
        if self.is_down(&state) {
            return Fault::Outage;
        }
        match state.script.pop_front() {
            Some(fault) => fault,
            None => state.random_fault(),
        }
    }

    fn read_fault(&self) -> Fault {
        let mut state = self.lock();
        if self.is_down(&state) { Fault::Outage } else { state.random_fault() }
    }

    /// Runs `effect` now, later or not at all, depending on the fault.
    async fn write<T: Send + 'static>(
        &self,
        effect: impl FnOnce(&mut State) -> T + Send + 'static,
    ) -> Result<T, Fault> {
        let fault = self.write_fault();
        sleep(self.latency).await;
        match fault {
            Fault::None => Ok(effect(&mut self.lock())),
            Fault::RateLimited | Fault::Outage => Err(fault),
            Fault::LostAnswer => {
                effect(&mut self.lock());
                Err(fault)
            }
            Fault::RunsLater(after) => {
                let store = self.clone();
                tokio::spawn(async move {
                    sleep(after).await;
                    effect(&mut store.lock());
                });
                Err(fault)
            }
        }
    }

    async fn read<T>(&self, effect: impl FnOnce(&mut State) -> T) -> Result<T, ReadError> {
        let fault = self.read_fault();
        sleep(self.latency).await;
        match fault {
            Fault::None | Fault::RunsLater(_) => Ok(effect(&mut self.lock())),
            Fault::RateLimited => Err(ReadError::NotRun(NotRunCause::RateLimited)),
            Fault::Outage => Err(ReadError::NoAnswer(UncertainCause::Outage)),
            Fault::LostAnswer => Err(ReadError::NoAnswer(UncertainCause::Timeout)),
        }
    }
}

impl State {
    fn random_fault(&mut self) -> Fault {
        let sample = self.random.random_range(0..100);
        let FaultRates { outage, lost_answer, runs_later, rate_limited } = self.rates;
        let bounds = [outage, outage + lost_answer, outage + lost_answer + runs_later];
        if sample < bounds[0] {
            Fault::Outage
        } else if sample < bounds[1] {
            Fault::LostAnswer
        } else if sample < bounds[2] {
            Fault::RunsLater(Duration::from_millis(self.random.random_range(1..200)))
        } else if sample < bounds[2] + rate_limited {
            Fault::RateLimited
        } else {
            Fault::None
        }
    }

    fn put(&mut self, key: &str, put: &StorePut) -> WriteOutcome {
        let found = self.entries.get(key).map_or(0, |entry| entry.revision);
        if found != put.expect {
            return WriteOutcome::Conflict { found };
        }
        self.revision += 1;
        let entry =
            StoreEntry { key: key.to_owned(), revision: self.revision, value: put.value.clone() };
        self.entries.insert(key.to_owned(), entry);
        WriteOutcome::Written { revision: self.revision }
    }

    fn delete(&mut self, key: &str, expect: u64) -> DeleteOutcome {
        match self.entries.get(key).map(|entry| entry.revision) {
            None => DeleteOutcome::Absent,
            Some(found) if found != expect => DeleteOutcome::Conflict,
            Some(_) => {
                self.entries.remove(key);
                DeleteOutcome::Deleted
            }
        }
    }
}

impl Store for FakeStore {
    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, ReadError> {
        self.lock().calls.gets += 1;
        self.read(|state| state.entries.get(key).cloned()).await
    }

    async fn put(&self, key: &str, put: StorePut) -> WriteOutcome {
        self.lock().calls.puts += 1;
        let key = key.to_owned();
        match self.write(move |state| state.put(&key, &put)).await {
            Ok(outcome) => outcome,
            Err(Fault::RateLimited) => WriteOutcome::NotRun(NotRunCause::RateLimited),
            Err(Fault::Outage) => WriteOutcome::Uncertain(UncertainCause::Outage),
            Err(_) => WriteOutcome::Uncertain(UncertainCause::Timeout),
        }
    }

    async fn delete(&self, key: &str, expect: u64) -> DeleteOutcome {
        self.lock().calls.deletes += 1;
        let key = key.to_owned();
        match self.write(move |state| state.delete(&key, expect)).await {
            Ok(outcome) => outcome,
            Err(Fault::RateLimited) => DeleteOutcome::NotRun(NotRunCause::RateLimited),
            Err(Fault::Outage) => DeleteOutcome::Uncertain(UncertainCause::Outage),
            Err(_) => DeleteOutcome::Uncertain(UncertainCause::Timeout),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoreEntry>, ReadError> {
        self.lock().calls.lists += 1;
        let listed = |state: &mut State| {
            let entries = state.entries.values().filter(|entry| entry.key.starts_with(prefix));
            entries.map(|entry| StoreEntry { value: String::new(), ..entry.clone() }).collect()
        };
        self.read(listed).await
    }
}
