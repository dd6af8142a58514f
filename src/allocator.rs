//! Settings of the process's allocator.

/// Smallest block with a mapping of its own, which returns to the system when the block is freed.
const MAPPED_BYTES: i32 = 128 * 1024;
/// Free bytes at the end of a heap above which they return to the system.
const TRIM_BYTES: i32 = 1024 * 1024;
/// Heaps that the threads share. Each may have free bytes at its end.
const HEAPS: i32 = 2;

/// Keeps large blocks out of the heap, so that bodies which are freed leave no gaps in it. By default,
/// the GNU C library raises the size from which blocks are mapped whenever such a block is freed, up to
/// 32 MiB, and the heap then grows far beyond the bytes in use. To be called once, when a process that
/// forwards messages starts. Has no effect with other C libraries.
///
/// ```
/// bluebellgap::allocator::map_large_blocks();
/// ```
pub fn map_large_blocks() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    for (parameter, value) in [
        (libc::M_MMAP_THRESHOLD, MAPPED_BYTES),
        (libc::M_TRIM_THRESHOLD, TRIM_BYTES),
        (libc::M_ARENA_MAX, HEAPS),
    ] {
        // SAFETY: `mallopt` takes two numbers, accesses no memory of the caller and is thread-safe.
        let accepted = unsafe { libc::mallopt(parameter, value) };
        if accepted == 0 {
            log::warn!(
                event = "allocator_setting_rejected",
                parameter;
                "the C library rejected a setting of its allocator"
            );
        }
    }
}
