//! Bodies of requests and responses.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use http_body::{Frame, SizeHint};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use tokio::time::{Sleep, sleep_until};

use crate::memory::{self, Account, Denied, Reservation, make_space};

/// Error of a body that ended before it was complete.
pub(crate) type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of any outgoing request or response.
pub(crate) type Body = BoxBody<Bytes, BodyError>;

/// Creates a body from bytes in memory.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// A body that fails at once, which makes `hyper` close the connection.
#[cfg(feature = "standin")]
pub(crate) struct FailingBody;

#[cfg(feature = "standin")]
impl http_body::Body for FailingBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Poll::Ready(Some(Err("connection closed on purpose".into())))
    }
}

/// Creates a response whose connection is closed before the body.
#[cfg(feature = "standin")]
pub(crate) fn aborted_response() -> hyper::Response<Body> {
    hyper::Response::new(FailingBody.boxed())
}

/// Creates an empty body.
pub(crate) fn empty() -> Body {
    full(Bytes::new())
}

/// Reads a whole body; fails if it is longer than `limit` bytes.
pub(crate) async fn read_whole<B>(mut body: B, limit: usize) -> Result<Bytes, String>
where
    B: http_body::Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        if let Ok(data) = frame.into_data() {
            if whole.len() + data.len() > limit {
                return Err(format!("body exceeds {limit} bytes"));
            }
            whole.extend_from_slice(&data);
        }
    }
    Ok(whole.freeze())
}

/// Why a body could not be read.
#[derive(Debug, derive_more::Display)]
pub(crate) enum ReadError {
    /// The body is larger than allowed.
    #[display("body too large")]
    TooLarge,
    /// The connection broke.
    #[display("{_0}")]
    Broken(String),
    /// Too little memory is left.
    #[display("too little memory")]
    NoMemory,
    /// The sender made no progress while others needed the memory that the body holds.
    #[display("no progress")]
    Stalled,
}

impl From<Denied> for ReadError {
    fn from(_: Denied) -> Self {
        Self::NoMemory
    }
}

/// Reads a whole body of at most `limit` bytes. Its memory is reserved in `account` as it arrives, and then
/// belongs to the returned bytes.
pub(crate) async fn read_held<B>(
    body: &mut B,
    limit: usize,
    account: &mut Account,
) -> Result<Bytes, ReadError>
where
    B: http_body::Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let other_bytes = account.bytes();
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > limit {
        return Err(ReadError::TooLarge);
    }
    let mut whole = Vec::new();
    account.set_evictable(true);
    loop {
        let frame = tokio::select! {
            biased;
            () = account.evicted() => return Err(ReadError::Stalled),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|error| ReadError::Broken(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let room = limit - whole.len();
        if data.len() > room {
            return Err(ReadError::TooLarge);
        }
        let total = other_bytes + whole.len() + data.len();
        account.hold(total).await?;
        account.record_progress(data.len());
        make_space(&mut whole, data.len(), room);
        whole.extend_from_slice(&data);
    }
    account.set_evictable(false);
    whole.shrink_to_fit();
    let reservation = account.split(whole.len());
    Ok(memory::hold(whole, reservation))
}

/// A body whose bytes are added to an account that others share, and which fails if too little memory is
/// left.
pub(crate) struct MeteredBody<B> {
    body: B,
    account: Arc<Mutex<Account>>,
    /// Bytes that the account holds for each byte of the body.
    cost: usize,
    evicted: Pin<Box<dyn Future<Output = ()> + Send>>,
}

impl<B> MeteredBody<B> {
    pub(crate) fn new(body: B, account: Arc<Mutex<Account>>, cost: usize) -> Self {
        let evicted = Box::pin(lock(&account).eviction());
        Self {
            body,
            account,
            cost,
            evicted,
        }
    }
}

impl<B> http_body::Body for MeteredBody<B>
where
    B: http_body::Body<Data = Bytes> + Unpin,
    B::Error: Into<BodyError>,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.evicted.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err(ReadError::Stalled.to_string().into())));
        }
        let polled = Pin::new(&mut self.body).poll_frame(context);
        let mut account = lock(&self.account);
        match &polled {
            Poll::Pending => {}
            Poll::Ready(Some(Ok(frame))) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                let total = account.bytes() + bytes * self.cost;
                if !account.try_hold(total) {
                    return Poll::Ready(Some(Err(ReadError::NoMemory.to_string().into())));
                }
                account.record_progress(bytes);
            }
            Poll::Ready(_) => account.set_evictable(false),
        }
        drop(account);
        polled.map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

fn lock(account: &Mutex<Account>) -> MutexGuard<'_, Account> {
    account.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A body that fails if it is not complete at a deadline, or is longer than a limit.
pub(crate) struct BoundedBody<B> {
    body: B,
    deadline: Pin<Box<Sleep>>,
    /// Bytes that may still follow.
    room: usize,
}

impl<B> BoundedBody<B> {
    pub(crate) fn new(body: B, deadline: Instant, limit: usize) -> Self {
        Self {
            body,
            deadline: Box::pin(sleep_until(deadline.into())),
            room: limit,
        }
    }
}

impl<B> http_body::Body for BoundedBody<B>
where
    B: http_body::Body<Data = Bytes> + Unpin,
    B::Error: Into<BodyError>,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        // First, because a body without end may always be ready.
        if self.deadline.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err("body not complete at the deadline".into())));
        }
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            match self.room.checked_sub(bytes) {
                Some(room) => self.room = room,
                None => return Poll::Ready(Some(Err(ReadError::TooLarge.to_string().into()))),
            }
        }
        polled.map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A resource that a [`ReleasingBody`] releases once it has been read to its end.
pub(crate) trait Release: Send + Sync + Unpin + 'static {
    /// Called once, after the last byte. If the body fails or is dropped before that, the resource
    /// is dropped instead.
    fn release(self);
}

/// Memory of a response's buffers.
impl Release for Reservation {
    fn release(self) {}
}

/// A body that owns a resource and releases it once the body has been read to its end.
pub(crate) struct ReleasingBody<B, T: Release> {
    body: B,
    resource: Option<T>,
}

impl<B: http_body::Body, T: Release> ReleasingBody<B, T> {
    pub(crate) fn new(body: B, resource: T) -> Self {
        let mut this = Self {
            body,
            resource: Some(resource),
        };
        this.release_if_ended();
        this
    }

    fn release_if_ended(&mut self) {
        if http_body::Body::is_end_stream(&self.body) {
            self.release();
        }
    }

    fn release(&mut self) {
        if let Some(resource) = self.resource.take() {
            resource.release();
        }
    }
}

impl<B, T> http_body::Body for ReleasingBody<B, T>
where
    B: http_body::Body<Data = Bytes> + Unpin,
    B::Error: Into<BodyError>,
    T: Release,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => {
                self.release();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(frame))) => {
                self.release_if_ended();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.resource = None;
                Poll::Ready(Some(Err(error.into())))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
