//! Decisions on requests that are routed by host and path prefix, as pure state machines.
//!
//! | module | responsibility |
//! |---|---|
//! | [`admission`] | admission control for scatter-gather queries |
//! | [`budget`] | retry budgets: the number of extra attempts per service |
//! | [`clock_offset`] | offsets of peers' clocks, and deadlines of gather requests |
//! | [`cold`] | request limits of targets that have just started |
//! | [`completion`] | expected completion time of a request at a target |
//! | [`confirmation`] | when the store confirmed a host's mirror |
//! | [`customer`] | customers of a configuration: keys, priorities and quotas |
//! | [`dispatch`] | order of a host's requests while capacity is short |
//! | [`document`] | the operators' configuration of routes, services and caller limits |
//! | [`evacuation`] | zones that operators have evacuated |
//! | [`fingerprint`] | identification of requests with the same content |
//! | [`gather`] | when a scatter-gather query is answered, and with which parts |
//! | [`gatherers`] | hosts of a zone that gather queries for the others |
//! | [`mod@hedge`] | hedged requests: when a second attempt is sent |
//! | [`home`] | regions in which a route's requests may be executed |
//! | [`merge`] | the greatest records of several parts |
//! | [`mirror`] | a host's mirror of the store |
//! | [`outcome`] | outcomes of attempts, and reasons for refusing requests |
//! | [`pace`] | pacing of bulk messages |
//! | [`payload`] | kinds of payloads in membership datagrams |
//! | [`placement`] | selection of the target of an attempt |
//! | [`policy`] | the settings of all of these |
//! | [`quarantine`] | refusal of requests that crash targets |
//! | [`quota`] | limits on customers' requests over all hosts |
//! | [`reachability`] | detection of unreachable zones |
//! | [`refresh`] | which peers a host asks for a confirmation |
//! | [`regather`] | zones in which shards are gathered anew after a peer did not answer |
//! | [`rejection`] | whether a request may be rejected for good |
//! | [`registry`] | all targets and their state |
//! | [`mod@retry_after`] | when a refused caller should retry |
//! | [`revision`] | revisions of the store across its restores |
//! | [`rollout`] | when a version of the routes comes into force |
//! | [`scatter`] | where the part of each shard of a query is requested |
//! | [`mod@send_deadline`] | the deadline for sending an answer |
//! | [`share`] | division of a limit of the whole fleet among hosts |
//! | [`skip`] | shards whose parts are not requested |
//! | [`speed`] | speed of a target, from the latencies of requests |
//! | [`table`] | one version of the routes, indexed for lookups |
//! | [`target`] | state of one target: registration, load, speed and failures |
//! | [`weight`] | selection among the services of a weighted route |
//! | [`zone_report`] | reports within a zone of zones and gatherers that do not answer |
//!
//! Nothing here opens a socket, reads a clock or starts a thread. Time is a
//! [`Duration`](std::time::Duration) since an arbitrary fixed instant of the host.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod admission;
pub mod budget;
pub mod clock_offset;
pub mod cold;
pub mod completion;
pub mod confirmation;
pub mod customer;
pub mod dispatch;
pub mod document;
pub mod evacuation;
pub mod fingerprint;
pub mod gather;
pub mod gatherers;
pub mod hedge;
pub mod home;
pub mod merge;
pub mod mirror;
pub mod outcome;
pub mod packing;
pub mod pace;
pub mod payload;
pub mod placement;
pub mod policy;
pub mod quarantine;
pub mod quota;
pub mod reachability;
pub mod refresh;
pub mod regather;
pub mod registry;
pub mod rejection;
pub mod retry_after;
pub mod revision;
pub mod rollout;
pub mod scatter;
pub mod send_deadline;
pub mod share;
pub mod shutdown;
pub mod skip;
pub mod speed;
pub mod table;
pub mod target;
pub mod weight;
pub mod zone_report;
