//! Merges the parts of a query into its greatest records.

/// Size of one record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// One record, in bytewise order.
pub type RecordBytes = [u8; RECORD_BYTES];

/// Keeps the greatest records of all parts, duplicates included.
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

    /// Adds the records of a part's body. A trailing partial record is ignored.
    pub fn add(&mut self, body: &[u8]) {
        let (records, _remainder) = body.as_chunks::<RECORD_BYTES>();
        self.records.extend_from_slice(records);
        self.records.sort_unstable_by(|a, b| b.cmp(a));
        self.records.truncate(self.top);
    }

    /// The concatenated records, greatest first.
    pub fn into_body(self) -> Vec<u8> {
        self.records.concat()
    }
}
