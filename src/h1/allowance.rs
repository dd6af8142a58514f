//! Memory that several connections may use together for messages which they are reading.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that the messages in progress may have together.
#[derive(Debug)]
pub(crate) struct Allowance {
    left: AtomicUsize,
}

impl Allowance {
    pub(crate) fn new(bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            left: AtomicUsize::new(bytes),
        })
    }

    /// Takes the bytes; `false` if fewer are left.
    fn take(&self, bytes: usize) -> bool {
        let taken = self
            .left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
                left.checked_sub(bytes)
            });
        taken.is_ok()
    }

    /// Bytes that are left.
    #[cfg(test)]
    pub(crate) fn left(&self) -> usize {
        self.left.load(Ordering::Relaxed)
    }
}

/// Bytes of one connection, returned to the allowance when it is dropped.
#[derive(Debug)]
pub(super) struct Share {
    allowance: Arc<Allowance>,
    bytes: usize,
}

impl Share {
    pub(super) fn new(allowance: Arc<Allowance>) -> Self {
        Self {
            allowance,
            bytes: 0,
        }
    }

    /// Takes more bytes; `false` if too few are left.
    pub(super) fn grow(&mut self, bytes: usize) -> bool {
        let taken = self.allowance.take(bytes);
        if taken {
            self.bytes += bytes;
        }
        taken
    }

    /// Returns all bytes.
    pub(super) fn clear(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.allowance.left.fetch_add(bytes, Ordering::Relaxed);
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.clear();
    }
}
