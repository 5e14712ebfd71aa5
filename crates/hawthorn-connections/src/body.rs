//! Collects a body of unknown or stated length.

/// Size of a body up to which it is kept on the heap.
const SMALL_BODY_BYTES: usize = 16 * 1024;
/// Minimum number of bytes that are reserved at once for any other body.
const MAPPED_BODY_BYTES: usize = 256 * 1024;

/// The body is larger than its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLarge;

/// A body that is being received.
///
/// Its parts are copied, as each may keep a larger read buffer alive. A large body gets a block that
/// the allocator maps on its own and returns to the system: smaller blocks of many sizes would
/// fragment the heap. Pages that are not written take no memory.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    stated_length: usize,
    max_bytes: usize,
}

impl BodyBuffer {
    /// Creates the buffer of a body with a stated length, or 0.
    pub fn new(stated_length: usize, max_bytes: usize) -> Self {
        Self { bytes: Vec::new(), stated_length: stated_length.min(max_bytes), max_bytes }
    }

    /// Adds a part.
    ///
    /// # Errors
    /// When the body exceeds its limit.
    pub fn extend(&mut self, part: &[u8]) -> Result<(), TooLarge> {
        let length = self.bytes.len() + part.len();
        if length > self.max_bytes {
            return Err(TooLarge);
        }
        if self.bytes.capacity() < length {
            let needed = self.stated_length.max(part.len());
            let is_small = self.bytes.is_empty() && needed <= SMALL_BODY_BYTES;
            self.bytes.reserve_exact(if is_small { needed } else { needed.max(MAPPED_BODY_BYTES) });
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    /// The complete body.
    pub fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }
}
