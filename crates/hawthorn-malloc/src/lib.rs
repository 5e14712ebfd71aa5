//! Settings of the C library's allocator.
//!
//! By default glibc keeps large blocks once the process has freed one of their size, and reuses
//! them only for blocks that fit. A process that serves bodies of many sizes then holds the peak of
//! each. With other C libraries, these functions do nothing.
#![deny(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

/// Size in bytes from which a block is mapped on its own, and unmapped when it is freed: glibc's
/// initial value, which it would raise.
#[cfg(target_env = "gnu")]
const MAPPED_BYTES: libc::c_int = 128 * 1024;

/// Has the allocator return every large block to the system when it is freed. Returns whether it
/// will. Must be called before the first large block is freed to have its full effect.
pub fn unmap_large_blocks() -> bool {
    #[cfg(target_env = "gnu")]
    {
        // SAFETY: mallopt is thread-safe and takes no pointers.
        #[allow(unsafe_code)]
        let accepted = unsafe { libc::mallopt(libc::M_MMAP_THRESHOLD, MAPPED_BYTES) };
        accepted == 1
    }
    #[cfg(not(target_env = "gnu"))]
    false
}

/// Returns free pages of the heap to the system.
pub fn trim() {
    #[cfg(target_env = "gnu")]
    {
        // SAFETY: malloc_trim is thread-safe and takes no pointers.
        #[allow(unsafe_code)]
        let _released = unsafe { libc::malloc_trim(0) };
    }
}
