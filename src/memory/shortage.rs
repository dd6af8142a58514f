//! What happens when too few bytes are left: who waits, who is refused and who loses its bytes.

use std::time::{Duration, Instant};

/// Time without progress after which a holder loses its bytes if another one needs them.
pub(super) const STALL_TIME: Duration = Duration::from_secs(1);
/// Longest time for which a holder waits for bytes: a little longer than it takes to tell who makes no
/// progress. A request that gets none by then is refused.
const MAX_WAIT: Duration = Duration::from_millis(1_300);
/// Time after which the youngest of several that wait is refused, so that the others get its bytes: if
/// all waited, none would ever become complete.
const YOUNGEST_WAIT: Duration = Duration::from_millis(100);
/// Longest pause between two decisions.
const MAX_PAUSE: Duration = Duration::from_millis(100);
/// Time for a holder that lost its bytes to return them.
const RETURN_TIME: Duration = Duration::from_millis(20);

/// A holder that may lose its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Holder {
    pub id: u64,
    /// When it last received or sent a substantial number of bytes.
    pub last_progress: Instant,
}

/// What to do about a shortage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Decision {
    /// Take the bytes of this holder, and wait for them.
    Evict(u64, Duration),
    /// Wait for bytes.
    Wait(Duration),
    /// Refuse the request that needs the bytes.
    Refuse,
}

/// Decides for a request that has waited for `waited`. The holder that has made no progress for the
/// longest time loses its bytes, if that time is [`STALL_TIME`] or more. `youngest_of_many` says whether
/// others wait too and all of them began earlier.
pub(super) fn decide(
    holders: impl IntoIterator<Item = Holder>,
    youngest_of_many: bool,
    waited: Duration,
    now: Instant,
) -> Decision {
    if let Some(id) = stalest(holders, now) {
        return Decision::Evict(id, RETURN_TIME);
    }
    let max_wait = if youngest_of_many {
        YOUNGEST_WAIT
    } else {
        MAX_WAIT
    };
    if waited >= max_wait {
        return Decision::Refuse;
    }
    Decision::Wait(max_wait.saturating_sub(waited).min(MAX_PAUSE))
}

/// The holder that has made no progress for the longest time, if that is [`STALL_TIME`] or more.
pub(super) fn stalest(holders: impl IntoIterator<Item = Holder>, now: Instant) -> Option<u64> {
    let stalled = |holder: &Holder| now.saturating_duration_since(holder.last_progress);
    holders
        .into_iter()
        .filter(|holder| stalled(holder) >= STALL_TIME)
        .min_by_key(|holder| (holder.last_progress, holder.id))
        .map(|holder| holder.id)
}
