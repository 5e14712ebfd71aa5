//! Large values in updates between hosts: as a difference where the reader holds an earlier value,
//! and readable by every reader.

use hawthorn_route::mirror::MirrorItem;
use hawthorn_route::mirror::MirrorUpdate;
use hawthorn_route::mirror::StoreMirror;
use hawthorn_route::packing;
use hawthorn_route::packing::ItemValue;
use hawthorn_route::packing::PackedValue;
use hawthorn_route::packing::ValuePacker;
use hawthorn_route::revision::StoreRevision;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const KEY: &str = "large";
/// Number of parts of a value.
const PARTS: usize = 4000;

/// A value without patterns; `changed` parts differ between seeds.
fn value(seed: u64, changed: usize) -> Vec<u8> {
    let mut text = String::new();
    for part in 0..PARTS {
        let mut rng =
            StdRng::seed_from_u64(if part < changed { seed } else { 0 } + part as u64 * 7);
        text.push_str(&format!("part {part} {:032x}\n", rng.random::<u128>()));
    }
    text.into_bytes()
}

fn update(era: u64, revision: u64, value: &[u8]) -> MirrorUpdate {
    let item = MirrorItem { key: KEY.to_owned(), revision, value: Some(value.to_vec()) };
    let as_of = StoreRevision::new(era, revision);
    MirrorUpdate { items: vec![item], as_of, complete: revision == 1, base: None }
}

/// A mirror that has read these values at revisions 1, 2 and so on.
fn mirror(values: &[&[u8]]) -> StoreMirror {
    let mut mirror = StoreMirror::default();
    for (revision, value) in (1..).zip(values) {
        mirror.apply(update(0, revision, value));
    }
    mirror
}

fn packed(sender: &StoreMirror, reader: &StoreMirror) -> PackedValue {
    let item = sender.with_prefix(KEY).next().expect("the item is there");
    match ValuePacker::default().pack(sender, &item, &reader.held_values()) {
        ItemValue::Packed(packed) => packed,
        other => panic!("not packed: {other:?}"),
    }
}

/// Guards against updates that carry a whole configuration for one change, and against values that
/// a reader cannot restore.
#[test]
fn a_reader_restores_the_value_from_what_it_holds() {
    struct Case {
        name: &'static str,
        /// Number of values that the reader has read.
        held: usize,
        base: Option<u64>,
        max_bytes: usize,
    }
    let (first, second, third) = (value(1, 0), value(2, 3), value(3, 40));
    let values = [&first[..], &second, &third];
    let sender = mirror(&values);
    let cases = [
        Case { name: "holds the value before", held: 2, base: Some(2), max_bytes: 3_000 },
        Case { name: "holds an older value", held: 1, base: Some(1), max_bytes: 3_000 },
        Case { name: "holds none", held: 0, base: None, max_bytes: third.len() * 3 / 4 },
    ];
    for Case { name, held, base, max_bytes } in cases {
        let reader = mirror(&values[..held]);
        let packed = packed(&sender, &reader);
        assert_eq!(packed.base, base, "{name}");
        assert!(packed.frame.len() <= max_bytes, "{name}: {} bytes", packed.frame.len());
        let item = packing::unpack(&reader, KEY.to_owned(), 3, ItemValue::Packed(packed));
        assert_eq!(item.expect(name).value.as_deref(), Some(&third[..]), "{name}");
    }
}

/// Guards against a difference from a value that the reader skipped: it has received several changes
/// as one.
#[test]
fn a_difference_is_from_a_value_that_both_hold() {
    struct Case {
        name: &'static str,
        /// Revisions at which the reader has received the value.
        reader: &'static [u64],
        sender: &'static [u64],
        base: Option<u64>,
    }
    let cases = [
        Case { name: "the sender skipped it", reader: &[1, 5], sender: &[1, 3, 8], base: None },
        Case { name: "both skipped", reader: &[1, 5], sender: &[3, 8], base: None },
        Case {
            name: "the reader skipped it",
            reader: &[1, 3],
            sender: &[1, 3, 5, 8],
            base: Some(3),
        },
        Case { name: "the reader just started", reader: &[5], sender: &[1, 8], base: None },
        Case { name: "none is newer", reader: &[1, 8], sender: &[3, 8], base: Some(8) },
    ];
    let mirror = |revisions: &[u64]| {
        let mut mirror = StoreMirror::default();
        for revision in revisions {
            let text = value(*revision, 3);
            let complete = mirror.as_of() == StoreRevision::NONE;
            mirror.apply(MirrorUpdate { complete, ..update(0, *revision, &text) });
        }
        mirror
    };
    for Case { name, reader, sender, base } in cases {
        let (reader, sender) = (mirror(reader), mirror(sender));
        let packed = packed(&sender, &reader);
        assert_eq!(packed.base, base, "{name}");
        let item = packing::unpack(&reader, KEY.to_owned(), 8, ItemValue::Packed(packed));
        assert_eq!(item.expect(name).value, Some(value(8, 3)), "{name}");
    }
}

/// Guards against a value restored from another base, or one that fills a reader's memory.
#[test]
fn a_packed_value_that_does_not_fit_is_an_error() {
    struct Case {
        name: &'static str,
        reader: StoreMirror,
        change: fn(&mut PackedValue),
    }
    let (first, second) = (value(1, 0), value(2, 3));
    let sender = mirror(&[&first, &second]);
    let case = |name, reader, change| Case { name, reader, change };
    let cases = [
        case("no base", StoreMirror::default(), |_| {}),
        case("another base", mirror(&[&value(9, 2000)]), |_| {}),
        case("damaged", mirror(&[&first]), |packed| packed.frame.truncate(40)),
        case("longer than stated", mirror(&[&first]), |packed| packed.length -= 1),
        case("shorter than stated", mirror(&[&first]), |packed| packed.length += 1),
        case("too long", mirror(&[&first]), |packed| packed.length = u32::MAX),
    ];
    for Case { name, reader, change } in cases {
        let mut packed = packed(&sender, &mirror(&[&first]));
        change(&mut packed);
        let item = packing::unpack(&reader, KEY.to_owned(), 2, ItemValue::Packed(packed));
        assert!(item.is_err(), "{name}");
    }
}

/// Guards against differences from values of an earlier era, whose revisions are given out again.
#[test]
fn a_restored_store_leaves_no_base() {
    let (first, second) = (value(1, 0), value(2, 3));
    let mut sender = mirror(&[&first, &second]);
    let snapshot = MirrorUpdate { complete: true, ..update(1, 2, &first) };
    sender.apply(snapshot);
    assert_eq!(packed(&sender, &mirror(&[&first])).base, None);
    let mut restored = mirror(&[&first]);
    restored.apply(MirrorUpdate { complete: true, ..update(1, 1, &first) });
    assert_eq!(packed(&sender, &restored).base, None);
}

/// Guards against a mirror that asks for the same unreadable difference again.
#[test]
fn a_mirror_requests_a_snapshot_until_it_has_one() {
    let (first, second) = (value(1, 0), value(2, 3));
    let mut reader = mirror(&[&first]);
    reader.request_snapshot();
    assert_eq!(reader.wanted_after(), StoreRevision::NONE);
    assert_eq!(reader.held_values(), []);
    reader.apply(MirrorUpdate { complete: true, ..update(0, 2, &second) });
    assert_eq!(reader.wanted_after(), StoreRevision::new(0, 2));
}
