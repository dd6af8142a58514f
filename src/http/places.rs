//! The connections that may be open at a listener, and which one closes when another needs its place.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::Notify;

use crate::memory::Pool;

/// Most connections above the limit that may be open while those that lost their places close.
pub(crate) const CLOSING_MARGIN: usize = 16;
/// Divisor of the connections that may be open in all, which gives that margin where they are few.
const MARGIN_DIVISOR: usize = 8;

/// What happens to a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It is accepted.
    Accept,
    /// It is accepted in place of the connection that has been idle for the longest time.
    Replace(u64),
    /// It is accepted only if a connection that makes no progress can be closed.
    NoIdle,
    /// It is closed at once.
    Refuse,
}

/// Counts open connections; a state machine without input or output.
#[derive(Debug, Default)]
pub(crate) struct Table {
    limit: usize,
    /// Connections above the limit that may be open while those that lost their places close.
    margin: usize,
    open: usize,
    next_id: u64,
    /// Idle connections by the time since which they have been idle.
    idle: BTreeSet<(Instant, u64)>,
}

impl Table {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            margin: CLOSING_MARGIN,
            ..Self::default()
        }
    }

    /// A table of at most `open` connections, with those that lost their places.
    pub(crate) fn within(open: usize) -> Self {
        let margin = (open / MARGIN_DIVISOR).clamp(1, CLOSING_MARGIN);
        Self {
            limit: open.saturating_sub(margin),
            margin,
            ..Self::default()
        }
    }

    /// Decides about a new connection.
    pub(crate) fn admit(&mut self) -> Admission {
        if self.open < self.limit {
            return Admission::Accept;
        }
        if self.open >= self.limit + self.margin {
            return Admission::Refuse;
        }
        self.replace().map_or(Admission::NoIdle, Admission::Replace)
    }

    /// Takes the place of the connection that has been idle for the longest time, if any is idle.
    pub(crate) fn replace(&mut self) -> Option<u64> {
        self.idle.pop_first().map(|(_, id)| id)
    }

    /// Adds a connection; returns its id.
    pub(crate) fn add(&mut self) -> u64 {
        self.open += 1;
        self.next_id += 1;
        self.next_id
    }

    /// Removes a connection that has been idle since the given time, if it was.
    pub(crate) fn remove(&mut self, id: u64, idle_since: Option<Instant>) {
        self.open -= 1;
        self.end_idle(id, idle_since);
    }

    pub(crate) fn begin_idle(&mut self, id: u64, now: Instant) {
        self.idle.insert((now, id));
    }

    pub(crate) fn end_idle(&mut self, id: u64, idle_since: Option<Instant>) {
        if let Some(since) = idle_since {
            self.idle.remove(&(since, id));
        }
    }
}

/// Places of the connections at one listener.
pub(crate) struct Places {
    table: Mutex<Table>,
    losses: Mutex<BTreeMap<u64, Arc<Loss>>>,
}

/// Whether a connection has lost its place, and has to close.
#[derive(Default)]
struct Loss {
    happened: AtomicBool,
    changed: Notify,
}

impl Loss {
    async fn wait(&self) {
        while !self.happened.load(Ordering::Relaxed) {
            self.changed.notified().await;
        }
    }
}

impl Places {
    /// Places for `limit` connections, and some more while others close.
    pub(crate) fn new(limit: usize) -> Arc<Self> {
        Self::with(Table::new(limit))
    }

    /// Places for at most `open` connections.
    pub(crate) fn within(open: usize) -> Arc<Self> {
        Self::with(Table::within(open))
    }

    fn with(table: Table) -> Arc<Self> {
        Arc::new(Self {
            table: Mutex::new(table),
            losses: Mutex::default(),
        })
    }

    /// Place for a new connection; `None` if it must be closed. If no other connection is idle, one
    /// whose message makes no progress gives way, if `pool` knows any. Limits that are reached are
    /// recorded there.
    pub(crate) fn enter(self: &Arc<Self>, pool: Option<&Pool>) -> Option<Place> {
        let admission = lock(&self.table).admit();
        let admitted = match admission {
            Admission::Accept => return Some(self.take()),
            Admission::Replace(id) => {
                self.close(id);
                true
            }
            Admission::NoIdle => pool.is_some_and(|pool| pool.evict_stalest(Instant::now())),
            Admission::Refuse => false,
        };
        if let Some(pool) = pool {
            pool.limits().record(if admitted {
                "connection_replaced"
            } else {
                "connection_refused"
            });
        }
        admitted.then(|| self.take())
    }

    /// Takes a place for an accepted connection.
    fn take(self: &Arc<Self>) -> Place {
        let id = lock(&self.table).add();
        let loss = Arc::new(Loss::default());
        lock(&self.losses).insert(id, loss.clone());
        Place {
            places: self.clone(),
            id,
            idle_since: None,
            loss,
        }
    }

    /// Has a connection close that lost its place.
    fn close(&self, id: u64) {
        if let Some(loss) = lock(&self.losses).get(&id) {
            loss.happened.store(true, Ordering::Relaxed);
            loss.changed.notify_one();
        }
    }

    /// Has another idle connection close, if there is one.
    fn close_other(&self) -> bool {
        let other = lock(&self.table).replace();
        if let Some(other) = other {
            self.close(other);
        }
        other.is_some()
    }
}

/// Place of one open connection; free again when dropped.
pub(crate) struct Place {
    places: Arc<Places>,
    id: u64,
    idle_since: Option<Instant>,
    loss: Arc<Loss>,
}

impl Place {
    /// Sets whether the connection is idle, and so may lose its place to a new one. If it has lost its
    /// place and is not idle any more, another idle connection closes instead; without one, it closes as
    /// soon as it is idle again.
    pub(crate) fn set_idle(&mut self, idle: bool) {
        if idle == self.idle_since.is_some() {
            return;
        }
        if idle {
            let now = Instant::now();
            lock(&self.places.table).begin_idle(self.id, now);
            self.idle_since = Some(now);
            return;
        }
        lock(&self.places.table).end_idle(self.id, self.idle_since.take());
        if self.loss.happened.load(Ordering::Relaxed) && self.places.close_other() {
            self.loss.happened.store(false, Ordering::Relaxed);
        }
    }

    /// Whether the connection may lose its place.
    pub(crate) fn is_idle(&self) -> bool {
        self.idle_since.is_some()
    }

    /// Completes when the connection has lost its place.
    pub(crate) fn lost(&self) -> impl Future<Output = ()> + use<> {
        let loss = self.loss.clone();
        async move { loss.wait().await }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        lock(&self.places.table).remove(self.id, self.idle_since);
        lock(&self.places.losses).remove(&self.id);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
