//! Message bodies.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Frame, SizeHint};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};

/// Error of a body that was cut off.
pub(crate) type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Any body that the processes send.
pub(crate) type Body = BoxBody<Bytes, BodyError>;

/// A body of known bytes.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// A body that breaks its connection off.
#[cfg(feature = "standin")]
pub(crate) struct Broken;

#[cfg(feature = "standin")]
impl http_body::Body for Broken {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Poll::Ready(Some(Err("broken off".into())))
    }
}

/// A response whose connection breaks before its body.
#[cfg(feature = "standin")]
pub(crate) fn aborted_response() -> hyper::Response<Body> {
    hyper::Response::new(Broken.boxed())
}

/// A body without bytes.
pub(crate) fn empty() -> Body {
    full(Bytes::new())
}

/// Reads a whole body of at most `limit` bytes.
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

/// What a [`ReleasingBody`] body gives back once it has been read to its end.
pub(crate) trait Release: Send + Sync + Unpin + 'static {
    /// Called once, after the last byte. A body dropped earlier drops the value instead.
    fn release(self);
}

/// A body that holds on to a resource until it has been read to its end.
pub(crate) struct ReleasingBody<B, T: Release> {
    body: B,
    held: Option<T>,
}

impl<B: http_body::Body, T: Release> ReleasingBody<B, T> {
    pub(crate) fn new(body: B, held: T) -> Self {
        let mut this = Self {
            body,
            held: Some(held),
        };
        this.release_at_end();
        this
    }

    fn release_at_end(&mut self) {
        if http_body::Body::is_end_stream(&self.body) {
            self.release();
        }
    }

    fn release(&mut self) {
        if let Some(held) = self.held.take() {
            held.release();
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
                self.release_at_end();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.held = None;
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
