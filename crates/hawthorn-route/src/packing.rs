//! Compact form of large values in the updates that hosts send each other.
//!
//! Handles a configuration of a megabyte that a version changes in one place, and that one host
//! sends to forty others over links of 14 Mbit/s. A value is sent as its difference from the one
//! that the reader holds, or compressed if the reader holds none.

use std::collections::VecDeque;
use std::io;
use std::io::Read;
use std::io::Write;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;
use serde_with::Bytes;
use serde_with::serde_as;
use zstd::stream::read::Decoder;
use zstd::stream::write::Encoder;

use crate::mirror::HeldValue;
use crate::mirror::MirrorItem;
use crate::mirror::StoreMirror;
use crate::revision::StoreRevision;

/// Minimum size of a value that is packed, in bytes. Targets' entries are smaller.
pub const MIN_PACKED_BYTES: usize = 2048;
/// Maximum size of a packed value, in bytes.
const MAX_VALUE_BYTES: usize = 16 << 20;
/// Compression level: the fastest of those that are not meant for speed alone.
const LEVEL: i32 = 1;
/// Bounds of the window, as powers of two: it covers the value and its base.
const MIN_WINDOW_LOG: u32 = 17;
const MAX_WINDOW_LOG: u32 = 25;
/// Maximum number of packed values that are kept for further readers.
const MAX_KEPT: usize = 4;

quick_error! {
    /// Why a packed value could not be unpacked.
    #[derive(Debug)]
    pub enum Error {
        /// The value from which it differs is not held.
        NoBase(key: String, revision: u64) {
            display("no value of {key} at revision {revision}")
        }
        /// It is longer or shorter than stated, or too long.
        Length(stated: u32) {
            display("not the stated {stated} bytes")
        }
        /// It is damaged, or does not belong to the base.
        Damaged(source: io::Error) {
            display("not readable: {source}")
            from()
        }
    }
}

/// The value of an item in an update.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemValue {
    /// The item was deleted.
    Deleted,
    /// The value itself.
    Plain(#[serde_as(as = "Bytes")] Vec<u8>),
    /// A value in compact form.
    Packed(PackedValue),
}

/// A value in compact form.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedValue {
    /// Revision of the same item's value from which it differs; `None` if it stands alone.
    pub base: Option<u64>,
    /// Length of the value, in bytes.
    pub length: u32,
    /// A zstd frame with a checksum, with the base as its prefix.
    #[serde_as(as = "Bytes")]
    pub frame: Vec<u8>,
}

impl ItemValue {
    /// Its size in an update, in bytes.
    pub fn len(&self) -> usize {
        match self {
            Self::Deleted => 0,
            Self::Plain(value) => value.len(),
            Self::Packed(packed) => packed.frame.len(),
        }
    }

    /// Whether it has no bytes in an update.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Packs values, and keeps the last ones for further readers.
#[derive(Debug, Default)]
pub struct ValuePacker {
    kept: VecDeque<KeptValue>,
}

#[derive(Debug)]
struct KeptValue {
    key: String,
    /// Era and number of the value's revision.
    revision: StoreRevision,
    packed: PackedValue,
}

impl ValuePacker {
    /// The value of an item of `mirror` for a reader that states which values it holds.
    pub fn pack(
        &mut self,
        mirror: &StoreMirror,
        item: &MirrorItem,
        held: &[HeldValue],
    ) -> ItemValue {
        let Some(value) = &item.value else { return ItemValue::Deleted };
        if value.len() < MIN_PACKED_BYTES || value.len() > MAX_VALUE_BYTES {
            return ItemValue::Plain(value.clone());
        }
        let stated = held.iter().find(|held| held.key == item.key);
        let shared = stated.and_then(|held| Some((held, mirror.shared_value(held)?)));
        let (base, prefix) = match shared {
            Some((held, value)) => (Some(held.revision.number), value),
            None => (None, &[][..]),
        };
        let revision = StoreRevision::new(mirror.as_of().era, item.revision);
        let is_same = |kept: &&KeptValue| {
            kept.revision == revision && kept.packed.base == base && kept.key == item.key
        };
        if let Some(kept) = self.kept.iter().find(is_same) {
            return ItemValue::Packed(kept.packed.clone());
        }
        let Ok(frame) = compress(value, prefix) else { return ItemValue::Plain(value.clone()) };
        let packed = PackedValue { base, length: value.len() as u32, frame };
        if self.kept.len() == MAX_KEPT {
            self.kept.pop_front();
        }
        let kept = KeptValue { key: item.key.clone(), revision, packed: packed.clone() };
        self.kept.push_back(kept);
        ItemValue::Packed(packed)
    }
}

/// Restores an item of an update for `mirror`, which may hold the value from which it differs.
///
/// # Errors
/// If the mirror does not hold that value, or the packed value is damaged.
pub fn unpack(
    mirror: &StoreMirror,
    key: String,
    revision: u64,
    value: ItemValue,
) -> Result<MirrorItem, Error> {
    let value = match value {
        ItemValue::Deleted => None,
        ItemValue::Plain(value) => Some(value),
        ItemValue::Packed(packed) => {
            let prefix = match packed.base {
                None => &[][..],
                Some(base) => {
                    mirror.value_at(&key, base).ok_or_else(|| Error::NoBase(key.clone(), base))?
                }
            };
            Some(decompress(&packed, prefix)?)
        }
    };
    Ok(MirrorItem { key, revision, value })
}

fn compress(value: &[u8], prefix: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = Encoder::with_ref_prefix(Vec::new(), LEVEL, prefix)?;
    let window_log = (value.len() + prefix.len()).ilog2() + 1;
    encoder.window_log(window_log.clamp(MIN_WINDOW_LOG, MAX_WINDOW_LOG))?;
    // Finds the base's text wherever it has moved.
    encoder.long_distance_matching(true)?;
    encoder.include_checksum(true)?;
    encoder.set_pledged_src_size(Some(value.len() as u64))?;
    encoder.write_all(value)?;
    encoder.finish()
}

fn decompress(packed: &PackedValue, prefix: &[u8]) -> Result<Vec<u8>, Error> {
    let length = packed.length as usize;
    if length > MAX_VALUE_BYTES {
        return Err(Error::Length(packed.length));
    }
    let decoder = Decoder::with_ref_prefix(&packed.frame[..], prefix)?;
    let mut value = Vec::with_capacity(length);
    // One byte more shows a value that is longer than stated.
    decoder.take(u64::from(packed.length) + 1).read_to_end(&mut value)?;
    if value.len() == length { Ok(value) } else { Err(Error::Length(packed.length)) }
}
