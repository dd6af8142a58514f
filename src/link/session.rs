//! One connection of a link: a task that writes frames and a stream of frames read.

use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio_util::codec::{FramedRead, FramedWrite};

use crate::error::{Error, Result};
use crate::link::frame::{Codec, Frame};

/// Frames that wait to be written at most; a peer that reads too slowly loses its connection.
const QUEUED_FRAMES: usize = 4096;
/// First size of a connection's buffers in bytes, which hold most frames: a node has many
/// connections and little memory. They grow with the frames.
const BUFFER_BYTES: usize = 1024;
/// Bytes that are collected before they are written.
const WRITE_BYTES: usize = 8 * 1024;

/// Sender of frames to one connection; the connection ends when all senders are gone.
#[derive(Clone)]
pub(super) struct Sender(mpsc::Sender<Frame>);

impl Sender {
    /// Queues a frame; `false` if the connection has ended or does not keep up.
    pub(super) fn send(&self, frame: Frame) -> bool {
        self.0.try_send(frame).is_ok()
    }

    pub(super) fn is_open(&self) -> bool {
        !self.0.is_closed()
    }

    pub(super) fn is_same(&self, other: &Self) -> bool {
        self.0.same_channel(&other.0)
    }
}

/// Frames read from one connection.
pub(super) struct Receiver(FramedRead<OwnedReadHalf, Codec>);

impl Receiver {
    /// The next frame.
    pub(super) async fn next(&mut self) -> Result<Frame> {
        match self.0.next().await {
            Some(frame) => frame,
            None => Err(Error::Peer("connection ended".into())),
        }
    }
}

/// Splits a connection and starts its writing task.
pub(super) fn start(stream: TcpStream) -> Result<(Sender, Receiver)> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    let (sender, queue) = mpsc::channel(QUEUED_FRAMES);
    tokio::spawn(write(queue, writer));
    Ok((
        Sender(sender),
        Receiver(FramedRead::with_capacity(
            reader,
            Codec::new(),
            BUFFER_BYTES,
        )),
    ))
}

async fn write(mut queue: mpsc::Receiver<Frame>, writer: OwnedWriteHalf) {
    let mut framed = FramedWrite::with_capacity(writer, Codec::new(), BUFFER_BYTES);
    framed.set_backpressure_boundary(WRITE_BYTES);
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
