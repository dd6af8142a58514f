//! A loopback TCP relay that delays, resets, partitions or silences connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::error::Result;

/// What a relay does to its connections. The report shows the `Debug` output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    /// Forwards everything.
    Pass,
    /// Forwards everything after a delay.
    Delay(Duration),
    /// Drops bytes from the client to the upstream.
    CutRequests,
    /// Drops bytes from the upstream to the client.
    CutAnswers,
    /// Drops bytes in both directions and keeps connections open.
    Silent,
    /// Resets new connections at once.
    Refuse,
}

/// A running relay; stops accepting when dropped.
pub(super) struct Relay {
    mode: watch::Sender<Mode>,
    /// Number of resets so far; every change resets the connections that are open.
    resets: watch::Sender<u64>,
    /// Number of mutes so far; a connection accepted at a lower count forwards nothing.
    mutes: Arc<AtomicU64>,
    accept_task: AbortHandle,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

/// What decides whether a connection forwards bytes.
#[derive(Clone)]
struct Policy {
    mode: watch::Receiver<Mode>,
    mutes: Arc<AtomicU64>,
    mutes_at_accept: u64,
}

impl Relay {
    /// Listens at `address` and forwards connections to `upstream`.
    pub(super) fn start(address: SocketAddr, upstream: SocketAddr) -> Result<Self> {
        let listener = crate::http::bind(address)?;
        let (mode, mode_receiver) = watch::channel(Mode::Pass);
        let (resets, resets_receiver) = watch::channel(0);
        let mutes = Arc::new(AtomicU64::new(0));
        let accept_task = tokio::spawn(accept(
            listener,
            upstream,
            mode_receiver,
            resets_receiver,
            mutes.clone(),
        ));
        Ok(Self {
            mode,
            resets,
            mutes,
            accept_task: accept_task.abort_handle(),
        })
    }

    pub(super) fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Resets all open connections.
    pub(super) fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    /// Silences all open connections for good; new ones work.
    pub(super) fn mute(&self) {
        self.mutes.fetch_add(1, Ordering::Relaxed);
    }
}

async fn accept(
    listener: TcpListener,
    upstream: SocketAddr,
    mode: watch::Receiver<Mode>,
    resets: watch::Receiver<u64>,
    mutes: Arc<AtomicU64>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        if *mode.borrow() == Mode::Refuse {
            reset_on_close(&stream);
            continue;
        }
        let policy = Policy {
            mode: mode.clone(),
            mutes_at_accept: mutes.load(Ordering::Relaxed),
            mutes: mutes.clone(),
        };
        tokio::spawn(relay_connection(stream, upstream, policy, resets.clone()));
    }
}

/// Forwards one connection until one direction ends or the relay resets its connections.
async fn relay_connection(
    client: TcpStream,
    upstream: SocketAddr,
    policy: Policy,
    mut resets: watch::Receiver<u64>,
) {
    resets.borrow_and_update();
    let Ok(server) = TcpStream::connect(upstream).await else {
        reset_on_close(&client);
        return;
    };
    for stream in [&client, &server] {
        let _ = stream.set_nodelay(true);
        reset_on_close(stream);
    }
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    tokio::select! {
        () = forward(client_reader, server_writer, policy.clone(), Mode::CutRequests) => {}
        () = forward(server_reader, client_writer, policy, Mode::CutAnswers) => {}
        _ = resets.changed() => {}
    }
}

/// Forwards one direction; `cut_mode` is the mode that drops the bytes of this direction.
async fn forward(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    policy: Policy,
    cut_mode: Mode,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(read @ 1..) = reader.read(&mut buffer).await {
        let mode = *policy.mode.borrow();
        if let Mode::Delay(delay) = mode {
            tokio::time::sleep(delay).await;
        }
        let muted = policy.mutes.load(Ordering::Relaxed) != policy.mutes_at_accept;
        if muted || mode == cut_mode || mode == Mode::Silent {
            continue;
        }
        if writer.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
    let _ = writer.shutdown().await;
    // An orderly close of one direction leaves the other one open. The connection ends as soon as
    // this function returns, so the other direction gets time to finish.
    tokio::time::sleep(Duration::from_secs(2)).await;
}

/// Makes the connection end with a reset instead of an orderly close.
fn reset_on_close(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
