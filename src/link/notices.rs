//! Updates that a link has sent and that the peer has not confirmed.
//!
//! A connection may go silent without an error, and what was written to it is then lost. The peer
//! handles frames in the order of their arrival, so its answer to a ping confirms all updates that
//! were sent before the ping. Updates without a confirmation are sent again on the next connection.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::link::frame::Update;

/// Time after which a ping asks for the confirmation of an update; one ping confirms all that were
/// sent meanwhile.
const CONFIRM_DELAY: Duration = Duration::from_millis(200);
/// Time without a confirmation after which the connection is replaced, whatever else arrives on it.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(2);
/// Most updates that are kept apart; beyond that, the oldest ones are merged.
const MAX_BATCHES: usize = 8;

/// An update without a confirmation.
struct Notice {
    update: Update,
    /// Number of pings that were sent on the connection before the update; the largest number if the
    /// update was not sent on this connection.
    pings_before: u64,
    sent_at: Instant,
    /// Informed of the confirmation.
    waiting: Vec<oneshot::Sender<()>>,
}

/// The updates that a peer has not confirmed, oldest first.
#[derive(Default)]
pub(super) struct Notices {
    unconfirmed: VecDeque<Notice>,
    /// Pings that were sent, and answers to them that arrived, on the current connection.
    pings: u64,
    pongs: u64,
}

impl Notices {
    pub(super) fn is_empty(&self) -> bool {
        self.unconfirmed.is_empty()
    }

    /// Adds an update, which was `sent` or has to wait for the next connection. `waiting` is informed
    /// once the peer has confirmed it.
    pub(super) fn push(
        &mut self,
        update: Update,
        waiting: Option<oneshot::Sender<()>>,
        sent: bool,
    ) {
        if self.unconfirmed.len() >= MAX_BATCHES
            && let Some(oldest) = self.unconfirmed.pop_front()
            && let Some(next) = self.unconfirmed.front_mut()
        {
            next.update.prepend(oldest.update);
            next.pings_before = next.pings_before.max(oldest.pings_before);
            next.sent_at = oldest.sent_at;
            next.waiting.extend(oldest.waiting);
        }
        self.unconfirmed.push_back(Notice {
            update,
            pings_before: if sent { self.pings } else { u64::MAX },
            sent_at: Instant::now(),
            waiting: waiting.into_iter().collect(),
        });
    }

    /// Records that a ping was sent.
    pub(super) fn record_ping(&mut self) {
        self.pings += 1;
    }

    /// Records an answer to a ping, which confirms the updates that were sent before the ping.
    pub(super) fn record_pong(&mut self) {
        self.pongs += 1;
        let pongs = self.pongs;
        while let Some(notice) = self
            .unconfirmed
            .pop_front_if(|notice| notice.pings_before < pongs)
        {
            for waiting in notice.waiting {
                let _ = waiting.send(());
            }
        }
    }

    /// Whether a ping should ask for a confirmation now.
    pub(super) fn is_ping_due(&self) -> bool {
        let oldest = self.unconfirmed.front();
        oldest.is_some_and(|notice| {
            !notice.waiting.is_empty() || notice.sent_at.elapsed() >= CONFIRM_DELAY
        })
    }

    /// Whether a confirmation has been missing for so long that the connection has to be replaced.
    pub(super) fn is_overdue(&self) -> bool {
        let oldest = self.unconfirmed.front();
        oldest.is_some_and(|notice| notice.sent_at.elapsed() >= CONFIRM_TIMEOUT)
    }

    /// Starts anew on another connection; returns the updates to send on it.
    pub(super) fn restart(&mut self) -> impl Iterator<Item = &Update> {
        (self.pings, self.pongs) = (0, 0);
        let now = Instant::now();
        self.unconfirmed.iter_mut().map(move |notice| {
            notice.pings_before = 0;
            notice.sent_at = now;
            &notice.update
        })
    }

    /// Stops waiting for confirmations, because the peer cannot be reached. The updates stay for the
    /// next connection.
    pub(super) fn stop_waiting(&mut self) {
        for notice in &mut self.unconfirmed {
            notice.waiting.clear();
        }
        self.unconfirmed.retain(|notice| !notice.update.is_empty());
    }
}
