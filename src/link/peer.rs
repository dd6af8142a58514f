//! The offering side of a link: one task per peer, which owns the connection to it.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};

use crate::canary;
use crate::link::body::Assembly;
use crate::link::frame::{Entry, Frame, Offer, OfferId, PackedVersion, Part, Reply, Update};
use crate::link::jobs::MIN_RETENTION;
use crate::link::notices::Notices;
use crate::link::pace::Pace;
use crate::link::server::{Handler, handle_common_frame, handle_status, send_introduction};
use crate::link::session::{self, Receiver, Sender};
use crate::memory::{Budget, MIN_RESERVED_COST};
use crate::quota;
use crate::verdict::{Reason, Refusal, Verdict};

/// Time to connect and receive the peer's hello; several round trips between regions, and a
/// fraction of the shortest latency objectives.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without a received frame after which the peer is pinged while requests are unanswered.
const PING_IDLE_TIME: Duration = Duration::from_millis(250);
/// Time to wait for a pong, in addition to [`PONG_ROUND_TRIPS`] round trips.
const PONG_TIMEOUT: Duration = Duration::from_millis(400);
const PONG_ROUND_TRIPS: u32 = 4;
/// Interval of the liveness check while requests or a ping are unanswered.
const LIVENESS_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Time without a received frame after which a message is followed by a ping, so that a connection
/// which has gone silent is noticed and replaced. Longer than [`PING_IDLE_TIME`]: such messages are
/// repeated, or what they say is fetched.
const PING_MESSAGE_TIME: Duration = Duration::from_secs(1);
/// Pause between attempts to connect to a peer while requests to it are unanswered.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// Pause before the next attempt to connect to an unreachable peer when no request waits for it.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(500);
/// Time since the first failed attempt to connect after which idempotent requests are given up, so
/// that they can be sent elsewhere. Longer than one attempt: a peer that is short of processor time
/// or bandwidth may miss one while its target works on the requests.
const MIN_UNREACHABLE_TIME: Duration = Duration::from_millis(300);
/// Time without acknowledgements after which the kernel closes the connection (`TCP_USER_TIMEOUT`).
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

static REFUSED_REPLIES: Pace = Pace::new();

enum Command {
    Offer(Box<Offer>, oneshot::Sender<Reply>),
    Cancel(OfferId),
    Send(Frame),
    /// Sends an update until the peer confirms it, and then informs the sender, if there is one.
    Notify(Update, Option<oneshot::Sender<()>>),
}

/// Handle of the task that sends requests and messages to one peer.
pub(crate) struct Link {
    commands: mpsc::UnboundedSender<Command>,
    shared: Arc<Shared>,
}

/// State that the link's task shares with its handle.
#[derive(Default)]
struct Shared {
    /// Whether the last attempt to connect failed.
    unreachable: AtomicBool,
    /// Whether the peer was considered for a request since it became unreachable.
    retry_requested: AtomicBool,
    /// Time of the first failed attempt to connect since the last successful one.
    failing_since: Mutex<Option<Instant>>,
    /// Measured when connecting; 0 before the first connection.
    round_trip_us: AtomicU32,
}

impl Shared {
    fn unreachable_for(&self) -> Option<Duration> {
        let since = *self.failing_since.lock().ok()?;
        since.map(|since| since.elapsed())
    }

    fn set_failing(&self, failing: bool) {
        let mut since = self
            .failing_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *since = if failing {
            since.or_else(|| Some(Instant::now()))
        } else {
            None
        };
    }
}

/// Handle of an offered request; dropping it before the reply cancels the request.
pub(crate) struct OfferHandle {
    offer_id: OfferId,
    commands: mpsc::UnboundedSender<Command>,
    reply: oneshot::Receiver<Reply>,
    replied: bool,
}

impl OfferHandle {
    /// Waits for the outcome of the offer.
    pub(crate) async fn reply(&mut self) -> Reply {
        let reply = (&mut self.reply).await;
        self.replied = true;
        reply.unwrap_or_else(|_| Reply::Refused(Refusal::may_have_run(Reason::ConnectionLost)))
    }
}

impl Drop for OfferHandle {
    fn drop(&mut self) {
        if !self.replied {
            let _ = self.commands.send(Command::Cancel(self.offer_id));
        }
    }
}

impl Link {
    /// Creates a link to the node at `address` and spawns its task, which connects when there is
    /// something to send.
    pub(crate) fn new(address: SocketAddr, handler: Arc<dyn Handler>) -> Self {
        let (commands, queue) = mpsc::unbounded_channel();
        let budget = handler.budget();
        let shared = Arc::new(Shared::default());
        let task = Task {
            address,
            handler,
            budget,
            queue,
            shared: shared.clone(),
            pending: HashMap::new(),
            notices: Notices::default(),
        };
        tokio::spawn(task.run());
        Self { commands, shared }
    }

    /// Offers a request to the peer.
    pub(crate) fn offer(&self, offer: Offer) -> OfferHandle {
        let (reply, receiver) = oneshot::channel();
        let offer_id = offer.id;
        let _ = self.commands.send(Command::Offer(Box::new(offer), reply));
        OfferHandle {
            offer_id,
            commands: self.commands.clone(),
            reply: receiver,
            replied: false,
        }
    }

    /// Sends an update, connecting if necessary. It is sent again on a new connection until the peer
    /// confirms that it has arrived.
    pub(crate) fn send_update(&self, update: Update) {
        let _ = self.commands.send(Command::Notify(update, None));
    }

    /// Sends an update, and waits until the peer confirms that it has applied this update and has said
    /// what this process may not know. Returns `false` if the peer cannot be reached.
    pub(crate) async fn send_confirmed(&self, update: Update) -> bool {
        let (confirmed, waiting) = oneshot::channel();
        let _ = self.commands.send(Command::Notify(update, Some(confirmed)));
        waiting.await.is_ok()
    }

    /// Sends a compressed version, connecting if necessary.
    pub(crate) fn send_version(&self, packed: PackedVersion) {
        let _ = self.commands.send(Command::Send(Frame::Version(packed)));
    }

    /// Sends a message about quotas, connecting if necessary.
    pub(crate) fn send_quota(&self, message: quota::Message) {
        let frame = Frame::Quota(Box::new(message));
        let _ = self.commands.send(Command::Send(frame));
    }

    /// Sends a message about canary releases, connecting if necessary.
    pub(crate) fn send_canary(&self, message: canary::Message) {
        let frame = Frame::Canary(Box::new(message));
        let _ = self.commands.send(Command::Send(frame));
    }

    /// Requests the peer's status and entries.
    pub(crate) fn fetch_status_and_roster(&self) {
        let _ = self.commands.send(Command::Send(Frame::Ping));
        let _ = self.commands.send(Command::Send(Frame::FetchRoster));
    }

    /// Requests the peer's status.
    pub(crate) fn ping(&self) {
        let _ = self.commands.send(Command::Send(Frame::Ping));
    }

    /// Whether the last attempt to connect to the peer failed. If so, the call also schedules
    /// another attempt after a pause, so that no request has to wait for one.
    pub(crate) fn is_unreachable(&self) -> bool {
        let unreachable = self.shared.unreachable.load(Ordering::Relaxed);
        if unreachable {
            self.shared.retry_requested.store(true, Ordering::Relaxed);
        }
        unreachable
    }

    /// Time since the first of the failed attempts to connect; `None` if the last one succeeded.
    pub(crate) fn unreachable_for(&self) -> Option<Duration> {
        self.shared.unreachable_for()
    }

    /// Round-trip time measured when the link last connected; `None` before the first connection.
    pub(crate) fn round_trip(&self) -> Option<Duration> {
        let micros = self.shared.round_trip_us.load(Ordering::Relaxed);
        (micros > 0).then(|| Duration::from_micros(micros.into()))
    }
}

/// Time of the next liveness check, which is the same for all links: with many links, checks at
/// different times would wake the process most of the time.
fn next_check() -> tokio::time::Instant {
    static FIRST_CHECK: OnceLock<tokio::time::Instant> = OnceLock::new();
    let now = tokio::time::Instant::now();
    let first = *FIRST_CHECK.get_or_init(|| now);
    let period_ms = LIVENESS_CHECK_PERIOD.as_millis();
    let passed_ms = now.saturating_duration_since(first).as_millis() % period_ms;
    now + Duration::from_millis(u64::try_from(period_ms - passed_ms).unwrap_or_default())
}

/// An offered request without a reply.
struct PendingOffer {
    reply: oneshot::Sender<Reply>,
    idempotent: bool,
    /// Whether the request's body is sent in parts.
    has_parts: bool,
    /// Incarnation of the process to which it was sent.
    incarnation: u64,
    /// Time of day at which it was sent. Unlike [`Instant`], it also counts the time for which the
    /// machine is suspended.
    sent_at: SystemTime,
    /// Time after its arrival for which the peer remembers it at least.
    remembered_for: Duration,
}

impl PendingOffer {
    /// The peer's reply, or that the request may have run if the peer replied that it had not
    /// arrived, and may have forgotten it meanwhile.
    fn check_reply(&self, reply: Reply) -> Reply {
        let Reply::Refused(refusal) = &reply else {
            return reply;
        };
        let age = self.sent_at.elapsed().unwrap_or_default();
        let did_not_arrive =
            refusal.reason == Reason::ConnectionLost && refusal.verdict == Verdict::NotRun;
        if did_not_arrive && age >= self.remembered_for {
            return Reply::Refused(Refusal::may_have_run(Reason::ConnectionLost));
        }
        reply
    }
}

/// Error: the [`Link`] was dropped.
struct LinkDropped;

/// The task that owns a link's connection and unanswered requests.
struct Task {
    address: SocketAddr,
    handler: Arc<dyn Handler>,
    /// Memory for the bodies of replies.
    budget: Arc<Budget>,
    queue: mpsc::UnboundedReceiver<Command>,
    shared: Arc<Shared>,
    pending: HashMap<OfferId, PendingOffer>,
    /// Updates that the peer has not confirmed.
    notices: Notices,
}

/// An established connection to the peer.
struct Session {
    sender: Sender,
    receiver: Receiver,
    peer: Entry,
    round_trip: Duration,
    last_received: Instant,
    /// When a ping was sent, until any frame is received.
    ping_sent: Option<Instant>,
    /// Replies whose bodies are not complete. They are lost with the connection, and inquired about on
    /// the next one.
    arriving: HashMap<OfferId, (Reply, Assembly)>,
}

impl Task {
    async fn run(mut self) {
        let mut first_command = None;
        loop {
            let retry = self.shared.retry_requested.swap(false, Ordering::Relaxed);
            let reachable = !self.shared.unreachable.load(Ordering::Relaxed);
            let has_notices = reachable && !self.notices.is_empty();
            if self.pending.is_empty() && first_command.is_none() && !retry && !has_notices {
                match self.next_command().await {
                    Ok(command) => first_command = command,
                    Err(LinkDropped) => return,
                }
                continue;
            }
            match self.connect().await {
                Ok(session) => {
                    self.shared.unreachable.store(false, Ordering::Relaxed);
                    self.shared.retry_requested.store(false, Ordering::Relaxed);
                    self.shared.set_failing(false);
                    let link_dropped = self.serve(session, first_command.take()).await;
                    if link_dropped {
                        return;
                    }
                }
                Err(error) => self.handle_unreachable(&error, first_command.take()).await,
            }
        }
    }

    /// Waits for the next command. While the peer is unreachable, returns `None` after a pause, so
    /// that the caller checks whether another attempt to connect was requested.
    async fn next_command(&mut self) -> Result<Option<Command>, LinkDropped> {
        let command = self.queue.recv();
        let command = if self.shared.unreachable.load(Ordering::Relaxed) {
            match tokio::time::timeout(UNREACHABLE_PAUSE, command).await {
                Ok(command) => command,
                Err(_) => return Ok(None),
            }
        } else {
            command.await
        };
        command.map(Some).ok_or(LinkDropped)
    }

    async fn connect(&self) -> io::Result<Session> {
        let started = Instant::now();
        let timeout = CONNECT_TIMEOUT;
        tokio::time::timeout(timeout, self.handshake(started))
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    /// Connects and exchanges hellos with the peer.
    async fn handshake(&self, started: Instant) -> io::Result<Session> {
        let io_error = |error: crate::Error| io::Error::other(error.to_string());
        let stream = TcpStream::connect(self.address).await?;
        let round_trip = started.elapsed();
        socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        let (sender, mut receiver) = session::start(stream).map_err(io_error)?;
        receiver.set_budget(self.budget.clone());
        sender.send(Frame::Hello(Box::new(self.handler.hello())));
        let Frame::Hello(hello) = receiver.next().await.map_err(io_error)? else {
            return Err(io::Error::other("the peer's first frame is not a hello"));
        };
        let micros = u32::try_from(round_trip.as_micros()).unwrap_or(u32::MAX);
        self.shared
            .round_trip_us
            .store(micros.max(1), Ordering::Relaxed);
        let update = Update {
            entries: vec![hello.entry.clone()],
            ..Update::default()
        };
        self.handler.apply_update(update);
        handle_status(self.handler.as_ref(), &hello.entry, hello.status, &sender);
        send_introduction(self.handler.as_ref(), &hello.entry, &sender);
        Ok(Session {
            sender,
            receiver,
            peer: hello.entry,
            round_trip,
            last_received: Instant::now(),
            ping_sent: None,
            arriving: HashMap::new(),
        })
    }

    /// Serves one connection until it is lost (returns `false`) or the [`Link`] is dropped (returns
    /// `true`).
    async fn serve(&mut self, mut session: Session, first_command: Option<Command>) -> bool {
        self.inquire_pending(&session);
        for update in self.notices.restart() {
            if !update.is_empty() {
                session.send_update(update);
            }
        }
        if let Some(command) = first_command {
            self.execute(command, &mut session);
        }
        let mut ticker = tokio::time::interval_at(next_check(), LIVENESS_CHECK_PERIOD);
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                frame = session.receiver.next() => {
                    let received = frame.and_then(|frame| self.receive(frame, &mut session));
                    if let Err(error) = received {
                        log::debug!(
                            event = "link_lost",
                            peer = session.peer.node.as_str();
                            "connection lost; reconnecting if needed: {error}"
                        );
                        return false;
                    }
                },
                command = self.queue.recv() => match command {
                    Some(command) => self.execute(command, &mut session),
                    None => return true,
                },
                _ = ticker.tick(), if self.awaits_peer(&session) => {
                    if self.is_unresponsive(&mut session) || !session.sender.is_open() {
                        log::info!(
                            event = "link_silent",
                            peer = session.peer.node.as_str(),
                            unanswered = self.pending.len();
                            "peer does not respond; replacing the connection"
                        );
                        return false;
                    }
                }
            }
        }
    }

    /// Inquires about the outcome of requests that were sent on an earlier connection.
    fn inquire_pending(&mut self, session: &Session) {
        self.pending.retain(|_, pending| !pending.reply.is_closed());
        for (offer_id, pending) in &self.pending {
            session
                .sender
                .send(Frame::Inquire(*offer_id, pending.incarnation));
        }
    }

    fn execute(&mut self, command: Command, session: &mut Session) {
        match command {
            Command::Offer(offer, reply) => {
                if reply.is_closed() {
                    return;
                }
                let pending = PendingOffer {
                    reply,
                    idempotent: offer.idempotent,
                    has_parts: offer.message.has_large_body(),
                    incarnation: session.peer.incarnation,
                    sent_at: SystemTime::now(),
                    remembered_for: offer.time_left.max(MIN_RETENTION),
                };
                let offer_id = offer.id;
                if !session.sender.send(Frame::Offer(offer)) {
                    // The connection has closed or its queue is full, so nothing was sent.
                    let refused = Refusal::not_run(Reason::Unreachable);
                    let _ = pending.reply.send(Reply::Refused(refused));
                    return;
                }
                self.pending.insert(offer_id, pending);
                if session.last_received.elapsed() > PING_IDLE_TIME {
                    self.ping(session);
                }
            }
            Command::Cancel(offer_id) => {
                if let Some(pending) = self.pending.remove(&offer_id) {
                    session.drop_bodies(offer_id, &pending);
                    session.sender.send(Frame::Cancel(offer_id));
                }
            }
            Command::Send(Frame::Ping) => self.ping(session),
            Command::Send(frame) => {
                if matches!(frame, Frame::Canary(_)) {
                    // A stage is told once. If it is lost, the next connection begins with the stages.
                    self.notices.push(Update::default(), None, true);
                }
                session.sender.send(frame);
                if session.last_received.elapsed() > PING_MESSAGE_TIME {
                    self.ping(session);
                }
            }
            Command::Notify(update, waiting) => {
                let sent = update.is_empty() || session.send_update(&update);
                let is_awaited = waiting.is_some();
                self.notices.push(update, waiting, sent);
                if is_awaited {
                    self.ping(session);
                }
            }
        }
    }

    /// Whether anything is expected of the peer, so that its silence matters.
    fn awaits_peer(&self, session: &Session) -> bool {
        !self.pending.is_empty() || !self.notices.is_empty() || session.ping_sent.is_some()
    }

    /// Sends a ping unless one is unanswered.
    fn ping(&mut self, session: &mut Session) {
        if session.ping_sent.is_none() && session.sender.send(Frame::Ping) {
            session.ping_sent = Some(Instant::now());
            self.notices.record_ping();
        }
    }

    fn receive(&mut self, frame: Frame, session: &mut Session) -> crate::error::Result<()> {
        session.last_received = Instant::now();
        session.ping_sent = None;
        if matches!(frame, Frame::Pong(_)) {
            self.notices.record_pong();
        }
        let handler = self.handler.as_ref();
        let frame = handle_common_frame(handler, &session.peer, frame, &session.sender);
        match frame {
            Some(Frame::Reply(offer_id, status, reply)) => {
                handle_status(handler, &session.peer, status, &session.sender);
                session.arriving.remove(&offer_id);
                match reply.announced() {
                    Some(length) => self.receive_body(offer_id, *reply, length, session),
                    None => self.complete(offer_id, *reply, session),
                }
            }
            Some(Frame::Body {
                offer,
                part: Part::Reply,
                bytes,
                last,
            }) => {
                if let Some((_, body)) = session.arriving.get_mut(&offer) {
                    body.append(&bytes, last)?;
                }
                if last && let Some((reply, body)) = session.arriving.remove(&offer) {
                    self.complete(offer, reply.with_body(body.finish()), session);
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Prepares to receive the body of a reply. Without memory for it, the reply is lost.
    fn receive_body(
        &mut self,
        offer_id: OfferId,
        reply: Reply,
        length: usize,
        session: &mut Session,
    ) {
        if !self.pending.contains_key(&offer_id) {
            return;
        }
        if let Some(reservation) = self.budget.reserve(length) {
            let body = Assembly::new(length, reservation);
            session.arriving.insert(offer_id, (reply, body));
            return;
        }
        self.handler.count("link_replies_refused");
        if REFUSED_REPLIES.is_due(Instant::now()) {
            log::warn!(
                event = "reply_refused",
                peer = session.peer.node.as_str(),
                bytes = length;
                "no memory for the body of a reply; the request may have run"
            );
        }
        session.sender.send(Frame::Cancel(offer_id));
        let refusal = Refusal::may_have_run(Reason::NoMemory);
        self.complete(offer_id, Reply::Refused(refusal), session);
    }

    /// Reserves memory for a reply, besides that of a body which arrived in parts. Without memory for it,
    /// the reply is lost.
    fn hold(&self, mut reply: Reply) -> Reply {
        let Reply::Answer(message) = &mut reply else {
            return reply;
        };
        let cost = message.cost();
        if cost < MIN_RESERVED_COST {
            return reply;
        }
        if let Some(reservation) = self.budget.reserve(cost) {
            message.hold(reservation);
            return reply;
        }
        self.handler.count("link_replies_refused");
        Reply::Refused(Refusal::may_have_run(Reason::NoMemory))
    }

    /// Reports the outcome of an offer.
    fn complete(&mut self, offer_id: OfferId, reply: Reply, session: &mut Session) {
        if let Some(pending) = self.pending.remove(&offer_id) {
            session.drop_bodies(offer_id, &pending);
            let reply = self.hold(pending.check_reply(reply));
            let _ = pending.reply.send(reply);
        }
    }

    /// Whether the peer has not answered a ping in time. Sends a ping if one is due.
    fn is_unresponsive(&mut self, session: &mut Session) -> bool {
        let max_wait = PONG_TIMEOUT + session.round_trip * PONG_ROUND_TRIPS;
        if let Some(ping_sent) = session.ping_sent {
            return ping_sent.elapsed() > max_wait || self.notices.is_overdue();
        }
        let is_idle = session.last_received.elapsed() > PING_IDLE_TIME;
        if is_idle && !self.pending.is_empty() || self.notices.is_ping_due() {
            self.ping(session);
        }
        self.notices.is_overdue()
    }

    /// Handles a failed attempt to connect: requests that were not sent are refused as not run,
    /// idempotent ones that were sent are refused so that they can be retried elsewhere, and the
    /// others wait until the peer is reachable again.
    async fn handle_unreachable(&mut self, error: &io::Error, first_command: Option<Command>) {
        self.shared.set_failing(true);
        if !self.shared.unreachable.swap(true, Ordering::Relaxed) {
            let address = self.address.to_string();
            log::info!(
                event = "peer_unreachable",
                peer = address.as_str(),
                unanswered = self.pending.len();
                "could not connect to the peer: {error}"
            );
        }
        let process_ended = error.kind() == io::ErrorKind::ConnectionRefused;
        if let Some(command) = first_command {
            self.refuse(command);
        }
        self.notices.stop_waiting();
        self.refuse_pending(process_ended);
        let until = Instant::now()
            + if self.pending.is_empty() {
                UNREACHABLE_PAUSE
            } else {
                RECONNECT_PAUSE
            };
        while let Ok(Some(command)) = tokio::time::timeout_at(until.into(), self.queue.recv()).await
        {
            self.refuse(command);
        }
    }

    /// Handles a command while the peer cannot be reached.
    fn refuse(&mut self, command: Command) {
        match command {
            Command::Offer(_, reply) => {
                let _ = reply.send(Reply::Refused(Refusal::not_run(Reason::Unreachable)));
            }
            Command::Cancel(offer_id) => {
                self.pending.remove(&offer_id);
            }
            Command::Notify(update, _) if !update.is_empty() => {
                self.notices.push(update, None, false);
            }
            Command::Notify(..) | Command::Send(_) => {}
        }
    }

    /// Refuses the unanswered requests that need not wait for the peer: idempotent ones once it has
    /// been unreachable for [`MIN_UNREACHABLE_TIME`], and all if the peer's process has ended and
    /// can no longer answer. Drops those without a recipient.
    fn refuse_pending(&mut self, process_ended: bool) {
        let unreachable_for = self.shared.unreachable_for().unwrap_or_default();
        let give_up = unreachable_for >= MIN_UNREACHABLE_TIME;
        let refused = |pending: &PendingOffer| process_ended || pending.idempotent && give_up;
        let offer_ids: Vec<OfferId> = self
            .pending
            .iter()
            .filter(|(_, pending)| refused(pending) || pending.reply.is_closed())
            .map(|(offer_id, _)| *offer_id)
            .collect();
        for offer_id in offer_ids {
            if let Some(pending) = self.pending.remove(&offer_id) {
                let refusal = Refusal::may_have_run(Reason::ConnectionLost);
                let _ = pending.reply.send(Reply::Refused(refusal));
            }
        }
    }
}

impl Session {
    /// Queues an update; `false` if the connection has closed or its queue is full.
    fn send_update(&self, update: &Update) -> bool {
        self.sender.send(Frame::Update(Box::new(update.clone())))
    }

    /// Drops what is left of the bodies of an offer that is no longer pending.
    fn drop_bodies(&mut self, offer_id: OfferId, pending: &PendingOffer) {
        if pending.has_parts {
            self.sender.stop_body(offer_id, Part::Request);
        }
        self.arriving.remove(&offer_id);
    }
}
