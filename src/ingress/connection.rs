//! A caller's connection: a reader that starts the handler of each request, and a writer that sends
//! the responses in the order of the requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::BytesMut;
use hyper::header::HeaderValue;
use hyper::{Method, StatusCode};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinHandle;

use crate::bundle::RequestLimits;
use crate::h1::{Fault, Request, Response, Stream};
use crate::http::Place;
use crate::ingress::listener::{Handler, Phase};
use crate::memory::{Account, Pool, Reservation};

/// Requests of one connection that run concurrently; further ones are left unread.
const MAX_PIPELINED: usize = 16;
/// Bytes reserved for the unanswered requests of one connection above which it is not read further.
const MAX_PIPELINED_BYTES: usize = 256 * 1024;
/// Time for which an idle connection stays open beyond the configured idle timeout, so that a
/// request which is on its way still arrives.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Time after the last bytes of a refused caller for which more are awaited and discarded, so that its
/// response is not lost in a reset of the connection.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// Longest time for which bytes of a refused caller are discarded.
const MAX_LINGER_TIME: Duration = Duration::from_secs(3);
/// Most bytes of a refused caller that are discarded; a body of the largest usual limit fits.
const MAX_LINGER_BYTES: usize = 72 * 1024 * 1024;
/// Time without progress after which a caller that does not read its responses is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes that are written before progress is recorded.
const WRITE_BYTES: usize = 64 * 1024;
/// Bounds, in seconds, of the time after which a request refused for lack of memory may be sent again.
/// Drawn at random, so that callers do not return together.
const RETRY_AFTER_S: std::ops::Range<f64> = 0.3..1.0;

/// The response to a request that was started.
struct PendingResponse {
    handler_task: HandlerTask,
    /// Whether the response has no body, as for `HEAD`.
    omit_body: bool,
    /// Whether the connection closes after this response.
    close_after: bool,
    /// Memory of the request's head.
    reservation: Option<Reservation>,
}

/// The handler of a running request, which is cancelled on drop.
struct HandlerTask(JoinHandle<Response>);

impl Drop for HandlerTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// State that the reader and the writer share.
#[derive(Default)]
struct State {
    /// Requests whose response has not been written.
    unanswered: AtomicUsize,
    /// Bytes reserved for the heads of these requests.
    unanswered_bytes: AtomicUsize,
    /// Notifies the reader of each response that was written.
    answered: Notify,
    /// Whether the reader has stopped because the listener drains.
    draining: AtomicBool,
}

/// Serves a connection until it closes.
pub(super) async fn serve(
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    phase: watch::Receiver<Phase>,
    pool: Arc<Pool>,
    place: Place,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (reader, writer) = stream.into_split();
    let (pending_sender, pending_receiver) = mpsc::channel(MAX_PIPELINED);
    let state = Arc::new(State::default());
    let mut writer_task = tokio::spawn(write_responses(
        writer,
        pending_receiver,
        state.clone(),
        pool.clone(),
    ));
    let mut reader = Reader {
        stream: Stream::with_pool(reader, pool),
        place,
        handler,
        phase,
        pending_sender,
        state,
        head_complete: false,
    };
    tokio::select! {
        // The reader first: once it has passed on its last request, the end of the writer is awaited
        // together with what the caller still sends.
        biased;
        end = reader.read() => match end {
            ReadEnd::CallerClosed => writer_task.abort(),
            ReadEnd::NoMoreRequests => {
                let Reader { stream, pending_sender, .. } = reader;
                drop(pending_sender);
                finish_writing(stream, &mut writer_task).await;
            }
        },
        _ = &mut writer_task => {}
    }
}

/// Why the reader ended.
enum ReadEnd {
    /// The caller closed the connection; its requests are cancelled.
    CallerClosed,
    /// No more requests are read; those that were read are still answered.
    NoMoreRequests,
}

/// Waits for the writer to finish, and cancels it if the caller closes the connection first. Then
/// discards what the caller still sends: closing with unread bytes would reset the connection.
async fn finish_writing(mut stream: Stream<OwnedReadHalf>, writer_task: &mut JoinHandle<()>) {
    let caller_closed = async { while stream.discard().await > 0 {} };
    tokio::select! {
        () = caller_closed => {
            writer_task.abort();
            return;
        }
        _ = &mut *writer_task => {}
    }
    let discard = async {
        let mut left = MAX_LINGER_BYTES;
        while let Ok(read @ 1..) = tokio::time::timeout(LINGER_TIME, stream.discard()).await {
            left = left.saturating_sub(read);
            if left == 0 {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(MAX_LINGER_TIME, discard).await;
}

struct Reader {
    stream: Stream<OwnedReadHalf>,
    place: Place,
    handler: Arc<dyn Handler>,
    phase: watch::Receiver<Phase>,
    pending_sender: mpsc::Sender<PendingResponse>,
    state: Arc<State>,
    /// Whether the head of the request that is being read is complete.
    head_complete: bool,
}

impl Reader {
    /// Reads requests and starts their handlers until the connection ends.
    async fn read(&mut self) -> ReadEnd {
        loop {
            let limits = self.handler.request_limits();
            self.wait_for_answers().await;
            if let Some(end) = self.wait_for_request(&limits).await {
                return end;
            }
            let timeout = Duration::from_millis(limits.header_timeout_ms);
            let request = match tokio::time::timeout(timeout, self.read_request(&limits)).await {
                Ok(Ok(request)) => request,
                Ok(Err(fault)) => return self.refuse(&fault).await,
                Err(_) => return self.refuse(&Fault::Stalled).await,
            };
            let close_after = !request.keep_alive;
            let reservation = self.stream.finish_message();
            if !self.spawn_handler(request, close_after, reservation).await {
                return ReadEnd::CallerClosed;
            }
            if close_after {
                return ReadEnd::NoMoreRequests;
            }
        }
    }

    /// Waits until the unanswered requests hold few enough bytes for another one.
    async fn wait_for_answers(&self) {
        while self.state.unanswered_bytes.load(Ordering::Relaxed) > MAX_PIPELINED_BYTES {
            self.state.answered.notified().await;
        }
    }

    /// Waits for the first byte of a request; returns why the reader ends if none comes.
    async fn wait_for_request(&mut self, limits: &RequestLimits) -> Option<ReadEnd> {
        let idle = Duration::from_millis(limits.idle_timeout_ms) + IDLE_MARGIN;
        loop {
            let is_idle = self.state.unanswered.load(Ordering::Relaxed) == 0;
            if is_idle {
                self.place.set_idle(!self.stream.has_unread_bytes());
            }
            tokio::select! {
                arrived = self.stream.wait_for_bytes() => {
                    self.place.set_idle(false);
                    return arrived.is_err().then_some(ReadEnd::CallerClosed);
                }
                _ = self.phase.wait_for(|phase| *phase == Phase::Draining) => {
                    self.state.draining.store(true, Ordering::Relaxed);
                    return Some(ReadEnd::NoMoreRequests);
                }
                () = self.state.answered.notified(), if !is_idle => {}
                () = self.place.lost(), if is_idle => return Some(ReadEnd::NoMoreRequests),
                () = tokio::time::sleep(idle), if is_idle => {
                    return Some(ReadEnd::NoMoreRequests);
                }
            }
        }
    }

    async fn read_request(&mut self, limits: &RequestLimits) -> Result<Request, Fault> {
        self.head_complete = false;
        let (mut request, framing) = self.stream.read_request_head(limits.header_bytes).await?;
        self.head_complete = true;
        request.body = self.stream.read_body(framing, limits.body_bytes).await?;
        Ok(request)
    }

    /// Starts the handler of a request; returns whether the writer is still running.
    async fn spawn_handler(
        &mut self,
        request: Request,
        close_after: bool,
        reservation: Option<Reservation>,
    ) -> bool {
        self.state.unanswered.fetch_add(1, Ordering::Relaxed);
        let bytes = reservation.as_ref().map_or(0, Reservation::bytes);
        self.state
            .unanswered_bytes
            .fetch_add(bytes, Ordering::Relaxed);
        let omit_body = request.method == Method::HEAD;
        let handler = self.handler.clone();
        let handler_task = tokio::spawn(async move { handler.handle(request).await });
        let pending = PendingResponse {
            handler_task: HandlerTask(handler_task),
            omit_body,
            close_after,
            reservation,
        };
        self.pending_sender.send(pending).await.is_ok()
    }

    /// Answers a request that could not be read, unless the caller has closed the connection.
    async fn refuse(&mut self, fault: &Fault) -> ReadEnd {
        let status = match fault {
            Fault::Closed | Fault::CutOff(_) => return ReadEnd::CallerClosed,
            Fault::Malformed(_) => StatusCode::BAD_REQUEST,
            Fault::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Fault::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Fault::NoMemory if self.head_complete => StatusCode::SERVICE_UNAVAILABLE,
            Fault::NoMemory => {
                self.stream.clear();
                return ReadEnd::NoMoreRequests;
            }
            Fault::Stalled => StatusCode::REQUEST_TIMEOUT,
        };
        // Returns the memory of what was read of the request.
        self.stream.clear();
        log::info!(
            event = "request_refused",
            status = status.as_u16();
            "cannot read the request: {fault}"
        );
        let mut response = Response::text(status, &format!("{fault}\n"));
        let retry_after_s = rand::random_range(RETRY_AFTER_S);
        if status == StatusCode::SERVICE_UNAVAILABLE
            && let Ok(value) = HeaderValue::from_str(&format!("{retry_after_s:.2}"))
        {
            response.headers.insert("retry-after", value);
        }
        self.respond_and_close(response).await
    }

    /// Sends a response that the node itself generates, after which the connection closes.
    async fn respond_and_close(&mut self, response: Response) -> ReadEnd {
        self.state.unanswered.fetch_add(1, Ordering::Relaxed);
        let pending = PendingResponse {
            handler_task: HandlerTask(tokio::spawn(async move { response })),
            omit_body: false,
            close_after: true,
            reservation: None,
        };
        match self.pending_sender.send(pending).await {
            Ok(()) => ReadEnd::NoMoreRequests,
            Err(_) => ReadEnd::CallerClosed,
        }
    }
}

/// Writes the responses in the order of the requests.
async fn write_responses(
    writer: OwnedWriteHalf,
    mut pending_receiver: mpsc::Receiver<PendingResponse>,
    state: Arc<State>,
    pool: Arc<Pool>,
) {
    let mut writer = Writer { writer, pool };
    while let Some(mut pending) = pending_receiver.recv().await {
        let Ok(response) = (&mut pending.handler_task.0).await else {
            return;
        };
        let drained = state.draining.load(Ordering::Relaxed) && pending_receiver.is_empty();
        let close = pending.close_after || drained;
        if !writer.write(&response, close, pending.omit_body).await {
            return;
        }
        state.unanswered.fetch_sub(1, Ordering::Relaxed);
        let bytes = pending.reservation.as_ref().map_or(0, Reservation::bytes);
        state.unanswered_bytes.fetch_sub(bytes, Ordering::Relaxed);
        state.answered.notify_one();
        if close {
            break;
        }
    }
    let _ = writer.writer.shutdown().await;
}

struct Writer {
    writer: OwnedWriteHalf,
    pool: Arc<Pool>,
}

impl Writer {
    /// Writes a response. Returns `false` if the connection is broken, or if the caller reads nothing
    /// for [`WRITE_TIMEOUT`] or while others need the memory that its responses hold.
    async fn write(&mut self, response: &Response, close: bool, omit_body: bool) -> bool {
        let mut head = BytesMut::new();
        response.write_head(&mut head, close);
        let body = response.written_body(omit_body);
        if body.len() <= WRITE_BYTES {
            head.extend_from_slice(body);
            return self.write_bytes(&head).await;
        }
        self.write_bytes(&head).await && self.write_bytes(body).await
    }

    async fn write_bytes(&mut self, bytes: &[u8]) -> bool {
        // Most responses fit into the socket's buffer.
        let written = self.writer.try_write(bytes).unwrap_or(0);
        if written == bytes.len() {
            return true;
        }
        let mut account = self.pool.open();
        for piece in bytes[written..].chunks(WRITE_BYTES) {
            match self.write_piece(piece, &account).await {
                Ok(()) => account.record_progress(piece.len()),
                Err(limit) => {
                    if let Some(limit) = limit {
                        self.pool.limits().record(limit);
                    }
                    return false;
                }
            }
        }
        true
    }

    /// Writes a piece; the error is the limit that was reached, `None` if the connection is broken or
    /// the account has lost its place.
    async fn write_piece(
        &mut self,
        piece: &[u8],
        account: &Account,
    ) -> Result<(), Option<&'static str>> {
        tokio::select! {
            biased;
            () = account.evicted() => Err(None),
            written = tokio::time::timeout(WRITE_TIMEOUT, self.writer.write_all(piece)) => {
                match written {
                    Ok(written) => written.map_err(|_| None),
                    Err(_) => Err(Some("write_timeout")),
                }
            }
        }
    }
}
