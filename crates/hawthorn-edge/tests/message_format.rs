//! The layout of calls between hosts, and the format that keeps hosts of other layouts apart.

use hawthorn_edge::connection::message::CatalogUpdate;
use hawthorn_edge::connection::message::FORMAT;
use hawthorn_edge::connection::message::GatherReply;
use hawthorn_edge::connection::message::GatherRequest;
use hawthorn_edge::connection::message::PeerCustomer;
use hawthorn_edge::connection::message::PeerLoad;
use hawthorn_edge::connection::message::Remainder;
use hawthorn_edge::connection::message::RequestDeadlines;
use hawthorn_edge::connection::message::TimedReply;
use hawthorn_edge::connection::message::TokenReply;
use hawthorn_fleet::message::MESSAGE_FORMAT;
use hawthorn_route::mirror::RestoreBase;
use hawthorn_route::packing::ItemValue;
use hawthorn_route::packing::PackedValue;
use hawthorn_route::revision::StoreRevision;
use serde::Serialize;

fn encoded(message: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(message).expect("plain data always encodes into memory")
}

fn replies() -> [GatherReply; 6] {
    let load = PeerLoad { waits_us: vec![1, 2], rejected: 3, skipped: 4 };
    let remainder = Some(Remainder { token: 5, parts: 6 });
    let (receipts, records) = (vec![vec![7]], vec![8, 9]);
    [
        GatherReply::Parts { receipts, records, missing: 10, load, remainder },
        GatherReply::OtherVersion,
        GatherReply::Stopping,
        GatherReply::Unreadable,
        GatherReply::StaleKeys,
        GatherReply::Overloaded { after_us: 11 },
    ]
}

fn request() -> GatherRequest {
    GatherRequest {
        format: FORMAT,
        method: "GET".to_owned(),
        uri: "/all/".to_owned(),
        headers: vec![("host".to_owned(), vec![1])],
        body: vec![2],
        attempt_id: Some("id".to_owned()),
        version: 3,
        route: "route".to_owned(),
        shards: vec![4, 5],
        max_missing: 6,
        max_skipped: 7,
        prior_attempts: 8,
        commit_token: Some(15),
        time_left_us: 9,
        soft_time_left_us: 10,
        deadlines: Some(RequestDeadlines { deadline_us: 11, soft_deadline_us: 12 }),
        caller: 13,
        answered: true,
        customer: Some(PeerCustomer { name: "shop".to_owned(), key_index: 14 }),
    }
}

fn update() -> CatalogUpdate {
    let packed = PackedValue { base: Some(5), length: 6, frame: vec![7] };
    CatalogUpdate {
        items: vec![
            ("deleted".to_owned(), 1, ItemValue::Deleted),
            ("plain".to_owned(), 2, ItemValue::Plain(vec![3])),
            ("packed".to_owned(), 4, ItemValue::Packed(packed)),
        ],
        as_of: StoreRevision::new(3, 4),
        complete: true,
        base: Some(RestoreBase { revision: StoreRevision::new(5, 6), checksum: 7 }),
        age_us: 8,
        held_us: 9,
    }
}

/// Guards against hosts that become peers although they cannot read each other's calls: each query
/// delegated between them would be lost. A change of a message changes its bytes here, and needs a
/// new [`MESSAGE_FORMAT`]. Like bincode, which is used between hosts, postcard encodes fields and
/// variants by position.
#[test]
fn a_new_layout_has_a_new_format() {
    let tokens = TokenReply { holds: true, granted: 1, next_us: 2, pause_us: 3 };
    let replies = replies().map(|reply| TimedReply { received_us: 1, replied_us: 2, reply });
    let mut bytes = encoded(&request());
    replies.iter().for_each(|reply| bytes.extend(encoded(reply)));
    bytes.extend(encoded(&update()));
    bytes.extend(encoded(&tokens));
    let digest = xxhash_rust::xxh3::xxh3_64(&bytes);
    assert_eq!((MESSAGE_FORMAT, format!("{digest:016x}").as_str()), (8, "412ef84e5304abf7"));
}
