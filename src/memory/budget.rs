//! A number of bytes that holders share, and the part of each holder.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Reservations of up to this size may use the whole budget; larger ones leave the reserved part. Enough
/// for a message of 64 KiB with its head and the buffers around it.
const SMALL_BYTES: usize = 144 * 1024;
/// Divisor of the budget that gives the part reserved for small reservations, so that large bodies
/// do not lock out ordinary requests. A body of 64 MiB fits into the rest on a VM of 110 MB.
const SMALL_PART_DIVISOR: usize = 16;

/// Bytes that all holders may have together.
#[derive(Debug)]
pub(crate) struct Budget {
    total: usize,
    /// Bytes of `total` that only small reservations may use.
    small_part: usize,
    held: AtomicUsize,
    /// Wakes those that wait for bytes.
    freed: Notify,
    /// Budget that this one is a part of.
    whole: Option<Arc<Budget>>,
}

impl Budget {
    pub(crate) fn new(bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            total: bytes,
            small_part: bytes / SMALL_PART_DIVISOR,
            held: AtomicUsize::new(0),
            freed: Notify::new(),
            whole: None,
        })
    }

    /// A budget of at most `bytes` whose reservations count towards this one too.
    pub(crate) fn part(self: &Arc<Self>, bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            total: bytes.min(self.total),
            small_part: 0,
            held: AtomicUsize::new(0),
            freed: Notify::new(),
            whole: Some(self.clone()),
        })
    }

    /// Reserves the bytes; `None` if fewer are left.
    pub(crate) fn reserve(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        let mut reservation = Reservation::empty(self);
        reservation.grow(bytes).then_some(reservation)
    }

    /// Bytes that are reserved.
    pub(crate) fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Completes when bytes are returned after the call.
    pub(super) fn freed(&self) -> tokio::sync::futures::Notified<'_> {
        self.freed.notified()
    }

    /// Takes the bytes for a reservation that has `had` bytes; `false` if fewer are left.
    fn take(&self, had: usize, bytes: usize) -> bool {
        let small = had.saturating_add(bytes) <= SMALL_BYTES;
        let limit = if small {
            self.total
        } else {
            self.total - self.small_part
        };
        let taken = self
            .held
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |held| {
                held.checked_add(bytes).filter(|held| *held <= limit)
            });
        if taken.is_err() {
            return false;
        }
        let taken = self
            .whole
            .as_ref()
            .is_none_or(|whole| whole.take(had, bytes));
        if !taken {
            self.held.fetch_sub(bytes, Ordering::Relaxed);
        }
        taken
    }

    fn put_back(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.held.fetch_sub(bytes, Ordering::Relaxed);
        self.freed.notify_waiters();
        if let Some(whole) = &self.whole {
            whole.put_back(bytes);
        }
    }
}

/// Bytes of one holder, returned to the budget when dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Arc<Budget>,
    bytes: usize,
}

impl Reservation {
    /// A reservation without bytes.
    pub(super) fn empty(budget: &Arc<Budget>) -> Self {
        Self {
            budget: budget.clone(),
            bytes: 0,
        }
    }

    /// Reserves more bytes; `false` if fewer are left, and the reservation stays as it is.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let taken = self.budget.take(self.bytes, bytes);
        if taken {
            self.bytes += bytes;
        }
        taken
    }

    /// Returns all bytes but the first `bytes`.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        let returned = self.bytes.saturating_sub(bytes);
        self.bytes -= returned;
        self.budget.put_back(returned);
    }

    /// Moves up to `bytes` bytes into a reservation of their own. If the budget is a part of another
    /// one, they count only towards the whole from then on.
    pub(crate) fn split(&mut self, bytes: usize) -> Self {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        let budget = match &self.budget.whole {
            Some(whole) => {
                self.budget.held.fetch_sub(bytes, Ordering::Relaxed);
                self.budget.freed.notify_waiters();
                whole.clone()
            }
            None => self.budget.clone(),
        };
        Self { budget, bytes }
    }

    /// Bytes that are reserved.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
