//! Where this host hears of the store's items: from the store, or from a host
//! of its zone that watches it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hawthorn_fleet::MemberId;
use hawthorn_platform::store;
use hawthorn_platform::store::ReadMode;
use hawthorn_platform::store::StoreItems;
use hawthorn_route::mirror;
use hawthorn_route::mirror::MirrorItem;
use hawthorn_route::mirror::MirrorUpdate;
use hawthorn_store::ReadError;
use hawthorn_store::StoreClient;
use hawthorn_store::UncertainCause;
use hawthorn_store::client::CallKind;
use http::StatusCode;
use log::Level;
use rand::RngExt;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::connection::message::CatalogNews;
use crate::edge_event;
use crate::process::catalog;
use crate::process::clock::host_now;
use crate::process::events::EdgeEvent;
use crate::process::fleet;
use crate::process::host::RouteHost;
use crate::process::traffic::TrafficPurpose;

/// How long a watch of the store waits for news. An answer that is lost on the
/// way shows only when the watch should have ended; a longer wait saves a few
/// calls a minute.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// After news the next watch is made so much later: targets of one release or
/// one repartition come within a second, and each watch is a call that costs.
/// So is the first watch after the start.
const SETTLE_TIME: Duration = Duration::from_millis(250);
/// Pause after a call that brought nothing, in seconds: short, as a store that
/// is back should be heard of within half a second, and drawn, so that hosts
/// return apart.
const LEAST_PAUSE: f64 = 0.25;
const MOST_PAUSE: f64 = 0.6;
/// How long a peer is asked to wait for news: a peer that has gone silent is
/// noticed after it.
const PEER_WAIT: Duration = Duration::from_millis(900);
/// A watch that waits says nothing of whether the store still answers this
/// host, so that is asked so often, by a read that costs a tenth.
const CHECK_PERIOD: Duration = Duration::from_millis(800);
/// Such a read takes a few milliseconds, and a few hundred of a slow store.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Checks in a row that show news which the watch did not bring: it is dead.
const MOST_BEHIND: u32 = 2;
/// A peer that the store has not confirmed for so long is no source: two
/// checks. With the reading that follows, news is in force within 3 s although
/// every host that feeds a zone was cut off from the store at once.
const MOST_AGE: Duration = Duration::from_millis(1800);
/// A host that does not feed its zone and found the store away too asks it again
/// only so much later, in seconds: its peers will have heard first, and a fleet
/// that asks together keeps a store from coming back.
const LEAST_REST: f64 = 1.5;
const MOST_REST: f64 = 2.5;
/// A host that hears in heartbeats that others know more waits so long for its
/// source to tell it, and then asks them.
const BEHIND_TIME: Duration = Duration::from_millis(250);

/// While the link has no room for a bulk message, it is looked at again so often.
const BULK_PAUSE: Duration = Duration::from_millis(50);

/// Where the next news is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NewsSource {
    /// The store, as this host feeds its zone, or as nobody else does.
    Store {
        feeds: bool,
    },
    Peer(SocketAddr),
}

enum WatchEnd {
    News(StoreItems),
    HistoryGone,
    Lost(ReadError),
}

/// Follows the store's items for as long as the process lives.
pub(crate) async fn follow(host: Rc<RouteHost>, client: StoreClient) {
    let mut reachable = true;
    // A reading that may be seconds old costs the store little, and a peer's link much.
    ask_store(&host, &client, &mut reachable, true).await;
    loop {
        match choose(&host) {
            NewsSource::Store { feeds } => ask_store(&host, &client, &mut reachable, feeds).await,
            NewsSource::Peer(peer) => ask_peer(&host, peer).await,
        }
    }
}

/// The store, where this host feeds its zone; else the first host that does
/// and answers.
fn choose(host: &RouteHost) -> NewsSource {
    let members = host.members.borrow();
    let zone = &host.beliefs.settings.host.zone;
    let me = MemberId::of(&host.beliefs.settings.host.name);
    let address = |id| members.record_by_id(MemberId(id)).map(|record| record.place.peer);
    let ranked = mirror::rank(&fleet::staying_hosts(&members, zone));
    let trusted =
        |id: &u64| *id == me.0 || address(*id).is_some_and(|peer| !host.links.is_suspect(peer));
    let answering: Vec<u64> = ranked.iter().copied().filter(trusted).collect();
    let zones = members.zones().count();
    let source = answering.iter().copied().find(|id| *id != me.0).and_then(address);
    match source {
        Some(peer) if !mirror::is_watcher(&answering, me.0, zones) => NewsSource::Peer(peer),
        _ => NewsSource::Store { feeds: mirror::is_watcher(&ranked, me.0, zones) },
    }
}

/// Whether this host reads the store, and not a host of its zone that does.
pub(crate) fn reads_for_zone(host: &RouteHost) -> bool {
    matches!(choose(host), NewsSource::Store { .. })
}

async fn ask_store(host: &RouteHost, client: &StoreClient, reachable: &mut bool, feeds: bool) {
    let after = host.mirror.borrow().as_of();
    let read = if after == 0 {
        // The watch that follows brings at once what a recent reading lacks.
        read_all(client, ReadMode::Recent).await.map(|all| (all, true))
    } else {
        match watch(host, client, after).await {
            WatchEnd::News(news) => Ok((news, false)),
            WatchEnd::HistoryGone => read_all(client, ReadMode::Exact).await.map(|all| (all, true)),
            WatchEnd::Lost(error) => Err(error),
        }
    };
    match read {
        Ok((read, whole)) => {
            note_store(reachable, None);
            host.confirm(host_now());
            let count = read.items.len();
            let news = MirrorUpdate { items: read.items, as_of: read.as_of, complete: whole };
            edge_event!(
                Level::Debug,
                EdgeEvent::StoreNews,
                "after={after} as_of={} items={count} whole={whole}",
                news.as_of
            );
            // At the start, the hosts of the zone are known by then.
            if take(host, news) && (!whole || after == 0) {
                sleep(SETTLE_TIME).await;
            }
        }
        Err(error) => {
            note_store(reachable, Some(&error));
            let pause = if feeds { LEAST_PAUSE..MOST_PAUSE } else { LEAST_REST..MOST_REST };
            let seconds = rand::rng().random_range(pause);
            sleep(Duration::from_secs_f64(seconds)).await;
        }
    }
}

async fn ask_peer(host: &RouteHost, peer: SocketAddr) {
    let after = host.mirror.borrow().as_of();
    let route = host.peer_route(peer, TrafficPurpose::Catalog);
    // A peer that does not answer is suspect from now on, and another is chosen.
    let Ok(news) = host.links.news(&route, after, PEER_WAIT).await else { return };
    let age = Duration::from_millis(news.age_ms);
    if age > MOST_AGE {
        edge_event!(Level::Warn, EdgeEvent::PeerStale, "peer={peer} age_ms={}", news.age_ms);
        host.links.suspect(peer);
    }
    take_from_peer(host, news);
}

fn take_from_peer(host: &RouteHost, news: CatalogNews) {
    let age = Duration::from_millis(news.age_ms);
    if news.as_of == 0 || news.age_ms == u64::MAX {
        return;
    }
    let confirmed = host_now().saturating_sub(age);
    if news.as_of >= host.mirror.borrow().as_of() {
        host.confirm(confirmed);
    }
    let items = news.items.into_iter();
    let items = items.map(|(key, revision, value)| MirrorItem { key, revision, value }).collect();
    take(host, MirrorUpdate { items, as_of: news.as_of, complete: news.whole });
}

fn take(host: &RouteHost, news: MirrorUpdate) -> bool {
    let before = host.mirror.borrow().as_of();
    let changed = catalog::take(host, news);
    if host.mirror.borrow().as_of() > before {
        host.news.notify_waiters();
    }
    changed
}

/// Asks a peer whose heartbeat shows that it knows more, if that is still so
/// after this host's own source had time to tell.
///
/// Failure: the host that feeds a zone is cut off from the store unnoticed, and
/// the zone goes on by an older configuration while others have a newer one.
pub(crate) async fn catch_up(host: Rc<RouteHost>, peer: SocketAddr, as_of: u64) {
    if as_of <= host.mirror.borrow().as_of() || host.catching_up.replace(true) {
        return;
    }
    sleep(BEHIND_TIME).await;
    let after = host.mirror.borrow().as_of();
    let route = host.peer_route(peer, TrafficPurpose::Catalog);
    if as_of > after
        && let Ok(news) = host.links.news(&route, after, Duration::ZERO).await
    {
        edge_event!(
            Level::Info,
            EdgeEvent::CaughtUp,
            "peer={peer} after={after} as_of={}",
            news.as_of
        );
        take_from_peer(&host, news);
    }
    host.catching_up.set(false);
}

/// Answers a peer, once there is news or its wait is over.
pub(crate) async fn tell(
    host: Rc<RouteHost>,
    after: u64,
    wait: Duration,
    mut reply: oneshot::Sender<CatalogNews>,
) {
    let until = host_now() + wait;
    if host.mirror.borrow().as_of() <= after {
        // A peer learns at once that this host is no source any more.
        let age = host.confirmed_age().unwrap_or(MOST_AGE);
        let wait = wait.min(MOST_AGE.saturating_sub(age));
        let waited = timeout(wait, host.news.notified());
        tokio::select! {
            // News or not, what is known now is the answer.
            _ = waited => {}
            () = reply.closed() => return,
        }
    }
    let news = loop {
        let news = host.mirror.borrow().since(after);
        let now = host_now();
        match host.reserve_bulk(now, news.bytes()) {
            Some(delay) => {
                sleep(delay).await;
                break news;
            }
            // The reader asks again when its wait is over.
            None if now + BULK_PAUSE > until => {
                break MirrorUpdate { as_of: after, ..MirrorUpdate::default() };
            }
            None => sleep(BULK_PAUSE).await,
        }
    };
    let age_ms = host.confirmed_age().map_or(u64::MAX, |age| age.as_millis() as u64);
    let items = news.items.into_iter();
    let items = items.map(|item| (item.key, item.revision, item.value)).collect();
    let told = CatalogNews { items, as_of: news.as_of, whole: news.complete, age_ms };
    // The peer may have gone in this moment.
    let _gone = reply.send(told);
}

/// One line when the store is lost, one when it is back.
fn note_store(reachable: &mut bool, error: Option<&ReadError>) {
    match error {
        Some(error) if *reachable => {
            *reachable = false;
            edge_event!(Level::Warn, EdgeEvent::StoreLost, "error=\"{error:?}\"");
        }
        None if !*reachable => {
            *reachable = true;
            edge_event!(Level::Info, EdgeEvent::StoreBack, "");
        }
        _ => {}
    }
}

fn readable(body: &Bytes) -> Result<StoreItems, ReadError> {
    store::items(body).map_err(|_| ReadError::NoAnswer(UncertainCause::BadAnswer))
}

/// Waits for news, and makes sure meanwhile that the store answers this host.
///
/// Failure: the store takes no calls of this host, or the watch's answer was
/// lost on the way; nothing shows it, and the zone goes on by old news for as
/// long as the watch waits. A read that costs a tenth shows both.
async fn watch(host: &RouteHost, client: &StoreClient, after: u64) -> WatchEnd {
    let mut waiting = std::pin::pin!(wait_for_news(client, after));
    let mut behind = 0;
    loop {
        tokio::select! {
            biased;
            end = waiting.as_mut() => return end,
            () = sleep(CHECK_PERIOD) => {}
        }
        match timeout(CHECK_TIMEOUT, check(client)).await {
            Ok(Some(as_of)) if as_of <= after => {
                behind = 0;
                host.confirm(host_now());
            }
            Ok(Some(_)) => behind += 1,
            // The host's age grows, and its peers turn to others.
            Ok(None) | Err(_) => {}
        }
        if behind >= MOST_BEHIND {
            return WatchEnd::Lost(ReadError::NoAnswer(UncertainCause::Timeout));
        }
    }
}

/// The store's revision, perhaps seconds old.
async fn check(client: &StoreClient) -> Option<u64> {
    let read = client.read_path(CallKind::Get, store::cheap_path(), Duration::ZERO).await;
    match read {
        Ok((StatusCode::OK, body)) => store::as_of(&body).ok(),
        _ => None,
    }
}

async fn wait_for_news(client: &StoreClient, after: u64) -> WatchEnd {
    let path = store::watch_path(after, WATCH_WAIT);
    match client.read_path(CallKind::Watch, path, WATCH_WAIT).await {
        Ok((StatusCode::OK, body)) => match readable(&body) {
            Ok(news) => WatchEnd::News(news),
            Err(error) => WatchEnd::Lost(error),
        },
        Ok((StatusCode::GONE, _)) => WatchEnd::HistoryGone,
        Ok(_) => WatchEnd::Lost(ReadError::NoAnswer(UncertainCause::BadAnswer)),
        Err(error) => WatchEnd::Lost(error),
    }
}

/// All items. Pages are no snapshot, and recent ones may be of any order in time: the
/// least revision is kept, so that the watch brings again what any of them may lack.
async fn read_all(client: &StoreClient, mode: ReadMode) -> Result<StoreItems, ReadError> {
    let mut all = StoreItems { items: Vec::new(), more: true, as_of: u64::MAX };
    while all.more {
        let after = all.items.last().map(|item| item.key.clone());
        let path = store::page_path(after.as_deref(), mode);
        let page = match client.read_path(CallKind::List, path, Duration::ZERO).await? {
            (StatusCode::OK, body) => readable(&body)?,
            _ => return Err(ReadError::NoAnswer(UncertainCause::BadAnswer)),
        };
        all.as_of = all.as_of.min(page.as_of);
        all.more = page.more && !page.items.is_empty();
        all.items.extend(page.items);
    }
    Ok(all)
}
