//! Admission: as many requests at a time as the target has slots, the rest by rank and objective.
//!
//! Within a rank, requests that can still be answered within their objective go first: in an
//! overload the slots would otherwise be spent on requests that are all a little too late.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::verdict::{Reason, Refusal};

/// Requests that wait at most; bounds memory, the wait is bounded by the callers' limits.
const MAX_QUEUED: usize = 512;

/// Expected waits that a request which can no longer be in time must have left: others pass it.
const LATE_WAIT_FACTOR: f64 = 2.0;

/// Order in the queue: rank, then the objective that ends first, then arrival.
type Place = (u32, Instant, u64);

struct Waiting {
    service: String,
    /// Latest start at which the request can meet its objective.
    latest_start: Instant,
    turn: oneshot::Sender<Result<Permit, Refusal>>,
}

#[derive(Default)]
struct State {
    slots: u32,
    running: u32,
    arrivals: u64,
    queue: BTreeMap<Place, Waiting>,
    /// Why new work is refused, if it is.
    closed: Option<Reason>,
}

/// The gate in front of a target.
pub(super) struct Gate {
    state: Mutex<State>,
}

/// What a request asks of the gate.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ask<'a> {
    /// Service that the request is for.
    pub service: &'a str,
    /// Rank; 0 goes first.
    pub rank: u32,
    /// End of the latency objective.
    pub objective: Instant,
    /// Longest wait.
    pub max_wait: Duration,
    /// Usual run time of such requests.
    pub expected: Duration,
    /// Average time for which a request holds a slot.
    pub run: Duration,
}

/// The right to use one slot; gives it back when dropped.
pub(super) struct Permit {
    gate: Arc<Gate>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate.release();
    }
}

impl Gate {
    /// A gate that is closed until a target is known.
    pub(super) fn new() -> Arc<Self> {
        let state = State {
            closed: Some(Reason::NoTarget),
            ..State::default()
        };
        Arc::new(Self {
            state: Mutex::new(state),
        })
    }

    /// Takes new work again, `slots` at a time.
    pub(super) fn open(self: &Arc<Self>, slots: u32) {
        let mut state = self.lock();
        state.slots = slots;
        state.closed = None;
        drop(state);
        self.advance();
    }

    /// Refuses new work and all that waits.
    pub(super) fn close(&self, reason: Reason) {
        let mut state = self.lock();
        state.closed = Some(reason);
        let waiting = std::mem::take(&mut state.queue);
        drop(state);
        for (_, waiting) in waiting {
            let _ = waiting.turn.send(Err(Refusal::not_run(reason)));
        }
    }

    /// Requests that run and that wait.
    pub(super) fn load(&self) -> (u32, u32, u32) {
        let state = self.lock();
        let queued = u32::try_from(state.queue.len()).unwrap_or(u32::MAX);
        (state.running, queued, state.slots)
    }

    /// Waits for a slot, at most for the request's limit. Refuses at once where the wait
    /// would be longer.
    pub(super) async fn admit(self: &Arc<Self>, ask: Ask<'_>) -> Result<Permit, Refusal> {
        let (place, turn) = {
            let mut state = self.lock();
            if let Some(reason) = state.closed {
                return Err(Refusal::not_run(reason));
            }
            if state.running < state.slots {
                state.running += 1;
                return Ok(Permit { gate: self.clone() });
            }
            state.arrivals += 1;
            let place = (ask.rank, ask.objective, state.arrivals);
            let latest_start = ask.objective.checked_sub(ask.expected);
            let latest_start = latest_start.unwrap_or(ask.objective);
            let wait = state.wait(&place, latest_start, ask.run);
            if wait > ask.max_wait || state.queue.len() >= MAX_QUEUED {
                return Err(overloaded(wait));
            }
            let (sender, turn) = oneshot::channel();
            let waiting = Waiting {
                service: ask.service.to_owned(),
                latest_start,
                turn: sender,
            };
            state.queue.insert(place, waiting);
            (place, turn)
        };
        let _leave = Leave { gate: self, place };
        let mut turn = turn;
        let end = Instant::now() + ask.max_wait;
        let timely_until = ask
            .objective
            .checked_sub(ask.expected)
            .unwrap_or(end)
            .min(end);
        if let Ok(turn) = tokio::time::timeout_at(timely_until.into(), &mut turn).await {
            return turn.unwrap_or_else(|_| Err(overloaded(ask.run)));
        }
        // From here on every request that can still be in time goes first.
        let wait = self.lock().wait(&place, timely_until, ask.run);
        if wait.mul_f64(LATE_WAIT_FACTOR) > end.saturating_duration_since(Instant::now()) {
            return Err(overloaded(wait));
        }
        match tokio::time::timeout_at(end.into(), turn).await {
            Ok(Ok(turn)) => turn,
            _ => Err(overloaded(ask.run)),
        }
    }

    /// Gives a freed slot to the next in the queue.
    fn release(self: &Arc<Self>) {
        self.lock().running -= 1;
        self.advance();
    }

    fn advance(self: &Arc<Self>) {
        loop {
            let mut state = self.lock();
            if state.running >= state.slots {
                return;
            }
            let Some(waiting) = state.next() else {
                return;
            };
            state.running += 1;
            drop(state);
            let permit = Permit { gate: self.clone() };
            // A permit that nobody waits for any more comes back when it is dropped.
            let _ = waiting.turn.send(Ok(permit));
        }
    }

    /// Refuses all that waits for another service than `service`.
    pub(super) fn keep_only(&self, service: &str) {
        let mut state = self.lock();
        let (kept, other) = std::mem::take(&mut state.queue)
            .into_iter()
            .partition(|(_, waiting)| waiting.service == service);
        state.queue = kept;
        drop(state);
        let other: BTreeMap<Place, Waiting> = other;
        for (_, waiting) in other {
            let _ = waiting.turn.send(Err(Refusal::not_run(Reason::NoTarget)));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Takes the next request out of the queue: of the first rank, the first that can meet its
    /// objective, or else the first.
    fn next(&mut self) -> Option<Waiting> {
        let now = Instant::now();
        let (first, _) = self.queue.first_key_value()?;
        let (rank, first) = (first.0, *first);
        let in_rank = self.queue.iter().take_while(|(place, _)| place.0 == rank);
        let mut timely = in_rank.filter(|(_, waiting)| waiting.latest_start >= now);
        let next = timely.next().map_or(first, |(place, _)| *place);
        self.queue.remove(&next)
    }

    /// Expected wait at a place in the queue. Within a rank, those that can still be in time pass
    /// those that cannot.
    fn wait(&self, place: &Place, latest_start: Instant, run: Duration) -> Duration {
        let now = Instant::now();
        let timely = latest_start > now;
        let goes_first = |(other, waiting): &(&Place, &Waiting)| {
            let other_timely = waiting.latest_start > now;
            match other.0.cmp(&place.0) {
                Ordering::Less => true,
                Ordering::Greater => false,
                Ordering::Equal if timely == other_timely => *other < place,
                Ordering::Equal => other_timely,
            }
        };
        let ahead = self.queue.iter().filter(goes_first).count();
        let turns = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        run * turns / self.slots.max(1)
    }
}

fn overloaded(wait: Duration) -> Refusal {
    Refusal {
        retry_after: Some(wait),
        ..Refusal::not_run(Reason::Overloaded)
    }
}

/// Leaves the queue when dropped, as when the caller has gone.
struct Leave<'a> {
    gate: &'a Gate,
    place: Place,
}

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        self.gate.lock().queue.remove(&self.place);
    }
}
