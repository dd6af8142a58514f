//! What a server's connection does, which decides whether it may close for others.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::sync::Notify;

use crate::http::body::BodyError;
use crate::http::{Body, Place};
use crate::memory::Account;

/// Bytes of a response that are passed on at once, so that a caller which reads makes progress.
const PIECE_BYTES: usize = 64 * 1024;

/// State of one connection. A connection with a request is not idle; while its caller has to read, it can
/// lose its memory to others.
pub(crate) struct Activity {
    place: Mutex<Place>,
    account: Option<Mutex<Account>>,
    /// Whether the connection counts as idle also while it has a request.
    always_idle: bool,
    /// Whether the connection has a request.
    has_request: AtomicBool,
    request_ended: Notify,
}

impl Activity {
    /// Begins idle. The account, if any, holds the memory of the connection's buffers.
    pub(crate) fn new(place: Place, account: Option<Account>, always_idle: bool) -> Arc<Self> {
        let activity = Arc::new(Self {
            place: Mutex::new(place),
            account: account.map(Mutex::new),
            always_idle,
            has_request: AtomicBool::new(false),
            request_ended: Notify::new(),
        });
        activity.end_request();
        activity
    }

    /// Begins a request, which ends when the returned guard is dropped. The time since which the
    /// connection has been idle starts anew if it counts as idle nevertheless.
    pub(crate) fn begin_request(self: &Arc<Self>) -> Running {
        let mut place = lock(&self.place);
        place.set_idle(false);
        place.set_idle(self.always_idle);
        drop(place);
        self.has_request.store(true, Ordering::Relaxed);
        Running(self.clone())
    }

    /// Completes when the connection has lost its place, and is idle.
    pub(crate) async fn lost(&self) {
        loop {
            let lost = lock(&self.place).lost();
            lost.await;
            if lock(&self.place).is_idle() {
                return;
            }
            self.request_ended.notified().await;
        }
    }

    /// Completes when the connection has lost its memory.
    pub(super) async fn evicted(&self) {
        let Some(account) = &self.account else {
            return std::future::pending().await;
        };
        let eviction = lock(account).eviction();
        eviction.await;
    }

    /// Whether the connection has a request.
    pub(super) fn has_request(&self) -> bool {
        self.has_request.load(Ordering::Relaxed)
    }

    fn end_request(&self) {
        self.has_request.store(false, Ordering::Relaxed);
        self.set_caller_awaited(false);
        lock(&self.place).set_idle(true);
        self.request_ended.notify_one();
    }

    /// Sets whether the caller has to read for the connection to make progress, from now on.
    fn set_caller_awaited(&self, awaited: bool) {
        if let Some(account) = &self.account {
            lock(account).set_evictable(awaited);
        }
    }
}

/// A request of a connection.
pub(crate) struct Running(Arc<Activity>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The body of a response, which reports the progress of its caller. The request ends when it is
/// dropped.
pub(super) struct ReportingBody {
    body: Body,
    /// Rest of a large frame.
    rest: Bytes,
    request: Running,
}

impl ReportingBody {
    pub(super) fn boxed(body: Body, request: Running) -> Body {
        BodyExt::boxed(Self {
            body,
            rest: Bytes::new(),
            request,
        })
    }
}

impl http_body::Body for ReportingBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let mut data = std::mem::take(&mut self.rest);
        if data.is_empty() {
            let polled = Pin::new(&mut self.body).poll_frame(context);
            self.request.0.set_caller_awaited(polled.is_ready());
            match polled {
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(bytes) => data = bytes,
                    Err(frame) => return Poll::Ready(Some(Ok(frame))),
                },
                other => return other,
            }
        } else {
            self.request.0.set_caller_awaited(true);
        }
        if data.len() > PIECE_BYTES {
            self.rest = data.split_off(PIECE_BYTES);
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let rest = self.rest.len() as u64;
        let body = self.body.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(body.lower() + rest);
        if let Some(upper) = body.upper() {
            hint.set_upper(upper + rest);
        }
        hint
    }
}
