//! Tests of bodies that are read within a budget, and of servers with limits.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::FutureExt;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::http::{
    Activity, Body, BoundedBody, Capacity, Handler, Place, Places, ReadError, Server, full,
    read_held, read_whole,
};
use crate::testing::{pool, until};

const MEMORY_BYTES: usize = 1_000_000;
const LIMIT: usize = 1_000;
const REQUEST: &[u8] = b"GET /quick HTTP/1.1\r\nhost: a\r\n\r\n";
const SLOW_REQUEST: &[u8] = b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n";
/// Requests that run when a server has one place left, which is for connections that replace others.
const RUNNING: usize = 2;
/// Length of an answer that does not fit into the buffers between a server and its client.
const LARGE_BYTES: usize = 64 * 1024 * 1024;

async fn read(length: usize, memory: usize) -> Result<Bytes, ReadError> {
    let mut body = Full::new(Bytes::from(vec![1; length]));
    read_held(&mut body, LIMIT, &mut pool(memory).open()).await
}

macro_rules! read_tests {
    ($($name:ident: $length:expr, $memory:expr => $expected:pat,)*) => {
        $(#[tokio::test]
        async fn $name() {
            let outcome = read($length, $memory).await.map(|body| body.len());
            assert!(matches!(outcome, $expected), "{outcome:?}");
        })*
    };
}

read_tests! {
    an_empty_body_is_read: 0, 0 => Ok(0),
    a_body_at_the_limit_is_read: LIMIT, MEMORY_BYTES => Ok(LIMIT),
    a_body_over_the_limit_is_refused: LIMIT + 1, MEMORY_BYTES => Err(ReadError::TooLarge),
    a_body_without_memory_is_refused: LIMIT, LIMIT - 1 => Err(ReadError::NoMemory),
}

type Piece = Result<Frame<Bytes>, String>;

/// A body of the pieces that are sent.
fn channel_body() -> (
    mpsc::Sender<Piece>,
    impl hyper::body::Body<Data = Bytes, Error = String> + Unpin,
) {
    let (sender, mut receiver) = mpsc::channel(1);
    let stream = futures_util::stream::poll_fn(move |context| receiver.poll_recv(context));
    (sender, StreamBody::new(stream))
}

/// Reads a body in two pieces of so many bytes, of which the second one follows after `pause`, within a
/// limit and for at most a second.
async fn read_bounded(pieces: [usize; 2], pause: Duration) -> Result<usize, String> {
    let (sender, body) = channel_body();
    let deadline = tokio::time::Instant::now() + Duration::from_secs(1);
    let mut body = BoundedBody::new(body, deadline.into_std(), LIMIT);
    tokio::spawn(async move {
        for bytes in pieces {
            let _ = sender.send(Ok(Frame::data(vec![1; bytes].into()))).await;
            tokio::time::sleep(pause).await;
        }
    });
    read_whole(&mut body, usize::MAX)
        .await
        .map(|body| body.len())
}

macro_rules! bounded_body_tests {
    ($($name:ident: $pieces:expr, $pause:expr => $expected:expr,)*) => {
        $(#[tokio::test]
        async fn $name() {
            let outcome = read_bounded($pieces, $pause).await;
            assert_eq!(outcome.as_ref().ok(), $expected, "{outcome:?}");
        })*
    };
}

bounded_body_tests! {
    a_bounded_body_at_its_limit_is_read: [LIMIT - 1, 1], Duration::ZERO => Some(&LIMIT),
    a_bounded_body_over_its_limit_fails: [LIMIT, 1], Duration::ZERO => None,
    a_bounded_body_fails_at_its_deadline: [1, 1], Duration::from_secs(2) => None,
}

/// Guards against bodies that are used without being counted.
#[tokio::test]
async fn memory_of_a_body_is_held_until_it_is_dropped() {
    let pool = pool(MEMORY_BYTES);
    let mut account = pool.open();
    let mut body = Full::new(Bytes::from(vec![1; LIMIT]));
    let bytes = read_held(&mut body, LIMIT, &mut account).await.unwrap();
    drop(account);
    assert_eq!((bytes.len(), pool.budget().held()), (LIMIT, LIMIT));
    drop(bytes);
    assert_eq!(pool.budget().held(), 0);
}

/// Guards against senders that stop just short of the end and keep the memory of all others.
#[tokio::test]
async fn a_body_without_progress_gives_way_to_another() {
    let pool = pool(LIMIT);
    let (sender, mut body) = channel_body();
    let mut account = pool.open();
    let stalled = tokio::spawn(async move { read_held(&mut body, LIMIT, &mut account).await });
    let part = Bytes::from(vec![1; LIMIT - 1]);
    sender.send(Ok(Frame::data(part))).await.unwrap();
    until("the first body holds memory", || pool.budget().held() > 0).await;
    let mut body = Full::new(Bytes::from(vec![1; LIMIT]));
    let second = read_held(&mut body, LIMIT, &mut pool.open()).await;
    assert!(second.is_ok(), "{second:?}");
    let stalled = stalled.await.unwrap();
    assert!(matches!(stalled, Err(ReadError::Stalled)), "{stalled:?}");
}

/// Answers at once, never, or with a large body.
#[derive(Default)]
struct Paths {
    /// Requests that began and are never answered.
    running: AtomicUsize,
}

#[async_trait]
impl Handler for Paths {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        match request.uri().path() {
            "/slow" => {
                self.running.fetch_add(1, Ordering::Relaxed);
                std::future::pending().await
            }
            "/large" => Response::new(full(vec![1; LARGE_BYTES])),
            _ => Response::new(full("answer")),
        }
    }
}

fn start(capacity: Capacity) -> (Server, Arc<Paths>) {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let paths = Arc::new(Paths::default());
    let server = Server::start_limited(any_port, paths.clone(), capacity).unwrap();
    (server, paths)
}

async fn send(server: &Server, request: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    stream.write_all(request).await.unwrap();
    stream
}

/// Whether a request is answered on a connection of its own.
async fn is_answered(server: &Server) -> bool {
    let mut stream = send(server, REQUEST).await;
    matches!(stream.read(&mut [0; 512]).await, Ok(1..))
}

/// Opens `count` connections, which stay open.
async fn fill(server: &Server, count: usize, request: &[u8]) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..count {
        streams.push(send(server, request).await);
    }
    streams
}

/// Guards against health checks that find no place because others have opened connections and say nothing.
#[tokio::test]
async fn a_new_connection_replaces_an_idle_one() {
    let (server, _) = start(Capacity {
        connections: Some(2),
        ..Capacity::default()
    });
    let mut idle = fill(&server, 2, b"").await;
    assert!(is_answered(&server).await);
    assert!(matches!(idle[0].read(&mut [0; 16]).await, Ok(0) | Err(_)));
}

/// Closes the connections that have lost their places.
fn close_lost(open: &mut Vec<Place>) {
    open.retain(|place| place.lost().now_or_never().is_none());
}

/// Guards against a full listener that refuses all new connections although most of its own are idle: those
/// that were to close for others had received a request meanwhile, and went on.
#[test]
fn an_idle_connection_closes_for_one_that_received_a_request() {
    let places = Places::within(8);
    let mut open: Vec<Place> = (0..7).map(|_| places.enter(None).unwrap()).collect();
    for place in &mut open {
        place.set_idle(true);
    }
    for _ in 0..3 {
        let new = places.enter(None).expect("a place, as others are idle");
        open[0].set_idle(false);
        assert!(open[0].lost().now_or_never().is_none(), "closes at work");
        close_lost(&mut open);
        open.push(new);
        open.rotate_left(1);
    }
}

/// Guards against the same if no other connection is idle at that time.
#[test]
fn a_connection_that_lost_its_place_closes_after_its_request() {
    let places = Places::within(2);
    let activity = Activity::new(places.enter(None).unwrap(), None, false);
    let _new = places.enter(None).unwrap();
    let running = activity.begin_request();
    let mut lost = Box::pin(activity.lost());
    assert!((&mut lost).now_or_never().is_none(), "closes at work");
    drop(running);
    assert!(lost.now_or_never().is_some());
}

macro_rules! running_tests {
    ($($(#[$doc:meta])* $name:ident: $replace:expr => $answered:expr;)*) => {
        $($(#[$doc])*
        #[tokio::test]
        async fn $name() {
            let (server, paths) = start(Capacity {
                connections: Some(RUNNING + 1),
                pool: None,
                replace_running: $replace,
            });
            let _running = fill(&server, RUNNING, SLOW_REQUEST).await;
            until("both requests run", || paths.running.load(Ordering::Relaxed) == RUNNING).await;
            assert_eq!(is_answered(&server).await, $answered);
        })*
    };
}

running_tests! {
    /// Guards against requests that are cut off because others have opened connections.
    a_new_connection_replaces_none_whose_request_runs: false => false;
    /// Guards against health checks that find no place because of requests that never end.
    a_new_connection_replaces_one_whose_request_runs_if_that_is_allowed: true => true;
}

/// Guards against answers that are held for callers that do not read.
#[tokio::test]
async fn a_caller_that_does_not_read_gives_way_to_others() {
    let pool = pool(MEMORY_BYTES);
    let (server, _) = start(Capacity {
        connections: Some(2),
        pool: Some(pool.clone()),
        replace_running: false,
    });
    let mut unread = send(&server, b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n").await;
    until("the connection is open", || pool.budget().held() > 0).await;
    let held = pool.budget().held();
    let mut account = pool.open();
    account.hold(MEMORY_BYTES * 9 / 10).await.unwrap();
    drop(account);
    assert!(pool.budget().held() < held);
    let mut answer = Vec::new();
    let _ = unread.read_to_end(&mut answer).await;
    assert!(answer.len() < LARGE_BYTES);
}

/// A body that is passed on in pieces has the same length and the same bytes.
#[tokio::test]
async fn a_large_answer_arrives_whole() {
    let (server, _) = start(Capacity::default());
    let pool = crate::http::Pool::new(server.address());
    let request = Request::get("/large").header("host", "a");
    let response = pool.send(request.body(crate::http::empty()).unwrap()).await;
    let body = response.unwrap().into_body().collect().await.unwrap();
    assert_eq!(body.to_bytes().len(), LARGE_BYTES);
}
