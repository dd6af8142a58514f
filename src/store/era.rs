//! The era of the platform's store: a number that rises each time the store returns from an older
//! copy of itself and has lost what was written since that copy.

use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::watch;

/// The highest era that this process has seen; 0 while no answer of the store has named one.
pub struct Era {
    known: watch::Sender<u64>,
    changes: AtomicU64,
    ignored_answers: AtomicU64,
}

impl Default for Era {
    fn default() -> Self {
        Self {
            known: watch::channel(0).0,
            changes: AtomicU64::new(0),
            ignored_answers: AtomicU64::new(0),
        }
    }
}

impl Era {
    /// The highest era seen, 0 before the first.
    ///
    /// ```
    /// use bluebellgap::store::Era;
    /// let era = Era::default();
    /// assert_eq!(era.known(), 0);
    /// era.raise(2, "store");
    /// era.raise(1, "peer");
    /// assert_eq!(era.known(), 2);
    /// ```
    #[must_use]
    pub fn known(&self) -> u64 {
        *self.known.borrow()
    }

    /// Records an era named by `source`, the store or a peer. A lower one than the known one, or 0
    /// for none, changes nothing.
    pub fn raise(&self, seen: u64, source: &str) {
        // Every message of a peer names an era, so the usual case takes no write lock.
        if seen <= self.known() {
            return;
        }
        let mut previous = 0;
        let raised = self.known.send_if_modified(|known| {
            previous = *known;
            *known = seen.max(previous);
            seen > previous
        });
        if raised && previous > 0 {
            self.changes.fetch_add(1, Ordering::Relaxed);
            log::warn!(
                event = "store_era",
                old = previous,
                new = seen,
                source = source;
                "the store was restored from an older copy; rereading tables and the own row"
            );
        }
    }

    /// Records the era of an answer of the store, 0 if it names none. Returns `false` if it is lower
    /// than the known one: the answer comes from a replica that is behind, and has to be ignored.
    pub(crate) fn accept_answer(&self, seen: u64) -> bool {
        self.raise(seen, "store");
        let is_current = seen == 0 || seen == self.known();
        if !is_current {
            self.ignored_answers.fetch_add(1, Ordering::Relaxed);
        }
        is_current
    }

    /// A receiver that is notified of each rise.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.known.subscribe()
    }

    /// Number of rises since the first era was learned.
    pub(crate) fn changes(&self) -> u64 {
        self.changes.load(Ordering::Relaxed)
    }

    /// Number of answers ignored because of a lower era.
    pub(crate) fn ignored_answers(&self) -> u64 {
        self.ignored_answers.load(Ordering::Relaxed)
    }
}
