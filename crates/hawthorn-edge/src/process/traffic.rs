//! Traffic between availability zones, by purpose.
//!
//! A host counts both directions of the connections that it opened, and the datagrams that it
//! sent, so that the sum over all hosts counts each byte once. Headers and bodies are counted,
//! but not packet headers or connection setup.

use std::cell::RefCell;
use std::collections::HashMap;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use hyper::HeaderMap;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use tokio::net::TcpStream;
use tokio_util::io::InspectReader;
use tokio_util::io::InspectWriter;

/// The purpose of traffic.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::EnumIter, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum TrafficPurpose {
    /// Requests to targets and their answers.
    Targets,
    /// Queries that a peer gathers, and its replies.
    Gathering,
    /// The store's items, sent by a peer.
    Catalog,
    /// Heartbeats and member lists.
    Membership,
    /// Requests for tokens of quotas, and the replies.
    Quota,
}

/// One purpose's bytes to and from one zone.
pub type TrafficCounter = Arc<AtomicU64>;

#[derive(Debug, Default)]
struct ZoneTraffic {
    bytes: TrafficCounter,
    /// The bytes already exported to the metric.
    exported: u64,
}

/// Bytes to and from other zones since the start.
#[derive(Debug)]
pub struct TrafficAccount {
    zone: Rc<str>,
    zones: RefCell<HashMap<(TrafficPurpose, Rc<str>), ZoneTraffic>>,
}

impl TrafficAccount {
    /// Creates the account of a host in `zone`.
    pub fn new(zone: &str) -> Self {
        Self { zone: Rc::from(zone), zones: RefCell::default() }
    }

    /// The counter of a purpose and a zone; the counter of the host's own zone is not exported.
    pub fn counter(&self, purpose: TrafficPurpose, zone: &str) -> TrafficCounter {
        let mut zones = self.zones.borrow_mut();
        let traffic = zones.entry((purpose, Rc::from(zone))).or_default();
        Arc::clone(&traffic.bytes)
    }

    /// Counts bytes to or from a zone.
    pub fn count(&self, purpose: TrafficPurpose, zone: &str, bytes: usize) {
        if *zone != *self.zone {
            self.counter(purpose, zone).fetch_add(bytes as u64, Ordering::Relaxed);
        }
    }

    /// Adds the bytes since the last export to the metric.
    pub fn export(&self, metric: &Counter<u64>) {
        for ((purpose, zone), traffic) in self.others(&mut self.zones.borrow_mut()) {
            let bytes = traffic.bytes.load(Ordering::Relaxed);
            let labels = [
                KeyValue::new("purpose", <&'static str>::from(*purpose)),
                KeyValue::new("from", self.zone.to_string()),
                KeyValue::new("to", zone.to_string()),
            ];
            metric.add(bytes - traffic.exported, &labels);
            traffic.exported = bytes;
        }
    }

    /// The bytes of each purpose to and from all other zones.
    pub fn totals(&self) -> HashMap<TrafficPurpose, u64> {
        let mut totals = HashMap::new();
        for ((purpose, _), traffic) in self.others(&mut self.zones.borrow_mut()) {
            *totals.entry(*purpose).or_default() += traffic.bytes.load(Ordering::Relaxed);
        }
        totals
    }

    fn others<'a>(
        &'a self,
        zones: &'a mut HashMap<(TrafficPurpose, Rc<str>), ZoneTraffic>,
    ) -> impl Iterator<Item = (&'a (TrafficPurpose, Rc<str>), &'a mut ZoneTraffic)> {
        zones.iter_mut().filter(|((_, zone), _)| *zone != self.zone)
    }
}

type CountBytes = Box<dyn FnMut(&[u8]) + Send + Sync>;

/// A connection whose bytes are counted in both directions.
pub type CountedStream = Pin<Box<InspectReader<InspectWriter<TcpStream, CountBytes>, CountBytes>>>;

/// Wraps a connection, to add its bytes in both directions to `counter`, and those that arrive also
/// to `received`.
pub fn counted(
    stream: TcpStream,
    counter: &TrafficCounter,
    received: &TrafficCounter,
) -> CountedStream {
    let (sent_total, total, received) =
        (Arc::clone(counter), Arc::clone(counter), Arc::clone(received));
    let count_sent: CountBytes = Box::new(move |bytes| {
        sent_total.fetch_add(bytes.len() as u64, Ordering::Relaxed);
    });
    let count_received: CountBytes = Box::new(move |bytes| {
        total.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        received.fetch_add(bytes.len() as u64, Ordering::Relaxed);
    });
    Box::pin(InspectReader::new(InspectWriter::new(stream, count_sent), count_received))
}

/// The size of headers on the wire, in bytes.
pub fn header_bytes(headers: &HeaderMap) -> usize {
    /// Colon, space and line end.
    const PUNCTUATION: usize = 4;
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + PUNCTUATION).sum()
}
