//! An accept loop with one task per connection and graceful shutdown.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

use crate::http::{Body, full};

const HEADER_TIMEOUT: Duration = Duration::from_mins(1);
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
const LISTEN_BACKLOG: u32 = 1024;

/// Answers the requests of one listener.
#[async_trait]
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one request; dropping the future cancels it.
    async fn handle(&self, request: Request<Incoming>) -> Response<Body>;
}

/// A running listener. Dropping it closes the listener and its connections after their
/// current request.
pub(crate) struct Server {
    address: SocketAddr,
    closing: watch::Sender<()>,
    done: mpsc::Receiver<()>,
}

/// Waits until every connection of a closed [`Server`] has ended.
pub(crate) struct Drain(mpsc::Receiver<()>);

impl Drain {
    pub(crate) async fn finished(mut self) {
        while self.0.recv().await.is_some() {}
    }
}

/// A bound listener that does not accept yet.
pub(crate) struct Reserved(TcpListener);

impl Reserved {
    pub(crate) fn address(&self) -> std::io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// Starts to accept and serves `handler`.
    pub(crate) fn start(self, handler: Arc<dyn Handler>) -> std::io::Result<Server> {
        let address = self.0.local_addr()?;
        let (closing, closed) = watch::channel(());
        let (alive, done) = mpsc::channel(1);
        tokio::spawn(accept(self.0, handler, closed, alive));
        Ok(Server {
            address,
            closing,
            done,
        })
    }
}

impl Server {
    /// Binds `address` without accepting.
    pub(crate) fn bind(address: SocketAddr) -> std::io::Result<Reserved> {
        bind(address).map(Reserved)
    }

    /// Listens at `address` and serves `handler`.
    pub(crate) fn start(address: SocketAddr, handler: Arc<dyn Handler>) -> std::io::Result<Self> {
        Self::bind(address)?.start(handler)
    }

    /// Address that the listener is bound to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting; connections end after the request they serve.
    pub(crate) fn close(self) -> Drain {
        drop(self.closing);
        Drain(self.done)
    }
}

pub(crate) fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        tokio::net::TcpSocket::new_v4()?
    } else {
        tokio::net::TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

async fn accept(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    mut closed: watch::Receiver<()>,
    alive: mpsc::Sender<()>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closed.changed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = serve(stream, handler.clone(), closed.clone(), alive.clone());
                tokio::spawn(connection);
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
        }
    }
}

async fn serve(
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    mut closed: watch::Receiver<()>,
    _alive: mpsc::Sender<()>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = closed.changed() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

/// A JSON response.
pub(crate) fn json(status: StatusCode, value: &impl serde::Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(
        "content-type",
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}
