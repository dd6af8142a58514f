//! Offers received from other nodes, from their arrival until no node can inquire about them any
//! more.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::task::AbortHandle;

use crate::link::frame::{Frame, OfferId, Reply, Status};
use crate::link::session::Sender;
use crate::verdict::{Reason, Refusal};

/// Shortest time for which a finished or revoked offer is remembered, with its reply if it has one;
/// longer than a link takes to replace a dead connection to a reachable peer. An offer whose deadline
/// is later is remembered until then, because its reply is awaited until then.
pub(super) const MIN_RETENTION: Duration = Duration::from_secs(10);
/// Limit on the total size of retained replies, so that they cannot exhaust a small VM's memory.
const MAX_RETAINED_BYTES: usize = 4 * 1024 * 1024;
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
}

#[derive(Default)]
struct Table {
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
#[derive(Default)]
pub(super) struct Jobs {
    table: Mutex<Table>,
}

impl Jobs {
    /// Registers an offer that arrived, with the time left until its deadline.
    pub(super) fn start(
        &self,
        offer_id: OfferId,
        reply_to: Sender,
        time_left: Duration,
    ) -> Arrival {
        let mut table = self.lock();
        table.evict_expired();
        match table.states.get(&offer_id) {
            Some(State::Revoked) => return Arrival::Revoked,
            Some(State::Running { .. } | State::Done { .. }) => return Arrival::Repeated,
            None => {}
        }
        let running = State::Running {
            reply_to,
            abort: None,
            deadline: Instant::now() + time_left,
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
    pub(super) fn finish(&self, offer_id: OfferId, status: Status, reply: Reply) {
        let mut table = self.lock();
        let Some(State::Running {
            reply_to, deadline, ..
        }) = table.states.remove(&offer_id)
        else {
            return;
        };
        table.remember_finished(offer_id, deadline, &reply);
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
        let may_have_run = !same_process || table.may_have_forgotten();
        let reply = match table.states.get_mut(&offer_id) {
            Some(State::Running { reply_to, .. }) => {
                *reply_to = inquirer;
                return;
            }
            Some(State::Done { reply, .. }) => reply.as_deref().cloned().unwrap_or_else(lost),
            Some(State::Revoked) => not_run(),
            None if may_have_run => {
                table.remember_finished(offer_id, Instant::now(), &lost());
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

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Table {
    fn remember_finished(&mut self, offer_id: OfferId, deadline: Instant, reply: &Reply) {
        let expiry = deadline.max(Instant::now() + MIN_RETENTION);
        let bytes = reply.size();
        let done = State::Done {
            reply: Some(Box::new(reply.clone())),
            bytes,
        };
        self.states.insert(offer_id, done);
        self.finished.insert((expiry, offer_id));
        self.with_reply.insert((expiry, offer_id));
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

fn lost() -> Reply {
    Reply::Refused(Refusal::may_have_run(Reason::ConnectionLost))
}

fn not_run() -> Reply {
    Reply::Refused(Refusal::not_run(Reason::ConnectionLost))
}

impl Reply {
    /// Size in bytes of the answer, if there is one.
    fn size(&self) -> usize {
        match self {
            Self::Answer(message) => message.size(),
            Self::Refused(_) => 0,
        }
    }
}
