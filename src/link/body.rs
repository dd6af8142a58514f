//! Bodies that are sent in parts: those that wait to be written, and one that is being received.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::error::{Error, Result};
use crate::link::frame::{Frame, MAX_PART_BYTES, OfferId, Part};
use crate::memory::{self, Reservation};

/// Memory that is allocated for the first bytes of a body; doubled as more arrive, so that a peer which
/// announces a body and sends nothing takes none.
const FIRST_ALLOCATION_BYTES: usize = 64 * 1024;

/// The rest of a body that is being sent.
struct Rest {
    offer_id: OfferId,
    part: Part,
    bytes: Bytes,
}

/// Bodies of one connection that are written in parts, in turns.
#[derive(Default)]
pub(super) struct Queue(VecDeque<Rest>);

impl Queue {
    /// Takes the body out of a frame that is about to be written, if it is to follow in parts. It
    /// replaces one of an earlier frame for the same message.
    pub(super) fn take_body(&mut self, frame: &mut Frame) {
        let Some((offer_id, part, message)) = frame.message_mut() else {
            return;
        };
        let body = message.detach_body();
        if !self.0.is_empty() {
            self.stop(offer_id, part);
        }
        if let Some(bytes) = body {
            self.0.push_back(Rest {
                offer_id,
                part,
                bytes,
            });
        }
    }

    /// Drops a body that the peer no longer needs.
    pub(super) fn stop(&mut self, offer_id: OfferId, part: Part) {
        self.0
            .retain(|rest| (rest.offer_id, rest.part) != (offer_id, part));
    }

    /// The next part of the body whose turn it is.
    pub(super) fn next_part(&mut self) -> Option<Frame> {
        let mut rest = self.0.pop_front()?;
        let length = rest.bytes.len().min(MAX_PART_BYTES);
        let bytes = rest.bytes.split_to(length);
        let last = rest.bytes.is_empty();
        let frame = Frame::Body {
            offer: rest.offer_id,
            part: rest.part,
            bytes,
            last,
        };
        if !last {
            self.0.push_back(rest);
        }
        Some(frame)
    }
}

/// A body that is being received.
pub(super) struct Assembly {
    announced: usize,
    bytes: Vec<u8>,
    reservation: Reservation,
}

impl Assembly {
    /// A body of `announced` bytes, for which memory is reserved.
    pub(super) fn new(announced: usize, reservation: Reservation) -> Self {
        Self {
            announced,
            bytes: Vec::new(),
            reservation,
        }
    }

    /// Adds the next bytes; fails if the body is longer than announced, or ends too early.
    pub(super) fn append(&mut self, bytes: &[u8], last: bool) -> Result<()> {
        let length = self.bytes.len() + bytes.len();
        if length > self.announced || last && length < self.announced {
            return Err(Error::Peer(format!(
                "body of {length} bytes where {} were announced",
                self.announced
            )));
        }
        if length > self.bytes.capacity() {
            let capacity = (2 * self.bytes.len()).max(FIRST_ALLOCATION_BYTES);
            let capacity = capacity.max(length).min(self.announced);
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// The complete body, which keeps the reservation.
    pub(super) fn finish(self) -> Bytes {
        memory::hold(self.bytes, self.reservation)
    }
}
