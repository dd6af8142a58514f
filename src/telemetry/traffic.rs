//! Bytes exchanged with peers, by the region of the peer.

use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Byte counts of one connection.
#[derive(Default)]
pub(crate) struct ConnectionBytes {
    /// Bytes received from the peer.
    pub received: AtomicU64,
    /// Bytes sent to the peer.
    pub sent: AtomicU64,
    /// Region of the peer, once a request header has stated it.
    pub region: OnceLock<String>,
}

impl ConnectionBytes {
    fn total(&self) -> u64 {
        self.received.load(Ordering::Relaxed) + self.sent.load(Ordering::Relaxed)
    }
}

/// Bytes exchanged over connections that peers opened to this node, by the region of the peer.
#[derive(Default)]
pub(crate) struct Traffic {
    /// Open connections.
    open: Mutex<Vec<Arc<ConnectionBytes>>>,
    /// Sums of the closed connections and of [`Traffic::add`], by region.
    closed: Mutex<BTreeMap<String, u64>>,
}

impl Traffic {
    /// Registers a new connection and returns its byte counts.
    pub(crate) fn add_connection(&self) -> Arc<ConnectionBytes> {
        let connection = Arc::new(ConnectionBytes::default());
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.push(connection.clone());
        connection
    }

    /// Removes a closed connection and adds its bytes to the sum of its region.
    pub(crate) fn remove_connection(&self, connection: &Arc<ConnectionBytes>) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.retain(|other| !Arc::ptr_eq(other, connection));
        drop(open);
        let region = connection.region.get().map_or("", String::as_str);
        self.add(region, connection.total());
    }

    /// Adds bytes exchanged with a peer in `region`.
    pub(crate) fn add(&self, region: &str, bytes: u64) {
        let mut closed = self.closed.lock().unwrap_or_else(PoisonError::into_inner);
        *closed.entry(region.to_owned()).or_default() += bytes;
    }

    /// Returns the bytes in both directions by region; the region is empty where it is unknown.
    pub(crate) fn snapshot(&self) -> BTreeMap<String, u64> {
        let mut sums = self
            .closed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        for connection in self
            .open
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .iter()
        {
            let region = connection.region.get().cloned().unwrap_or_default();
            *sums.entry(region).or_default() += connection.total();
        }
        sums
    }
}

/// A stream that counts the bytes read and written.
pub(crate) struct CountedStream<S> {
    inner: S,
    connection: Arc<ConnectionBytes>,
}

impl<S> CountedStream<S> {
    pub(crate) fn new(inner: S, connection: Arc<ConnectionBytes>) -> Self {
        Self { inner, connection }
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
        self.connection
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
            self.connection
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
