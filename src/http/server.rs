//! HTTP/1 server: an accept loop, one task per connection, and graceful shutdown.

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
use tokio_io_timeout::TimeoutStream;

use crate::http::activity::{Activity, ReportingBody};
use crate::http::places::Places;
use crate::http::{Body, full};
use crate::memory::Pool;

const HEADER_TIMEOUT: Duration = Duration::from_mins(1);
/// Time after which a caller that reads nothing of its response is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest buffer of a connection in each direction, and so the largest head of a request.
pub(crate) const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// Time for a connection that lost its place to write the rest of a response.
const CLOSING_TIME: Duration = Duration::from_secs(1);
/// Pause after a failed `accept`, so that the loop does not spin while the failure lasts.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
const LISTEN_BACKLOG: u32 = 1024;

/// Request handler of a [`Server`].
#[async_trait]
pub(crate) trait Handler: Send + Sync + 'static {
    /// Responds to one request. If the connection ends first, the future is dropped, which cancels
    /// the request.
    async fn handle(&self, request: Request<Incoming>) -> Response<Body>;
}

/// What the connections of a server may use.
#[derive(Clone, Default)]
pub(crate) struct Capacity {
    /// Connections that may be open; `None` for any number.
    pub connections: Option<usize>,
    /// Memory of the connections' buffers; not accounted for if absent.
    pub pool: Option<Arc<Pool>>,
    /// Whether a new connection may also replace one whose request runs, if none is idle for longer. For
    /// listeners whose requests are answered at once.
    pub replace_running: bool,
}

/// A running server. Dropping it closes the listener at once, and each connection after its current
/// request.
pub(crate) struct Server {
    address: SocketAddr,
    /// Dropped to close the server.
    shutdown: watch::Sender<()>,
    /// Closed once every connection has ended.
    all_ended: mpsc::Receiver<()>,
}

/// The remaining connections of a closed [`Server`].
pub(crate) struct Drain(mpsc::Receiver<()>);

impl Drain {
    /// Waits until every connection has ended.
    pub(crate) async fn finished(mut self) {
        while self.0.recv().await.is_some() {}
    }
}

/// A bound listener that does not accept connections yet.
pub(crate) struct BoundListener(TcpListener);

impl BoundListener {
    pub(crate) fn address(&self) -> std::io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// Starts to accept connections, whose requests `handler` serves.
    pub(crate) fn start(
        self,
        handler: Arc<dyn Handler>,
        capacity: Capacity,
    ) -> std::io::Result<Server> {
        let address = self.0.local_addr()?;
        let (shutdown, shutdown_signal) = watch::channel(());
        let (connection_guard, all_ended) = mpsc::channel(1);
        let acceptor = Acceptor {
            handler,
            places: Places::within(capacity.connections.unwrap_or(usize::MAX / 2)),
            capacity,
        };
        tokio::spawn(acceptor.run(self.0, shutdown_signal, connection_guard));
        Ok(Server {
            address,
            shutdown,
            all_ended,
        })
    }
}

impl Server {
    /// Binds `address` without accepting connections yet.
    pub(crate) fn bind(address: SocketAddr) -> std::io::Result<BoundListener> {
        bind(address).map(BoundListener)
    }

    /// Binds `address` and starts to accept connections, whose requests `handler` serves.
    pub(crate) fn start(address: SocketAddr, handler: Arc<dyn Handler>) -> std::io::Result<Self> {
        Self::bind(address)?.start(handler, Capacity::default())
    }

    /// As [`Server::start`], with limits.
    pub(crate) fn start_limited(
        address: SocketAddr,
        handler: Arc<dyn Handler>,
        capacity: Capacity,
    ) -> std::io::Result<Self> {
        Self::bind(address)?.start(handler, capacity)
    }

    /// Local address of the listener.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections; each open one is closed after its current request.
    pub(crate) fn close(self) -> Drain {
        drop(self.shutdown);
        Drain(self.all_ended)
    }
}

/// Binds a TCP listener with `SO_REUSEADDR`.
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

/// Accepts the connections of a server.
struct Acceptor {
    handler: Arc<dyn Handler>,
    places: Arc<Places>,
    capacity: Capacity,
}

impl Acceptor {
    async fn run(
        self,
        listener: TcpListener,
        mut shutdown_signal: watch::Receiver<()>,
        connection_guard: mpsc::Sender<()>,
    ) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = shutdown_signal.changed() => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    let Some(activity) = self.admit() else {
                        continue;
                    };
                    tokio::spawn(serve(
                        stream,
                        self.handler.clone(),
                        activity,
                        shutdown_signal.clone(),
                        connection_guard.clone(),
                    ));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    /// Place and memory for a new connection; `None` if it must be closed.
    fn admit(&self) -> Option<Arc<Activity>> {
        let pool = self.capacity.pool.as_ref();
        let place = self.places.enter(pool.map(Arc::as_ref))?;
        let account = match pool {
            None => None,
            Some(pool) => {
                let mut account = pool.open();
                if !account.try_hold(MAX_BUFFER_BYTES) {
                    pool.limits().record("memory_refused");
                    return None;
                }
                Some(account)
            }
        };
        Some(Activity::new(place, account, self.capacity.replace_running))
    }
}

async fn serve(
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    activity: Arc<Activity>,
    mut shutdown_signal: watch::Receiver<()>,
    _connection_guard: mpsc::Sender<()>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(WRITE_TIMEOUT));
    let requests = activity.clone();
    let service = service_fn(move |request| {
        let handler = handler.clone();
        let activity = requests.clone();
        async move {
            let running = activity.begin_request();
            let response = handler.handle(request).await;
            Ok::<_, Infallible>(response.map(|body| ReportingBody::boxed(body, running)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(Box::pin(stream)), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = activity.evicted() => return,
        () = activity.lost() => {
            if !activity.has_request() {
                connection.as_mut().graceful_shutdown();
                let _ = tokio::time::timeout(CLOSING_TIME, connection).await;
            }
            return;
        }
        _ = shutdown_signal.changed() => connection.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        _ = connection => {}
        () = activity.evicted() => {}
    }
}

/// Creates a response with `value` as JSON.
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
