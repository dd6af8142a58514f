//! A loopback relay that delays, resets, cuts one way or silences connections.

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

/// What a relay does to its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    /// Passes everything on.
    Pass,
    /// Passes everything on late.
    Delay(Duration),
    /// Drops what comes from the side that connected.
    CutRequests,
    /// Drops what comes from the side that was connected to.
    CutAnswers,
    /// Drops everything, and keeps connections open.
    Silent,
    /// Closes new connections at once.
    Refuse,
}

/// A running relay.
pub(super) struct Relay {
    mode: watch::Sender<Mode>,
    /// Connections of earlier generations are reset.
    reset: watch::Sender<u64>,
    /// Connections of earlier generations are silent for good.
    muted: Arc<AtomicU64>,
    accepting: AbortHandle,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

#[derive(Clone)]
struct Carrier {
    mode: watch::Receiver<Mode>,
    muted: Arc<AtomicU64>,
    born: u64,
}

impl Relay {
    /// Relays from `address` to `to`.
    pub(super) fn start(address: SocketAddr, to: SocketAddr) -> Result<Self> {
        let listener = crate::http::bind(address)?;
        let (mode, modes) = watch::channel(Mode::Pass);
        let (reset, resets) = watch::channel(0);
        let muted = Arc::new(AtomicU64::new(0));
        let accepting = tokio::spawn(accept(listener, to, modes, resets, muted.clone()));
        Ok(Self {
            mode,
            reset,
            muted,
            accepting: accepting.abort_handle(),
        })
    }

    pub(super) fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Resets all open connections.
    pub(super) fn reset(&self) {
        self.reset.send_modify(|generation| *generation += 1);
    }

    /// Silences all open connections for good; new ones work.
    pub(super) fn mute(&self) {
        self.muted.fetch_add(1, Ordering::Relaxed);
    }
}

async fn accept(
    listener: TcpListener,
    to: SocketAddr,
    modes: watch::Receiver<Mode>,
    resets: watch::Receiver<u64>,
    muted: Arc<AtomicU64>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        if *modes.borrow() == Mode::Refuse {
            reset(&stream);
            continue;
        }
        let carrier = Carrier {
            mode: modes.clone(),
            born: muted.load(Ordering::Relaxed),
            muted: muted.clone(),
        };
        tokio::spawn(carry(stream, to, carrier, resets.clone()));
    }
}

async fn carry(
    stream: TcpStream,
    to: SocketAddr,
    carrier: Carrier,
    mut resets: watch::Receiver<u64>,
) {
    resets.borrow_and_update();
    let Ok(other) = TcpStream::connect(to).await else {
        reset(&stream);
        return;
    };
    for side in [&stream, &other] {
        let _ = side.set_nodelay(true);
        reset(side);
    }
    let (near_in, near_out) = stream.into_split();
    let (far_in, far_out) = other.into_split();
    tokio::select! {
        () = one_way(near_in, far_out, carrier.clone(), Mode::CutRequests) => {}
        () = one_way(far_in, near_out, carrier, Mode::CutAnswers) => {}
        _ = resets.changed() => {}
    }
}

async fn one_way(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, carrier: Carrier, cut: Mode) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        let mode = *carrier.mode.borrow();
        if let Mode::Delay(delay) = mode {
            tokio::time::sleep(delay).await;
        }
        let muted = carrier.muted.load(Ordering::Relaxed) != carrier.born;
        if muted || mode == cut || mode == Mode::Silent {
            continue;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
    // An orderly end of one direction leaves the other one open.
    tokio::time::sleep(Duration::from_secs(2)).await;
}

/// Makes the connection end with a reset instead of an orderly close.
fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
