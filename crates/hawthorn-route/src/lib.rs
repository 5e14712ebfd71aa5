//! Decisions on requests that are routed by host and path prefix, as pure state.
//!
//! | module | its one job |
//! |---|---|
//! | [`document`] | what operators configure: routes, services, callers' limits |
//! | [`table`] | one version of it, made for look-ups |
//! | [`target`] | what is believed of one target: entry, load, speed, failures |
//! | [`cold`] | how many requests targets receive that have just started |
//! | [`evacuation`] | which zones operators have evacuated |
//! | [`home`] | in which regions a route's requests may be run |
//! | [`registry`] | all targets as they register, each belief with its age |
//! | [`rollout`] | when a version of the routes comes into force |
//! | [`placement`] | which target an attempt goes to |
//! | [`mod@hedge`] | when an attempt counts as late |
//! | [`budget`] | how many extra attempts a service may be sent |
//! | [`skip`] | which shards are not asked for, as their parts cannot come in time |
//! | [`scatter`] | where each shard of a query is asked for |
//! | [`weight`] | which part of a weighted route a request goes to |
//! | [`merge`] | the greatest records of many parts |
//! | [`gatherers`] | which hosts of a zone gather for the others |
//! | [`mirror`] | the store's items as this host knows them |
//! | [`pace`] | when bulk messages are sent |
//! | [`admission`] | whether a query is admitted |
//! | [`gather`] | when a query over many shards is answered, and with what |
//! | [`send_deadline`] | when an answer has to leave |
//! | [`clock_offset`] | how a peer's clock stands to this host's |
//! | [`mod@retry_after`] | when a caller that is refused had best come back |
//! | [`fingerprint`] | which requests have the same content |
//! | [`quarantine`] | which requests are refused because they crash targets |
//! | [`reachability`] | which zones cannot be reached |
//! | [`policy`] | the limits of all of these, as operators set them |
//! | [`outcome`] | what an attempt and a request came to |
//!
//! Nothing here opens a socket, reads a clock or starts a thread. Time is a
//! [`Duration`](std::time::Duration) since any fixed instant of the host.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod budget;
pub mod cold;
pub mod send_deadline;
pub mod document;
pub mod admission;
pub mod evacuation;
pub mod fingerprint;
pub mod gather;
pub mod gatherers;
pub mod hedge;
pub mod home;
pub mod merge;
pub mod mirror;
pub mod clock_offset;
pub mod outcome;
pub mod pace;
pub mod placement;
pub mod policy;
pub mod quarantine;
pub mod reachability;
pub mod registry;
pub mod retry_after;
pub mod rollout;
pub mod skip;
pub mod scatter;
pub mod table;
pub mod target;
pub mod weight;
