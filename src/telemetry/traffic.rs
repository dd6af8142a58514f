//! Bytes exchanged with other regions.

use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes of one connection, in both directions.
#[derive(Default)]
pub(crate) struct Counted {
    /// Bytes from the peer.
    pub received: AtomicU64,
    /// Bytes to the peer.
    pub sent: AtomicU64,
    /// Region of the peer, once it has said so.
    pub region: OnceLock<String>,
}

impl Counted {
    fn total(&self) -> u64 {
        self.received.load(Ordering::Relaxed) + self.sent.load(Ordering::Relaxed)
    }
}

/// Bytes of all connections that peers opened to this node, by the peer's region.
#[derive(Default)]
pub(crate) struct Traffic {
    open: Mutex<Vec<Arc<Counted>>>,
    closed: Mutex<BTreeMap<String, u64>>,
}

impl Traffic {
    /// Counts a new connection.
    pub(crate) fn open(&self) -> Arc<Counted> {
        let counted = Arc::new(Counted::default());
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.push(counted.clone());
        counted
    }

    /// Adds a closed connection to the sums.
    pub(crate) fn close(&self, counted: &Arc<Counted>) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.retain(|other| !Arc::ptr_eq(other, counted));
        drop(open);
        let region = counted.region.get().map_or("", String::as_str);
        self.add(region, counted.total());
    }

    /// Adds bytes exchanged with a peer in `region`.
    pub(crate) fn add(&self, region: &str, bytes: u64) {
        let mut closed = self.closed.lock().unwrap_or_else(PoisonError::into_inner);
        *closed.entry(region.to_owned()).or_default() += bytes;
    }

    /// Bytes by region of the peer.
    pub(crate) fn snapshot(&self) -> BTreeMap<String, u64> {
        let mut sums = self
            .closed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        for counted in self
            .open
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .iter()
        {
            let region = counted.region.get().cloned().unwrap_or_default();
            *sums.entry(region).or_default() += counted.total();
        }
        sums
    }
}

/// A stream whose bytes are counted.
pub(crate) struct CountedStream<S> {
    inner: S,
    counted: Arc<Counted>,
}

impl<S> CountedStream<S> {
    pub(crate) fn new(inner: S, counted: Arc<Counted>) -> Self {
        Self { inner, counted }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let poll = Pin::new(&mut self.inner).poll_read(context, buffer);
        let read = buffer.filled().len() - before;
        self.counted
            .received
            .fetch_add(read as u64, Ordering::Relaxed);
        poll
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.inner).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = &poll {
            self.counted
                .sent
                .fetch_add(*written as u64, Ordering::Relaxed);
        }
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
