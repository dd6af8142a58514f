//! Accepting callers' connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use crate::bundle::RequestLimits;
use crate::h1::{Request, Response};
use crate::ingress::connection;

/// Pause after a failed `accept`, as when descriptors run out.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// How far the listener has closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Closing {
    /// It serves.
    Open,
    /// Connections end after what they have already sent.
    Finishing,
}

/// Answers callers.
#[async_trait]
pub(crate) trait Handler: Send + Sync + 'static {
    /// Bounds on what callers may send.
    fn intake(&self) -> RequestLimits;

    /// Answers a request; dropping the future means that the caller has left.
    async fn handle(&self, request: Request) -> Response;
}

/// A running listener.
pub(crate) struct Listener {
    address: SocketAddr,
    closing: watch::Sender<Closing>,
    done: mpsc::Receiver<()>,
}

impl Listener {
    /// Listens at `address`.
    pub(crate) fn start(address: SocketAddr, handler: Arc<dyn Handler>) -> std::io::Result<Self> {
        let listener = crate::http::bind(address)?;
        let address = listener.local_addr()?;
        let (closing, closed) = watch::channel(Closing::Open);
        let (alive, done) = mpsc::channel(1);
        tokio::spawn(accept(listener, handler, closed, alive));
        Ok(Self {
            address,
            closing,
            done,
        })
    }

    /// Address that the listener is bound to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends connections after what they have already sent, and waits for that.
    pub(crate) async fn finish(&mut self) {
        self.closing.send_replace(Closing::Finishing);
        while self.done.recv().await.is_some() {}
    }
}

async fn accept(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    mut closing: watch::Receiver<Closing>,
    alive: mpsc::Sender<()>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing == Closing::Finishing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let (handler, closing, alive) = (handler.clone(), closing.clone(), alive.clone());
                tokio::spawn(async move {
                    connection::serve(stream, handler, closing).await;
                    drop(alive);
                });
            }
            Err(error) => {
                log::warn!(event = "accept_failed", listener = "caller"; "{error}");
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}
