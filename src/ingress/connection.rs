//! One caller's connection: a reader that starts requests, and a writer that answers in order.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::BytesMut;
use hyper::{Method, StatusCode};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::bundle::RequestLimits;
use crate::h1::{Fault, Request, Response, Stream};
use crate::ingress::listener::{Closing, Handler};

/// Requests of one connection that run at the same time; more wait unread.
const MAX_PIPELINED: usize = 16;
/// Time by which an idle connection outlives the announced idle timeout, so that a request that is
/// on its way still arrives.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Time to take in what a refused caller still sends, so that its answer is not lost in a reset.
const LINGER: Duration = Duration::from_millis(500);

/// A request that was started, in the order of arrival.
struct Slot {
    answer: Answer,
    bodyless: bool,
    last: bool,
}

/// A running request; dropping it cancels it.
struct Answer(JoinHandle<Response>);

impl Drop for Answer {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// What reader and writer share.
#[derive(Default)]
struct Shared {
    unanswered: AtomicUsize,
    read_to_end: AtomicBool,
}

/// Serves a connection to its end.
pub(super) async fn serve(
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    closing: watch::Receiver<Closing>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (reader, writer) = stream.into_split();
    let (slots, queue) = mpsc::channel(MAX_PIPELINED);
    let shared = Arc::new(Shared::default());
    let mut writing = tokio::spawn(write(writer, queue, shared.clone()));
    let mut reader = Reader {
        stream: Stream::new(reader),
        handler,
        closing,
        slots,
        shared,
    };
    tokio::select! {
        end = reader.read() => match end {
            End::CallerLeft => writing.abort(),
            End::NoMore => {
                let Reader { stream, slots, .. } = reader;
                drop(slots);
                watch_caller(stream, &mut writing).await;
            }
        },
        _ = &mut writing => {}
    }
}

/// Why a reader ended.
enum End {
    /// The caller closed the connection: nobody waits for answers.
    CallerLeft,
    /// No more requests are read; those that were are answered.
    NoMore,
}

/// Waits for the writer to finish, and cancels it if the caller leaves first.
async fn watch_caller(mut stream: Stream<OwnedReadHalf>, writing: &mut JoinHandle<()>) {
    let left = async { while stream.discard().await > 0 {} };
    tokio::select! {
        () = left => writing.abort(),
        _ = &mut *writing => {}
    }
}

struct Reader {
    stream: Stream<OwnedReadHalf>,
    handler: Arc<dyn Handler>,
    closing: watch::Receiver<Closing>,
    slots: mpsc::Sender<Slot>,
    shared: Arc<Shared>,
}

impl Reader {
    async fn read(&mut self) -> End {
        loop {
            let intake = self.handler.intake();
            if let Some(end) = self.wait_for_request(&intake).await {
                return end;
            }
            let timeout = Duration::from_millis(intake.header_timeout_ms);
            let request = match tokio::time::timeout(timeout, self.request(&intake)).await {
                Ok(Ok(request)) => request,
                Ok(Err(fault)) => return self.refuse(&fault).await,
                Err(_) => {
                    let text = "the request did not arrive in time\n";
                    let late = Response::text(StatusCode::REQUEST_TIMEOUT, text);
                    return self.answer_last(late).await;
                }
            };
            let last = !request.keep_alive;
            if !self.start(request, last).await {
                return End::CallerLeft;
            }
            if last {
                return End::NoMore;
            }
        }
    }

    /// Waits for the first byte of a request; returns the end if there is none.
    async fn wait_for_request(&mut self, intake: &RequestLimits) -> Option<End> {
        let idle = Duration::from_millis(intake.idle_timeout_ms) + IDLE_MARGIN;
        loop {
            tokio::select! {
                arrived = self.stream.wait_for_bytes() => {
                    return arrived.is_err().then_some(End::CallerLeft);
                }
                _ = self.closing.wait_for(|closing| *closing == Closing::Finishing) => {
                    self.shared.read_to_end.store(true, Ordering::Relaxed);
                    return Some(End::NoMore);
                }
                () = tokio::time::sleep(idle) => {
                    if self.shared.unanswered.load(Ordering::Relaxed) == 0 {
                        return Some(End::NoMore);
                    }
                }
            }
        }
    }

    async fn request(&mut self, intake: &RequestLimits) -> Result<Request, Fault> {
        let (mut request, framing) = self.stream.read_request_head(intake.header_bytes).await?;
        request.body = self.stream.read_body(framing, intake.body_bytes).await?;
        Ok(request)
    }

    /// Starts a request; returns whether the connection still stands.
    async fn start(&mut self, request: Request, last: bool) -> bool {
        self.shared.unanswered.fetch_add(1, Ordering::Relaxed);
        let bodyless = request.method == Method::HEAD;
        let handler = self.handler.clone();
        let answer = tokio::spawn(async move { handler.handle(request).await });
        let slot = Slot {
            answer: Answer(answer),
            bodyless,
            last,
        };
        self.slots.send(slot).await.is_ok()
    }

    async fn refuse(&mut self, fault: &Fault) -> End {
        let status = match fault {
            Fault::Closed | Fault::CutOff(_) => return End::CallerLeft,
            Fault::Malformed(_) => StatusCode::BAD_REQUEST,
            Fault::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Fault::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        };
        log::info!(event = "request_refused", status = status.as_u16(); "{fault}");
        self.answer_last(Response::text(status, &format!("{fault}\n")))
            .await
    }

    async fn answer_last(&mut self, response: Response) -> End {
        self.shared.unanswered.fetch_add(1, Ordering::Relaxed);
        let slot = Slot {
            answer: Answer(tokio::spawn(async move { response })),
            bodyless: false,
            last: true,
        };
        match self.slots.send(slot).await {
            Ok(()) => End::NoMore,
            Err(_) => End::CallerLeft,
        }
    }
}

async fn write(mut writer: OwnedWriteHalf, mut queue: mpsc::Receiver<Slot>, shared: Arc<Shared>) {
    while let Some(mut slot) = queue.recv().await {
        let Ok(response) = (&mut slot.answer.0).await else {
            return;
        };
        let finished = shared.read_to_end.load(Ordering::Relaxed) && queue.is_empty();
        let close = slot.last || finished;
        let mut out = BytesMut::new();
        response.write(&mut out, close, slot.bodyless);
        if writer.write_all(&out).await.is_err() {
            return;
        }
        shared.unanswered.fetch_sub(1, Ordering::Relaxed);
        if close {
            break;
        }
    }
    let _ = writer.shutdown().await;
    // The caller may still be sending; closing with unread bytes would reset the connection.
    tokio::time::sleep(LINGER).await;
}
