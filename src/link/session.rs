//! One connection of a link: a task that writes queued frames, and a stream of received frames.
//!
//! Large bodies are written in parts between the frames: a part only while no frame is queued, and the
//! parts of several bodies in turns.

use std::sync::Arc;

use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio_util::codec::{FramedRead, FramedWrite};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::error::{Error, Result};
use crate::link::body::Queue;
use crate::link::frame::{Codec, Frame, OfferId, Part};
use crate::memory::Budget;

/// Capacity of the write queue. If the peer reads too slowly and the queue fills up, further frames
/// are dropped, and [`Sender::send`] returns `false`.
const MAX_QUEUED_FRAMES: usize = 4096;
/// Initial size of a connection's read and write buffers. Most frames fit; larger ones grow the
/// buffers. Small because a node has many connections and little memory.
const INITIAL_BUFFER_BYTES: usize = 1024;
/// Encoded bytes that are buffered before a write to the socket.
const WRITE_BATCH_BYTES: usize = 8 * 1024;
/// Unsent bytes in the socket's buffer above which the kernel accepts no more (`TCP_NOTSENT_LOWAT`).
/// A frame waits behind at most about this many bytes of bodies. Two parts of a body keep the
/// socket busy while the next one is written.
const MAX_UNSENT_BYTES: u32 = 32 * 1024;

/// What the writing task is to do.
enum Command {
    Write(Frame),
    /// Write no more of a body.
    Stop(OfferId, Part),
}

/// Queues frames for one connection; the connection closes when all clones are dropped.
#[derive(Clone)]
pub(super) struct Sender {
    commands: mpsc::Sender<Command>,
    /// Ends the writing of bodies when all clones are dropped.
    _open: Arc<DropGuard>,
}

impl Sender {
    /// Queues a frame; `false` if the connection has closed or its queue is full. A large body of the
    /// frame's message follows in parts.
    pub(super) fn send(&self, frame: Frame) -> bool {
        self.commands.try_send(Command::Write(frame)).is_ok()
    }

    /// Stops sending a body that the peer no longer needs.
    pub(super) fn stop_body(&self, offer_id: OfferId, part: Part) {
        let _ = self.commands.try_send(Command::Stop(offer_id, part));
    }

    pub(super) fn is_open(&self) -> bool {
        !self.commands.is_closed()
    }

    pub(super) fn is_same_connection(&self, other: &Self) -> bool {
        self.commands.same_channel(&other.commands)
    }
}

/// Frames received on one connection.
pub(super) struct Receiver(FramedRead<OwnedReadHalf, Codec>);

impl Receiver {
    /// Receives large frames only if there is memory for them.
    pub(super) fn set_budget(&mut self, budget: Arc<Budget>) {
        self.0.decoder_mut().set_budget(budget);
    }

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
    // Without this option, frames only wait longer.
    let _ = socket2::SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
    let (reader, writer) = stream.into_split();
    let (commands, queue) = mpsc::channel(MAX_QUEUED_FRAMES);
    let closed = CancellationToken::new();
    let open = Arc::new(closed.clone().drop_guard());
    tokio::spawn(write_frames(queue, writer, closed));
    Ok((
        Sender {
            commands,
            _open: open,
        },
        Receiver(FramedRead::with_capacity(
            reader,
            Codec::new(),
            INITIAL_BUFFER_BYTES,
        )),
    ))
}

/// Writes the queued frames, and parts of bodies while no frame is queued, until all senders are
/// dropped.
async fn write_frames(
    mut queue: mpsc::Receiver<Command>,
    writer: OwnedWriteHalf,
    closed: CancellationToken,
) {
    let mut framed = FramedWrite::with_capacity(writer, Codec::new(), INITIAL_BUFFER_BYTES);
    framed.set_backpressure_boundary(WRITE_BATCH_BYTES);
    let mut bodies = Queue::default();
    loop {
        while let Ok(command) = queue.try_recv() {
            if execute(command, &mut bodies, &mut framed).await.is_err() {
                return;
            }
        }
        if framed.flush().await.is_err() {
            return;
        }
        if let Some(part) = bodies.next_part() {
            let written = tokio::select! {
                biased;
                () = closed.cancelled() => return,
                written = framed.send(part) => written,
            };
            if written.is_err() {
                return;
            }
            continue;
        }
        let Some(command) = queue.recv().await else {
            return;
        };
        if execute(command, &mut bodies, &mut framed).await.is_err() {
            return;
        }
    }
}

async fn execute(
    command: Command,
    bodies: &mut Queue,
    framed: &mut FramedWrite<OwnedWriteHalf, Codec>,
) -> Result<()> {
    match command {
        Command::Write(mut frame) => {
            bodies.take_body(&mut frame);
            framed.feed(frame).await
        }
        Command::Stop(offer_id, part) => {
            bodies.stop(offer_id, part);
            Ok(())
        }
    }
}
