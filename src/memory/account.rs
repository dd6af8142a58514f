//! Holders of memory that can lose it: messages that are being read or written.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::Notify;

use crate::memory::shortage::{self, Decision, Holder};
use crate::memory::{Budget, Reservation};
use crate::telemetry::Limits;

/// Bytes that count as progress. A sender of single bytes makes none within the stall time.
const PROGRESS_BYTES: usize = 1024;

/// The bytes were not available in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Denied;

/// What an account waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// For its peer. If the peer neither sends nor reads, the account can lose its bytes.
    Peer,
    /// For bytes.
    Memory,
    /// For neither.
    Other,
}

/// An open account.
#[derive(Debug)]
struct Entry {
    last_progress: Instant,
    state: State,
    /// Whether the account holds bytes of a part of the budget.
    in_part: bool,
    evicted: Arc<Notify>,
}

/// What all pools of a process share.
struct Shared {
    entries: Mutex<HashMap<u64, Entry>>,
    next_id: AtomicU64,
    limits: Arc<Limits>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notifies the holder that it has lost its bytes.
    fn evict(&self, id: u64) {
        let entry = self.lock().remove(&id);
        if let Some(entry) = entry {
            entry.evicted.notify_one();
            self.limits.record("memory_stalled");
        }
    }
}

/// A budget and those who hold parts of it.
pub(crate) struct Pool {
    budget: Arc<Budget>,
    shared: Arc<Shared>,
    is_part: bool,
}

impl Pool {
    pub(crate) fn new(bytes: usize, limits: Arc<Limits>) -> Arc<Self> {
        Arc::new(Self {
            budget: Budget::new(bytes),
            shared: Arc::new(Shared {
                entries: Mutex::default(),
                next_id: AtomicU64::new(0),
                limits,
            }),
            is_part: false,
        })
    }

    /// A pool of at most `bytes`, which count towards this one too.
    pub(crate) fn part(&self, bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            budget: self.budget.part(bytes),
            shared: self.shared.clone(),
            is_part: true,
        })
    }

    pub(crate) fn budget(&self) -> &Arc<Budget> {
        &self.budget
    }

    pub(crate) fn limits(&self) -> &Limits {
        &self.shared.limits
    }

    /// Opens an account without bytes.
    pub(crate) fn open(self: &Arc<Self>) -> Account {
        let id = self.shared.next_id.fetch_add(1, Ordering::Relaxed);
        let evicted = Arc::new(Notify::new());
        let entry = Entry {
            last_progress: Instant::now(),
            state: State::Peer,
            in_part: self.is_part,
            evicted: evicted.clone(),
        };
        self.shared.lock().insert(id, entry);
        Account {
            pool: self.clone(),
            id,
            reservation: Reservation::empty(&self.budget),
            evicted,
            since_progress: 0,
        }
    }

    /// Takes the bytes of the caller's message without progress for the longest time; `false` if all
    /// make progress.
    pub(crate) fn evict_stalest(&self, now: Instant) -> bool {
        let stalest = shortage::stalest(self.holders(|entry| !entry.in_part), now);
        if let Some(id) = stalest {
            self.shared.evict(id);
        }
        stalest.is_some()
    }

    /// Accounts that may lose their bytes to one of this pool.
    fn rivals(&self) -> Vec<Holder> {
        self.holders(|entry| entry.in_part || !self.is_part)
    }

    /// Whether several accounts wait for bytes, and this one was opened last.
    fn is_youngest_of_many(&self, id: u64) -> bool {
        let entries = self.shared.lock();
        let waiting = entries
            .iter()
            .filter(|(_, entry)| entry.state == State::Memory && entry.in_part == self.is_part);
        let ids: Vec<u64> = waiting.map(|(id, _)| *id).collect();
        ids.len() > 1 && ids.iter().all(|other| *other <= id)
    }

    fn holders(&self, considered: impl Fn(&Entry) -> bool) -> Vec<Holder> {
        let entries = self.shared.lock();
        let evictable = entries
            .iter()
            .filter(|(_, entry)| entry.state == State::Peer && considered(entry));
        evictable
            .map(|(id, entry)| Holder {
                id: *id,
                last_progress: entry.last_progress,
            })
            .collect()
    }
}

/// Memory of one message that is being read or written. Can lose its place to another one while its
/// peer neither sends nor reads.
pub(crate) struct Account {
    pool: Arc<Pool>,
    id: u64,
    reservation: Reservation,
    evicted: Arc<Notify>,
    /// Bytes since the last progress that was recorded.
    since_progress: usize,
}

impl Account {
    /// Reserves bytes until the account has `total`. Waits for others to return theirs if too few are
    /// left.
    pub(crate) async fn hold(&mut self, total: usize) -> Result<(), Denied> {
        if self.try_hold(total) {
            return Ok(());
        }
        let missing = total.saturating_sub(self.reservation.bytes());
        self.set_state(State::Memory);
        let held = self.wait_for(missing).await;
        self.set_state(State::Peer);
        held
    }

    async fn wait_for(&mut self, missing: usize) -> Result<(), Denied> {
        let started = Instant::now();
        let budget = self.pool.budget.clone();
        loop {
            let freed = budget.freed();
            if self.reservation.grow(missing) {
                return Ok(());
            }
            let now = Instant::now();
            let youngest_of_many = self.pool.is_youngest_of_many(self.id);
            let decision =
                shortage::decide(self.pool.rivals(), youngest_of_many, now - started, now);
            let pause = match decision {
                Decision::Evict(id, pause) => {
                    self.pool.shared.evict(id);
                    pause
                }
                Decision::Wait(pause) => pause,
                Decision::Refuse => {
                    self.pool.limits().record("memory_refused");
                    return Err(Denied);
                }
            };
            // Freed bytes are tried for at once, but a decision looks at all holders, and many that
            // wait would repeat it whenever some bytes are freed.
            let next_decision = now + pause;
            let mut freed = freed;
            while tokio::time::timeout_at(next_decision.into(), freed)
                .await
                .is_ok()
            {
                freed = budget.freed();
                if self.reservation.grow(missing) {
                    return Ok(());
                }
            }
        }
    }

    /// Records that bytes were received or sent.
    pub(crate) fn record_progress(&mut self, bytes: usize) {
        self.since_progress += bytes;
        if self.since_progress >= PROGRESS_BYTES {
            self.set_state(State::Peer);
        }
    }

    /// Protects the account while its peer is not at fault, or ends the protection and counts the
    /// time without progress anew.
    pub(crate) fn set_evictable(&mut self, evictable: bool) {
        self.set_state(if evictable { State::Peer } else { State::Other });
    }

    fn set_state(&mut self, state: State) {
        self.since_progress = 0;
        if let Some(entry) = self.pool.shared.lock().get_mut(&self.id) {
            entry.state = state;
            entry.last_progress = Instant::now();
        }
    }

    /// Reserves bytes until the account has `total`; `false` if too few are left.
    pub(crate) fn try_hold(&mut self, total: usize) -> bool {
        let missing = total.saturating_sub(self.reservation.bytes());
        missing == 0 || self.reservation.grow(missing)
    }

    /// Bytes that the account has.
    pub(crate) fn bytes(&self) -> usize {
        self.reservation.bytes()
    }

    /// Completes when the account has lost its place.
    pub(crate) async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// As [`Self::evicted`], without a borrow of the account.
    pub(crate) fn eviction(&self) -> impl Future<Output = ()> + use<> {
        self.evicted.clone().notified_owned()
    }

    /// Moves up to `bytes` bytes out of the account.
    pub(crate) fn split(&mut self, bytes: usize) -> Reservation {
        self.reservation.split(bytes)
    }

    /// Returns all bytes but the first `bytes`.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        self.reservation.shrink_to(bytes);
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.pool.shared.lock().remove(&self.id);
    }
}
