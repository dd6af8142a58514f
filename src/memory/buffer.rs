//! Bodies in memory.

use bytes::Bytes;

use crate::memory::Reservation;

/// Bytes reserved for each byte of a head: its text, its parsed form and a copy in an offer.
const HEAD_COST_FACTOR: usize = 3;
/// Bytes reserved for a message besides head and body: its task and its place in tables.
const MESSAGE_COST_BYTES: usize = 4 * 1024;

/// Smallest cost of a response that is reserved while it waits to be written. The request's own reservation
/// covers a smaller one.
pub(crate) const MIN_RESERVED_COST: usize = 2 * MESSAGE_COST_BYTES;

/// Bytes reserved for a message with a head of `bytes` bytes, besides its body.
pub(crate) fn head_cost(bytes: usize) -> usize {
    bytes * HEAD_COST_FACTOR + MESSAGE_COST_BYTES
}

/// Bytes that return their reservation when their last copy is dropped.
pub(crate) fn hold(bytes: impl AsRef<[u8]> + Send + 'static, reservation: Reservation) -> Bytes {
    struct Held<T>(
        T,
        #[allow(dead_code, reason = "held until the bytes are dropped")] Reservation,
    );
    impl<T: AsRef<[u8]>> AsRef<[u8]> for Held<T> {
        fn as_ref(&self) -> &[u8] {
            self.0.as_ref()
        }
    }
    Bytes::from_owner(Held(bytes, reservation))
}

/// Makes space for `count` more bytes, of `room` that may follow. The space doubles, so that a body is
/// moved seldom, but never exceeds what may follow.
pub(crate) fn make_space(body: &mut Vec<u8>, count: usize, room: usize) {
    if body.capacity() - body.len() < count {
        body.reserve_exact(count.max(body.len().min(room)));
    }
}
