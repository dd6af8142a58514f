//! One connection of a link: a task that writes queued frames, and a stream of received frames.

use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio_util::codec::{FramedRead, FramedWrite};

use crate::error::{Error, Result};
use crate::link::frame::{Codec, Frame};

/// Capacity of the write queue. If the peer reads too slowly and the queue fills up, further frames
/// are dropped, and [`Sender::send`] returns `false`.
const MAX_QUEUED_FRAMES: usize = 4096;
/// Initial size of a connection's read and write buffers. Most frames fit; larger ones grow the
/// buffers. Small because a node has many connections and little memory.
const INITIAL_BUFFER_BYTES: usize = 1024;
/// Encoded bytes that are buffered before a write to the socket.
const WRITE_BATCH_BYTES: usize = 8 * 1024;

/// Queues frames for one connection; the connection closes when all clones are dropped.
#[derive(Clone)]
pub(super) struct Sender(mpsc::Sender<Frame>);

impl Sender {
    /// Queues a frame; `false` if the connection has closed or its queue is full.
    pub(super) fn send(&self, frame: Frame) -> bool {
        self.0.try_send(frame).is_ok()
    }

    pub(super) fn is_open(&self) -> bool {
        !self.0.is_closed()
    }

    pub(super) fn is_same_connection(&self, other: &Self) -> bool {
        self.0.same_channel(&other.0)
    }
}

/// Frames received on one connection.
pub(super) struct Receiver(FramedRead<OwnedReadHalf, Codec>);

impl Receiver {
    /// Waits for the next frame; fails once the connection has closed.
    pub(super) async fn next(&mut self) -> Result<Frame> {
        match self.0.next().await {
            Some(frame) => frame,
            None => Err(Error::Peer("connection closed by the peer".into())),
        }
    }
}

/// Splits a connection into both halves and spawns the task that writes queued frames.
pub(super) fn start(stream: TcpStream) -> Result<(Sender, Receiver)> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    let (sender, queue) = mpsc::channel(MAX_QUEUED_FRAMES);
    tokio::spawn(write_frames(queue, writer));
    Ok((
        Sender(sender),
        Receiver(FramedRead::with_capacity(
            reader,
            Codec::new(),
            INITIAL_BUFFER_BYTES,
        )),
    ))
}

async fn write_frames(mut queue: mpsc::Receiver<Frame>, writer: OwnedWriteHalf) {
    let mut framed = FramedWrite::with_capacity(writer, Codec::new(), INITIAL_BUFFER_BYTES);
    framed.set_backpressure_boundary(WRITE_BATCH_BYTES);
    while let Some(frame) = queue.recv().await {
        let mut written = framed.feed(frame).await;
        while let (Ok(()), Ok(frame)) = (&written, queue.try_recv()) {
            written = framed.feed(frame).await;
        }
        if written.is_err() || framed.flush().await.is_err() {
            return;
        }
    }
}
