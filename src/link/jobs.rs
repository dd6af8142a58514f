//! Offers received from other nodes, from their arrival until no node can inquire about them any
//! more.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::task::AbortHandle;

use crate::error::Result;
use crate::link::body::Assembly;
use crate::link::frame::{Frame, Offer, OfferId, Reply, Status};
use crate::link::server::DEFAULT_BUDGET_BYTES;
use crate::link::session::Sender;
use crate::memory::{Budget, Reservation};
use crate::verdict::{Reason, Refusal};

/// Shortest time for which a finished or revoked offer is remembered, with its reply if it has one;
/// longer than a link takes to replace a dead connection to a reachable peer. An offer whose deadline
/// is later is remembered until then, because its reply is awaited until then.
pub(super) const MIN_RETENTION: Duration = Duration::from_secs(10);
/// Limit on the total size of retained replies, so that they cannot exhaust a small VM's memory.
const MAX_RETAINED_BYTES: usize = 4 * 1024 * 1024;
/// Time without a part after which an incomplete body is dropped. Longer than a link takes to replace a
/// dead connection, and than a part waits while the parts of a hundred other bodies take their turns.
const MAX_BODY_PAUSE: Duration = Duration::from_secs(10);
/// Pause after which an offer that was refused for lack of memory makes sense again; a body of 360 KB
/// takes 300 ms on a link of 10 Mbit/s.
const MEMORY_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Limit on the number of finished offers that are remembered.
const MAX_FINISHED_OFFERS: usize = 65_536;

enum State {
    /// The offering node cancelled or inquired before the offer arrived; the offer is refused if it
    /// arrives later.
    Revoked,
    Running {
        /// Connection that gets the reply.
        reply_to: Sender,
        abort: Option<AbortHandle>,
        deadline: Instant,
        /// Memory of the request.
        _reservation: Reservation,
    },
    Done {
        /// `None` once the reply has been discarded.
        reply: Option<Box<Reply>>,
        /// Size of the reply.
        bytes: usize,
    },
}

/// What to do with an offer that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Arrival {
    /// The offer is new; run it.
    Run,
    /// The offer was revoked before it arrived; it must not run.
    Revoked,
    /// The offer arrived before. Its reply is sent when it finishes.
    Repeated,
    /// There is too little memory for the offer; it must not run, and is revoked.
    NoMemory(Refusal),
}

/// An offer whose body is not complete. It counts as not arrived.
struct Arriving {
    offer: Box<Offer>,
    connection: Sender,
    body: Assembly,
    since: Instant,
    last_part: Instant,
}

impl Arriving {
    fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) >= self.offer.time_left
            || now.saturating_duration_since(self.last_part) >= MAX_BODY_PAUSE
    }

    /// The offer with its complete body, and with the time that the body took deducted.
    fn complete(self) -> Box<Offer> {
        let Self {
            mut offer,
            body,
            since,
            ..
        } = self;
        let took = since.elapsed();
        offer.message.attach_body(body.finish());
        offer.time_left = offer.time_left.saturating_sub(took);
        offer.objective = offer.objective.saturating_sub(took);
        offer
    }
}

/// What to do with an offer whose body follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Announcement {
    /// The body is received; the offer arrives with its last part.
    Receive,
    /// The offer must not run and is refused at once.
    Refuse(Refusal),
    /// The offer arrived before. Its reply is sent when it finishes.
    Repeated,
}

#[derive(Default)]
struct Table {
    /// Offers that are not in `states` unless they were revoked.
    arriving: HashMap<OfferId, Arriving>,
    states: HashMap<OfferId, State>,
    /// Finished offers by the time at which they are forgotten.
    finished: BTreeSet<(Instant, OfferId)>,
    /// Those of `finished` whose replies are retained.
    with_reply: BTreeSet<(Instant, OfferId)>,
    retained_bytes: usize,
    /// Revoked offers with the time at which they are forgotten, earliest first.
    revoked: VecDeque<(Instant, OfferId)>,
    /// Latest time until which an offer that exceeded [`MAX_FINISHED_OFFERS`] should have been
    /// remembered.
    forgot_until: Option<Instant>,
}

/// Received offers by id.
pub(super) struct Jobs {
    table: Mutex<Table>,
    /// Memory for bodies that arrive and for retained replies.
    budget: Arc<Budget>,
}

impl Default for Jobs {
    fn default() -> Self {
        Self::within(Budget::new(DEFAULT_BUDGET_BYTES))
    }
}

impl Jobs {
    /// Received offers whose bodies and replies are held within `budget`.
    pub(super) fn within(budget: Arc<Budget>) -> Self {
        Self {
            table: Mutex::default(),
            budget,
        }
    }

    pub(super) fn budget(&self) -> &Arc<Budget> {
        &self.budget
    }

    /// Prepares to receive the body of an offer, `length` bytes, on a connection. Without memory for
    /// it, the offer is refused and revoked.
    pub(super) fn announce(
        &self,
        offer: Box<Offer>,
        length: usize,
        connection: &Sender,
    ) -> Announcement {
        let mut table = self.lock();
        table.evict_expired();
        let offer_id = offer.id;
        match table.states.get(&offer_id) {
            Some(State::Revoked) => {
                return Announcement::Refuse(Refusal::not_run(Reason::ConnectionLost));
            }
            Some(State::Running { .. } | State::Done { .. }) => return Announcement::Repeated,
            None => {}
        }
        let Some(reservation) = self.budget.reserve(length) else {
            table.revoke(offer_id);
            return Announcement::Refuse(no_memory());
        };
        let now = Instant::now();
        let arriving = Arriving {
            offer,
            connection: connection.clone(),
            body: Assembly::new(length, reservation),
            since: now,
            last_part: now,
        };
        table.arriving.insert(offer_id, arriving);
        Announcement::Receive
    }

    /// Adds a part of the body of an offer; returns the offer once its body is complete. Parts of
    /// unknown offers and from other connections are ignored. Fails if the body does not have the
    /// announced length.
    pub(super) fn append(
        &self,
        offer_id: OfferId,
        bytes: &[u8],
        last: bool,
        connection: &Sender,
    ) -> Result<Option<Box<Offer>>> {
        let mut table = self.lock();
        let Some(arriving) = table.arriving.get_mut(&offer_id) else {
            return Ok(None);
        };
        if !arriving.connection.is_same_connection(connection) {
            return Ok(None);
        }
        arriving.body.append(bytes, last)?;
        arriving.last_part = Instant::now();
        if !last {
            return Ok(None);
        }
        Ok(table.arriving.remove(&offer_id).map(Arriving::complete))
    }

    /// Drops the incomplete bodies of a closed connection; returns how many.
    pub(super) fn drop_incomplete(&self, connection: &Sender) -> usize {
        let mut table = self.lock();
        let before = table.arriving.len();
        table
            .arriving
            .retain(|_, arriving| !arriving.connection.is_same_connection(connection));
        before - table.arriving.len()
    }

    /// Registers an offer that arrived, with the memory that it needs and the time left until its deadline.
    pub(super) fn start(
        &self,
        offer_id: OfferId,
        reply_to: Sender,
        cost: usize,
        time_left: Duration,
    ) -> Arrival {
        let mut table = self.lock();
        table.evict_expired();
        match table.states.get(&offer_id) {
            Some(State::Revoked) => return Arrival::Revoked,
            Some(State::Running { .. } | State::Done { .. }) => return Arrival::Repeated,
            None => {}
        }
        let Some(reservation) = self.budget.reserve(cost) else {
            table.revoke(offer_id);
            return Arrival::NoMemory(no_memory());
        };
        let running = State::Running {
            reply_to,
            abort: None,
            deadline: Instant::now() + time_left,
            _reservation: reservation,
        };
        table.states.insert(offer_id, running);
        Arrival::Run
    }

    /// Sets the handle that cancels a running offer.
    pub(super) fn set_abort_handle(&self, offer_id: OfferId, handle: AbortHandle) {
        if let Some(State::Running { abort, .. }) = self.lock().states.get_mut(&offer_id) {
            *abort = Some(handle);
        }
    }

    /// Finishes a running offer: retains its reply, and sends it on the connection that offered the
    /// request or last inquired about it.
    pub(super) fn finish(&self, offer_id: OfferId, status: Status, mut reply: Reply) {
        let mut table = self.lock();
        let Some(State::Running {
            reply_to, deadline, ..
        }) = table.states.remove(&offer_id)
        else {
            return;
        };
        let retained = self.reserve(&mut table, &mut reply);
        table.remember_finished(offer_id, deadline, retained.then_some(&reply));
        table.evict_expired();
        drop(table);
        reply_to.send(Frame::Reply(offer_id, status, Box::new(reply)));
    }

    /// Replies to an inquiry about an offer, at once or when the offer finishes. An offer that has
    /// not arrived is revoked, so that "not run" stays true. `same_process` says whether the offer was
    /// certainly sent to this process; otherwise an earlier one may have run it.
    pub(super) fn inquire(
        &self,
        offer_id: OfferId,
        status: Status,
        inquirer: Sender,
        same_process: bool,
    ) {
        let mut table = self.lock();
        table.evict_expired();
        table.arriving.remove(&offer_id);
        let may_have_run = !same_process || table.may_have_forgotten();
        let reply = match table.states.get_mut(&offer_id) {
            Some(State::Running { reply_to, .. }) => {
                *reply_to = inquirer;
                return;
            }
            Some(State::Done { reply, .. }) => reply.as_deref().cloned().unwrap_or_else(lost),
            Some(State::Revoked) => not_run(),
            None if may_have_run => {
                table.remember_finished(offer_id, Instant::now(), Some(&lost()));
                lost()
            }
            None => {
                table.revoke(offer_id);
                not_run()
            }
        };
        drop(table);
        inquirer.send(Frame::Reply(offer_id, status, Box::new(reply)));
    }

    /// Cancels an offer whose outcome is no longer awaited. One that has not arrived yet is
    /// revoked.
    pub(super) fn cancel(&self, offer_id: OfferId) {
        let mut table = self.lock();
        table.arriving.remove(&offer_id);
        match table.states.get(&offer_id) {
            Some(State::Running { abort, .. }) => {
                if let Some(abort) = abort {
                    abort.abort();
                }
            }
            Some(_) => {}
            None => table.revoke(offer_id),
        }
    }

    /// Cancels the running offers of a closed connection that were not inquired about on a new
    /// connection since.
    pub(super) fn cancel_orphaned(&self, connection: &Sender) {
        for state in self.lock().states.values() {
            if let State::Running {
                reply_to,
                abort: Some(abort),
                ..
            } = state
                && reply_to.is_same_connection(connection)
            {
                abort.abort();
            }
        }
    }

    /// Reserves memory to retain a reply, if necessary in place of the replies that expire first.
    /// `false` if the reply is not to be retained.
    fn reserve(&self, table: &mut Table, reply: &mut Reply) -> bool {
        let Reply::Answer(message) = reply else {
            return true;
        };
        let size = message.size();
        if size > MAX_RETAINED_BYTES {
            // Not retained, but others learn that the memory is in use until the reply is sent.
            if let Some(reservation) = self.budget.reserve(size) {
                message.hold(reservation);
            }
            return false;
        }
        loop {
            if let Some(reservation) = self.budget.reserve(size) {
                message.hold(reservation);
                return true;
            }
            let Some(&(expiry, offer_id)) = table.with_reply.first() else {
                return false;
            };
            table.discard_reply(expiry, offer_id);
        }
    }

    /// Frees what is not kept any longer.
    pub(super) fn evict_expired(&self) {
        self.lock().evict_expired();
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Table {
    /// Remembers a finished offer, with its reply if that is retained.
    fn remember_finished(&mut self, offer_id: OfferId, deadline: Instant, reply: Option<&Reply>) {
        let expiry = deadline.max(Instant::now() + MIN_RETENTION);
        let bytes = reply.map_or(0, Reply::size);
        let done = State::Done {
            reply: reply.cloned().map(Box::new),
            bytes,
        };
        self.states.insert(offer_id, done);
        self.finished.insert((expiry, offer_id));
        if reply.is_some() {
            self.with_reply.insert((expiry, offer_id));
        }
        self.retained_bytes += bytes;
    }

    fn revoke(&mut self, offer_id: OfferId) {
        self.states.insert(offer_id, State::Revoked);
        self.revoked
            .push_back((Instant::now() + MIN_RETENTION, offer_id));
    }

    /// Whether an offer that is not in the table may have finished before its deadline.
    fn may_have_forgotten(&self) -> bool {
        self.forgot_until
            .is_some_and(|until| Instant::now() < until)
    }

    fn evict_expired(&mut self) {
        let now = Instant::now();
        self.arriving
            .retain(|_, arriving| !arriving.is_expired(now));
        while let Some((_, offer_id)) = self.revoked.pop_front_if(|(expiry, _)| *expiry <= now) {
            self.states.remove(&offer_id);
        }
        while let Some(&(expiry, offer_id)) = self.finished.first()
            && (expiry <= now || self.finished.len() > MAX_FINISHED_OFFERS)
        {
            self.finished.pop_first();
            self.discard_reply(expiry, offer_id);
            self.states.remove(&offer_id);
            if expiry > now {
                self.forgot_until = self.forgot_until.max(Some(expiry));
            }
        }
        while self.retained_bytes > MAX_RETAINED_BYTES
            && let Some(&(expiry, offer_id)) = self.with_reply.first()
        {
            self.discard_reply(expiry, offer_id);
        }
    }

    /// Discards the reply to a finished offer. A later inquiry still gets the reply that the request
    /// may have run.
    fn discard_reply(&mut self, expiry: Instant, offer_id: OfferId) {
        self.with_reply.remove(&(expiry, offer_id));
        if let Some(State::Done { reply, bytes }) = self.states.get_mut(&offer_id) {
            self.retained_bytes -= std::mem::take(bytes);
            *reply = None;
        }
    }
}

fn no_memory() -> Refusal {
    Refusal {
        retry_after: Some(MEMORY_RETRY_PAUSE),
        ..Refusal::not_run(Reason::Overloaded)
    }
}

fn lost() -> Reply {
    Reply::Refused(Refusal::may_have_run(Reason::ConnectionLost))
}

fn not_run() -> Reply {
    Reply::Refused(Refusal::not_run(Reason::ConnectionLost))
}
