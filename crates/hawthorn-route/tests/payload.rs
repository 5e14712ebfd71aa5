//! Kinds of payloads in membership datagrams.

use std::collections::HashSet;

use hawthorn_route::payload;
use hawthorn_route::payload::Error;
use hawthorn_route::payload::PayloadKind;
use hawthorn_route::quarantine::gossip::QuarantineMessage;
use strum::IntoEnumIterator;

/// Guards against quarantine messages that hosts of the previous version cannot read, and messages
/// of theirs that this version cannot read.
#[test]
fn quarantine_messages_have_the_bytes_of_the_previous_version() {
    for message in [QuarantineMessage::Notices(Vec::new()), QuarantineMessage::RequestNotices] {
        let bytes = postcard::to_stdvec(&message).expect("plain data always encodes into memory");
        assert_eq!(payload::wrap(PayloadKind::Quarantine, bytes.clone()), bytes);
        assert_eq!(payload::open(&bytes), Ok((PayloadKind::Quarantine, &*bytes)));
    }
}

/// Guards against a kind that is read as another one.
#[test]
fn each_kind_is_read_back() {
    let mut seen = HashSet::new();
    for kind in PayloadKind::iter() {
        assert!(seen.insert(kind as u8), "{kind:?}");
        let wrapped = payload::wrap(kind, vec![1, 2, 3]);
        assert_eq!(payload::open(&wrapped), Ok((kind, [1, 2, 3].as_slice())), "{kind:?}");
    }
}

/// Guards against a failure on a payload of a later version.
#[test]
fn unknown_payloads_are_errors() {
    struct Case {
        payload: &'static [u8],
        error: Error,
    }
    let cases = [
        Case { payload: &[], error: Error::Empty },
        Case { payload: &[200], error: Error::UnknownKind(200) },
        Case { payload: &[255, 0], error: Error::UnknownKind(255) },
    ];
    for Case { payload, error } in cases {
        assert_eq!(payload::open(payload), Err(error), "{payload:?}");
    }
}
