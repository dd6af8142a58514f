//! Offers received from other nodes, from their arrival until their replies expire some seconds
//! after they finished.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::task::AbortHandle;

use crate::link::frame::{Frame, OfferId, Reply, Status};
use crate::link::session::Sender;
use crate::verdict::{Reason, Refusal};

/// Time for which the reply to a finished offer is retained for a node that inquires about it on a
/// new connection; longer than a link takes to replace a dead connection to a reachable peer.
const REPLY_RETENTION: Duration = Duration::from_secs(10);
/// Limit on the total size of retained replies, so that they cannot exhaust a small VM's memory.
const MAX_RETAINED_BYTES: usize = 4 * 1024 * 1024;

enum State {
    /// The offering node cancelled or inquired before the offer arrived; the offer is refused if it
    /// arrives later.
    Revoked,
    Running {
        /// Connection that gets the reply.
        reply_to: Sender,
        abort: Option<AbortHandle>,
    },
    Done {
        reply: Reply,
        /// Size of the reply, 0 once the reply has been discarded.
        bytes: usize,
    },
}

#[derive(Default)]
struct Table {
    states: HashMap<OfferId, State>,
    /// Finished and revoked offers, oldest first, with the time from which they are retained.
    finished: VecDeque<(Instant, OfferId)>,
    retained_bytes: usize,
}

/// Received offers by id.
#[derive(Default)]
pub(super) struct Jobs {
    table: Mutex<Table>,
}

impl Jobs {
    /// Registers an offer that arrived; `false` if it must not run because an offer with its id is
    /// already running, finished or revoked.
    pub(super) fn start(&self, offer_id: OfferId, reply_to: Sender) -> bool {
        let mut table = self.lock();
        table.evict_expired();
        if table.states.contains_key(&offer_id) {
            return false;
        }
        let running = State::Running {
            reply_to,
            abort: None,
        };
        table.states.insert(offer_id, running);
        true
    }

    /// Sets the handle that cancels a running offer.
    pub(super) fn set_abort_handle(&self, offer_id: OfferId, handle: AbortHandle) {
        if let Some(State::Running { abort, .. }) = self.lock().states.get_mut(&offer_id) {
            *abort = Some(handle);
        }
    }

    /// Finishes an offer: retains its reply, and sends it on the connection that offered the
    /// request or last inquired about it.
    pub(super) fn finish(&self, offer_id: OfferId, status: Status, reply: Reply) {
        let mut table = self.lock();
        let bytes = reply.size();
        let state = State::Done {
            reply: reply.clone(),
            bytes,
        };
        let previous = table.states.insert(offer_id, state);
        table.retained_bytes += bytes;
        table.finished.push_back((Instant::now(), offer_id));
        table.evict_expired();
        drop(table);
        if let Some(State::Running { reply_to, .. }) = previous {
            reply_to.send(Frame::Reply(offer_id, status, Box::new(reply)));
        }
    }

    /// Replies to an inquiry about an offer, at once or when the offer finishes. An offer that has
    /// not arrived is revoked, so that "not run" stays true.
    pub(super) fn inquire(&self, offer_id: OfferId, status: Status, inquirer: Sender) {
        let mut table = self.lock();
        let reply = match table.states.get_mut(&offer_id) {
            Some(State::Running { reply_to, .. }) => {
                *reply_to = inquirer;
                return;
            }
            Some(State::Done { reply, .. }) => reply.clone(),
            Some(State::Revoked) => Reply::Refused(Refusal::not_run(Reason::ConnectionLost)),
            None => {
                table.states.insert(offer_id, State::Revoked);
                table.finished.push_back((Instant::now(), offer_id));
                Reply::Refused(Refusal::not_run(Reason::ConnectionLost))
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
            None => {
                table.states.insert(offer_id, State::Revoked);
                table.finished.push_back((Instant::now(), offer_id));
            }
        }
    }

    /// Cancels the running offers of a closed connection that were not inquired about on a new
    /// connection since.
    pub(super) fn cancel_orphaned(&self, connection: &Sender) {
        for state in self.lock().states.values() {
            if let State::Running {
                reply_to,
                abort: Some(abort),
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
    fn evict_expired(&mut self) {
        while let Some((finished_at, offer_id)) = self.finished.front().copied() {
            if finished_at.elapsed() < REPLY_RETENTION {
                break;
            }
            self.finished.pop_front();
            if let Some(State::Done { bytes, .. }) = self.states.remove(&offer_id) {
                self.retained_bytes -= bytes;
            }
        }
        self.discard_excess_replies();
    }

    /// Discards the oldest replies above [`MAX_RETAINED_BYTES`]. A later inquiry still gets the
    /// reply that the request may have run.
    fn discard_excess_replies(&mut self) {
        for (_, offer_id) in &self.finished {
            if self.retained_bytes <= MAX_RETAINED_BYTES {
                return;
            }
            if let Some(State::Done { reply, bytes }) = self.states.get_mut(offer_id) {
                self.retained_bytes -= std::mem::take(bytes);
                *reply = Reply::Refused(Refusal::may_have_run(Reason::ConnectionLost));
            }
        }
    }
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
