//! Offers that other nodes made here, from their arrival until some seconds after their end.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::task::AbortHandle;

use crate::link::frame::{Frame, Reply, Status, Ticket};
use crate::link::session::Sender;
use crate::verdict::{Reason, Refusal};

/// Time for which the end of an offer is kept for a node that asks again on a new connection;
/// above the longest time for which a link waits before it asks.
const KEPT: Duration = Duration::from_secs(10);
/// Bytes of kept answers at most, so that they cannot exhaust a small VM's memory.
const MAX_KEPT_BYTES: usize = 4 * 1024 * 1024;

enum State {
    /// The offering node asked before the offer arrived; it is refused if it still does.
    Revoked,
    Running {
        reply_to: Sender,
        abort: Option<AbortHandle>,
    },
    Done {
        reply: Reply,
        bytes: usize,
    },
}

#[derive(Default)]
struct Table {
    states: HashMap<Ticket, State>,
    /// Ends in the order in which they are forgotten.
    ended: VecDeque<(Instant, Ticket)>,
    kept_bytes: usize,
}

/// Offers by ticket.
#[derive(Default)]
pub(super) struct Jobs {
    table: Mutex<Table>,
}

impl Jobs {
    /// Notes an offer that arrived; `false` if it must not run.
    pub(super) fn begin(&self, ticket: Ticket, reply_to: Sender) -> bool {
        let mut table = self.lock();
        table.forget_old();
        if table.states.contains_key(&ticket) {
            return false;
        }
        let running = State::Running {
            reply_to,
            abort: None,
        };
        table.states.insert(ticket, running);
        true
    }

    /// Gives the handle by which a running offer is cancelled.
    pub(super) fn cancel_by(&self, ticket: Ticket, handle: AbortHandle) {
        if let Some(State::Running { abort, .. }) = self.lock().states.get_mut(&ticket) {
            *abort = Some(handle);
        }
    }

    /// Ends an offer: keeps its reply, and sends it to whoever asked last.
    pub(super) fn end(&self, ticket: Ticket, status: Status, reply: Reply) {
        let mut table = self.lock();
        let bytes = reply.size();
        let state = State::Done {
            reply: reply.clone(),
            bytes,
        };
        let before = table.states.insert(ticket, state);
        table.kept_bytes += bytes;
        table.ended.push_back((Instant::now(), ticket));
        table.forget_old();
        drop(table);
        if let Some(State::Running { reply_to, .. }) = before {
            reply_to.send(Frame::Reply(ticket, status, Box::new(reply)));
        }
    }

    /// Answers a question about an offer, at once or when it ends. An offer that never arrived is
    /// revoked.
    pub(super) fn inquire(&self, ticket: Ticket, status: Status, asker: Sender) {
        let mut table = self.lock();
        let reply = match table.states.get_mut(&ticket) {
            Some(State::Running { reply_to, .. }) => {
                *reply_to = asker;
                return;
            }
            Some(State::Done { reply, .. }) => reply.clone(),
            Some(State::Revoked) => Reply::Refused(Refusal::not_run(Reason::ConnectionLost)),
            None => {
                table.states.insert(ticket, State::Revoked);
                table.ended.push_back((Instant::now(), ticket));
                Reply::Refused(Refusal::not_run(Reason::ConnectionLost))
            }
        };
        drop(table);
        asker.send(Frame::Reply(ticket, status, Box::new(reply)));
    }

    /// Cancels an offer whose caller has left. One that has not arrived yet is revoked.
    pub(super) fn cancel(&self, ticket: Ticket) {
        let mut table = self.lock();
        match table.states.get(&ticket) {
            Some(State::Running { abort, .. }) => {
                if let Some(abort) = abort {
                    abort.abort();
                }
            }
            Some(_) => {}
            None => {
                table.states.insert(ticket, State::Revoked);
                table.ended.push_back((Instant::now(), ticket));
            }
        }
    }

    /// Cancels what runs for a connection that has ended and that nobody asked for since.
    pub(super) fn abandon(&self, connection: &Sender) {
        for state in self.lock().states.values() {
            if let State::Running {
                reply_to,
                abort: Some(abort),
            } = state
                && reply_to.is_same(connection)
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
    fn forget_old(&mut self) {
        while let Some((ended, ticket)) = self.ended.front().copied() {
            if ended.elapsed() < KEPT {
                break;
            }
            self.ended.pop_front();
            if let Some(State::Done { bytes, .. }) = self.states.remove(&ticket) {
                self.kept_bytes -= bytes;
            }
        }
        self.drop_replies();
    }

    /// Drops the oldest replies beyond the bound. That their requests ran is not forgotten.
    fn drop_replies(&mut self) {
        for (_, ticket) in &self.ended {
            if self.kept_bytes <= MAX_KEPT_BYTES {
                return;
            }
            if let Some(State::Done { reply, bytes }) = self.states.get_mut(ticket) {
                self.kept_bytes -= std::mem::take(bytes);
                *reply = Reply::Refused(Refusal::may_have_run(Reason::ConnectionLost));
            }
        }
    }
}

impl Reply {
    fn size(&self) -> usize {
        match self {
            Self::Answer(message) => message.size(),
            Self::Refused(_) => 0,
        }
    }
}
