//! Accepts callers' connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use crate::bundle::RequestLimits;
use crate::h1::{Request, Response};
use crate::http::Places;
use crate::ingress::connection;
use crate::memory::Pool;

/// Pause after a failed `accept`, as when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Whether the listener takes requests or shuts down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// It accepts connections and requests.
    Open,
    /// It accepts no connections; open ones close after the requests that they have already sent.
    Draining,
}

/// Answers the requests of callers.
#[async_trait]
pub(crate) trait Handler: Send + Sync + 'static {
    /// Limits on the size of a caller's requests, and timeouts while they are read.
    fn request_limits(&self) -> RequestLimits;

    /// Answers a request. The future is dropped if the caller closes the connection first.
    async fn handle(&self, request: Request) -> Response;
}

/// A running listener.
pub(crate) struct Listener {
    address: SocketAddr,
    phase: watch::Sender<Phase>,
    /// Returns `None` once the accept loop and all connections have ended and dropped their
    /// senders.
    all_closed: mpsc::Receiver<()>,
}

impl Listener {
    /// Listens at `address`, with at most about `max_connections` connections, whose messages use
    /// memory of `pool`.
    pub(crate) fn start(
        address: SocketAddr,
        handler: Arc<dyn Handler>,
        pool: Arc<Pool>,
        max_connections: usize,
    ) -> std::io::Result<Self> {
        let listener = crate::http::bind(address)?;
        let address = listener.local_addr()?;
        let (phase, phase_receiver) = watch::channel(Phase::Open);
        let (open_guard, all_closed) = mpsc::channel(1);
        let acceptor = Acceptor {
            listener,
            handler,
            pool,
            places: Places::new(max_connections),
        };
        tokio::spawn(acceptor.run(phase_receiver, open_guard));
        Ok(Self {
            address,
            phase,
            all_closed,
        })
    }

    /// Address that the listener is bound to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, closes each connection after the requests that it has already sent are
    /// answered, and waits until all are closed.
    pub(crate) async fn finish(&mut self) {
        self.phase.send_replace(Phase::Draining);
        while self.all_closed.recv().await.is_some() {}
    }
}

struct Acceptor {
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    pool: Arc<Pool>,
    places: Arc<Places>,
}

impl Acceptor {
    async fn run(self, mut phase: watch::Receiver<Phase>, open_guard: mpsc::Sender<()>) {
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = phase.wait_for(|phase| *phase == Phase::Draining) => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    let Some(place) = self.places.enter(Some(&self.pool)) else {
                        continue;
                    };
                    let (handler, pool) = (self.handler.clone(), self.pool.clone());
                    let (phase, open_guard) = (phase.clone(), open_guard.clone());
                    tokio::spawn(async move {
                        connection::serve(stream, handler, phase, pool, place).await;
                        drop(open_guard);
                    });
                }
                Err(error) => {
                    self.pool.limits().record("accept_failed");
                    log::debug!(
                        event = "accept_failed",
                        listener = "caller";
                        "cannot accept a connection, retrying: {error}"
                    );
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}
