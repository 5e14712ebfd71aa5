//! The greatest records of many parts.

/// Bytes of one record.
pub const RECORD_BYTES: usize = 16;

/// One record, compared byte by byte.
pub type RecordBytes = [u8; RECORD_BYTES];

/// Keeps the greatest records of all parts; equal records all count.
#[derive(Clone, Debug)]
pub struct TopRecords {
    top: usize,
    records: Vec<RecordBytes>,
}

impl TopRecords {
    /// Keeps at most `top` records.
    pub fn new(top: usize) -> Self {
        Self { top, records: Vec::new() }
    }

    /// Takes in a part's body; a remainder shorter than a record is none.
    pub fn add(&mut self, body: &[u8]) {
        let (records, _remainder) = body.as_chunks::<RECORD_BYTES>();
        self.records.extend_from_slice(records);
        self.records.sort_unstable_by(|a, b| b.cmp(a));
        self.records.truncate(self.top);
    }

    /// The records one after the other, the greatest first.
    pub fn into_body(self) -> Vec<u8> {
        self.records.concat()
    }
}
