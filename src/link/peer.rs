//! The offering side of a link: one task per peer, which owns its connection.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};

use crate::link::frame::{Entry, Frame, Offer, Packed, Reply, Ticket, Update};
use crate::link::server::{Service, answer_common, hear};
use crate::link::session::{self, Receiver, Sender};
use crate::verdict::{Reason, Refusal};

/// Time for a connection and the peer's greeting on it; several round trips between regions, and a
/// fraction of the shortest latency objectives.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Silence of a connection with unanswered requests after which the peer is asked for a sign of
/// life.
const PING_AFTER: Duration = Duration::from_millis(250);
/// Time for the sign of life, on top of round trips.
const PONG_TIMEOUT: Duration = Duration::from_millis(400);
const PONG_ROUND_TRIPS: u32 = 4;
/// How often silence is looked for while requests are unanswered.
const WATCH_PERIOD: Duration = Duration::from_millis(100);
/// Pause between attempts to reach a peer that owes answers.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// Pause before a peer that could not be reached is tried again for requests that would go there.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(500);
/// Time after which the kernel gives up a connection whose peer acknowledges nothing.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

enum Command {
    Offer(Box<Offer>, oneshot::Sender<Reply>),
    Cancel(Ticket),
    Send(Frame),
}

/// A peer, as far as requests are concerned.
pub(crate) struct Link {
    commands: mpsc::UnboundedSender<Command>,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    unreachable: AtomicBool,
    /// Whether the peer was asked for since it could not be reached.
    wanted: AtomicBool,
    /// Since when every attempt to connect has failed.
    failing_since: Mutex<Option<Instant>>,
    round_trip_us: AtomicU32,
}

impl Shared {
    fn note_failing(&self, failing: bool) {
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

/// A request that was offered; dropping it before the reply cancels it.
pub(crate) struct Sent {
    ticket: Ticket,
    commands: mpsc::UnboundedSender<Command>,
    reply: oneshot::Receiver<Reply>,
    ended: bool,
}

impl Sent {
    /// Waits for the end of the offer.
    pub(crate) async fn reply(&mut self) -> Reply {
        let reply = (&mut self.reply).await;
        self.ended = true;
        reply.unwrap_or_else(|_| Reply::Refused(Refusal::may_have_run(Reason::ConnectionLost)))
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        if !self.ended {
            let _ = self.commands.send(Command::Cancel(self.ticket));
        }
    }
}

impl Link {
    /// A link to the node at `address`, which connects when there is something to send.
    pub(crate) fn new(address: SocketAddr, service: Arc<dyn Service>) -> Self {
        let (commands, queue) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared::default());
        let peer = Peer {
            address,
            service,
            queue,
            shared: shared.clone(),
            pending: HashMap::new(),
        };
        tokio::spawn(peer.run());
        Self { commands, shared }
    }

    /// Offers a request.
    pub(crate) fn offer(&self, offer: Offer) -> Sent {
        let (reply, receiver) = oneshot::channel();
        let ticket = offer.ticket;
        let _ = self.commands.send(Command::Offer(Box::new(offer), reply));
        Sent {
            ticket,
            commands: self.commands.clone(),
            reply: receiver,
            ended: false,
        }
    }

    /// Sends update, connecting where necessary.
    pub(crate) fn notify(&self, update: Update) {
        let _ = self
            .commands
            .send(Command::Send(Frame::Update(Box::new(update))));
    }

    /// Sends a version.
    pub(crate) fn push(&self, packed: Packed) {
        let _ = self.commands.send(Command::Send(Frame::Version(packed)));
    }

    /// Asks for the peer's status and entries.
    pub(crate) fn consult(&self) {
        let _ = self.commands.send(Command::Send(Frame::Ping));
        let _ = self.commands.send(Command::Send(Frame::FetchRoster));
    }

    /// Asks for the peer's status.
    pub(crate) fn ping(&self) {
        let _ = self.commands.send(Command::Send(Frame::Ping));
    }

    /// Whether the peer could not be reached when it was last tried. Asking has it tried again after
    /// a while, so that no request has to wait for that.
    pub(crate) fn is_unreachable(&self) -> bool {
        let unreachable = self.shared.unreachable.load(Ordering::Relaxed);
        if unreachable {
            self.shared.wanted.store(true, Ordering::Relaxed);
        }
        unreachable
    }

    /// Time for which every attempt to reach the peer has failed.
    pub(crate) fn unreachable_for(&self) -> Option<Duration> {
        let since = *self.shared.failing_since.lock().ok()?;
        since.map(|since| since.elapsed())
    }

    /// Round trip measured at the last connection, if any.
    pub(crate) fn round_trip(&self) -> Option<Duration> {
        let micros = self.shared.round_trip_us.load(Ordering::Relaxed);
        (micros > 0).then(|| Duration::from_micros(micros.into()))
    }
}

/// A request that waits for its end.
struct Pending {
    reply: oneshot::Sender<Reply>,
    idempotent: bool,
    /// Incarnation of the process that it was sent to.
    incarnation: u64,
}

/// The link is no longer used.
struct Closed;

struct Peer {
    address: SocketAddr,
    service: Arc<dyn Service>,
    queue: mpsc::UnboundedReceiver<Command>,
    shared: Arc<Shared>,
    pending: HashMap<Ticket, Pending>,
}

/// One connection with what is known about it.
struct Session {
    sender: Sender,
    receiver: Receiver,
    peer: Entry,
    round_trip: Duration,
    heard: Instant,
    pinged: Option<Instant>,
}

impl Peer {
    async fn run(mut self) {
        let mut first = None;
        loop {
            let wanted = self.shared.wanted.swap(false, Ordering::Relaxed);
            if self.pending.is_empty() && first.is_none() && !wanted {
                match self.next_command().await {
                    Ok(command) => first = command,
                    Err(Closed) => return,
                }
                continue;
            }
            match self.connect().await {
                Ok(session) => {
                    self.shared.unreachable.store(false, Ordering::Relaxed);
                    self.shared.wanted.store(false, Ordering::Relaxed);
                    self.shared.note_failing(false);
                    let ended = self.serve(session, first.take()).await;
                    if ended {
                        return;
                    }
                }
                Err(error) => self.fail(&error, first.take()).await,
            }
        }
    }

    /// The next command; none where an unreachable peer is to be tried again if it is wanted.
    async fn next_command(&mut self) -> Result<Option<Command>, Closed> {
        let command = self.queue.recv();
        let command = if self.shared.unreachable.load(Ordering::Relaxed) {
            match tokio::time::timeout(UNREACHABLE_PAUSE, command).await {
                Ok(command) => command,
                Err(_) => return Ok(None),
            }
        } else {
            command.await
        };
        command.map(Some).ok_or(Closed)
    }

    async fn connect(&self) -> io::Result<Session> {
        let began = Instant::now();
        let timeout = CONNECT_TIMEOUT;
        tokio::time::timeout(timeout, self.greet(began))
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    async fn greet(&self, began: Instant) -> io::Result<Session> {
        let other = |error: crate::Error| io::Error::other(error.to_string());
        let stream = TcpStream::connect(self.address).await?;
        let round_trip = began.elapsed();
        socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let (sender, mut receiver) = session::start(stream).map_err(other)?;
        sender.send(Frame::Hello(Box::new(self.service.hello())));
        let Frame::Hello(hello) = receiver.next().await.map_err(other)? else {
            return Err(io::Error::other("no greeting"));
        };
        let micros = u32::try_from(round_trip.as_micros()).unwrap_or(u32::MAX);
        self.shared
            .round_trip_us
            .store(micros.max(1), Ordering::Relaxed);
        let update = Update {
            entries: vec![hello.entry.clone()],
            ..Update::default()
        };
        self.service.learn(update);
        hear(self.service.as_ref(), &hello.entry, hello.status, &sender);
        Ok(Session {
            sender,
            receiver,
            peer: hello.entry,
            round_trip,
            heard: Instant::now(),
            pinged: None,
        })
    }

    /// Serves one connection; returns whether the link is no longer used.
    async fn serve(&mut self, mut session: Session, first: Option<Command>) -> bool {
        self.ask_again(&session);
        if let Some(command) = first {
            self.carry_out(command, &mut session);
        }
        let mut watch = tokio::time::interval(WATCH_PERIOD);
        watch.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                frame = session.receiver.next() => match frame {
                    Ok(frame) => self.receive(frame, &mut session),
                    Err(error) => {
                        log::debug!(event = "link_lost", peer = session.peer.node.as_str(); "{error}");
                        return false;
                    }
                },
                command = self.queue.recv() => match command {
                    Some(command) => self.carry_out(command, &mut session),
                    None => return true,
                },
                _ = watch.tick(), if !self.pending.is_empty() || session.pinged.is_some() => {
                    if self.is_silent(&mut session) || !session.sender.is_open() {
                        log::info!(
                            event = "link_silent",
                            peer = session.peer.node.as_str(),
                            unanswered = self.pending.len();
                            "connection replaced"
                        );
                        return false;
                    }
                }
            }
        }
    }

    /// Asks for the ends of requests that were sent on an earlier connection.
    fn ask_again(&mut self, session: &Session) {
        self.pending.retain(|_, pending| !pending.reply.is_closed());
        for (ticket, pending) in &self.pending {
            session
                .sender
                .send(Frame::Inquire(*ticket, pending.incarnation));
        }
    }

    fn carry_out(&mut self, command: Command, session: &mut Session) {
        match command {
            Command::Offer(offer, reply) => {
                if reply.is_closed() {
                    return;
                }
                let pending = Pending {
                    reply,
                    idempotent: offer.idempotent,
                    incarnation: session.peer.incarnation,
                };
                self.pending.insert(offer.ticket, pending);
                session.sender.send(Frame::Offer(offer));
                if session.heard.elapsed() > PING_AFTER {
                    session.ping();
                }
            }
            Command::Cancel(ticket) => {
                if self.pending.remove(&ticket).is_some() {
                    session.sender.send(Frame::Cancel(ticket));
                }
            }
            Command::Send(Frame::Ping) => session.ping(),
            Command::Send(frame) => {
                session.sender.send(frame);
            }
        }
    }

    fn receive(&mut self, frame: Frame, session: &mut Session) {
        session.heard = Instant::now();
        session.pinged = None;
        let service = self.service.as_ref();
        let frame = answer_common(service, &session.peer, frame, &session.sender);
        if let Some(Frame::Reply(ticket, status, reply)) = frame {
            hear(service, &session.peer, status, &session.sender);
            if let Some(pending) = self.pending.remove(&ticket) {
                let _ = pending.reply.send(*reply);
            }
        }
    }

    /// Whether the peer owes a sign of life for too long; asks for one where it is due.
    fn is_silent(&self, session: &mut Session) -> bool {
        let max_wait = PONG_TIMEOUT + session.round_trip * PONG_ROUND_TRIPS;
        if let Some(pinged) = session.pinged {
            return pinged.elapsed() > max_wait;
        }
        if session.heard.elapsed() > PING_AFTER && !self.pending.is_empty() {
            session.ping();
        }
        false
    }

    /// The peer cannot be reached: what was not sent has not run, what may be repeated is given
    /// back, and the rest waits for the peer to come back.
    async fn fail(&mut self, error: &io::Error, first: Option<Command>) {
        self.shared.note_failing(true);
        if !self.shared.unreachable.swap(true, Ordering::Relaxed) {
            let address = self.address.to_string();
            log::info!(
                event = "peer_unreachable",
                peer = address.as_str(),
                unanswered = self.pending.len();
                "{error}"
            );
        }
        let gone = error.kind() == io::ErrorKind::ConnectionRefused;
        let refuse = |command| {
            if let Command::Offer(_, reply) = command {
                let _ = reply.send(Reply::Refused(Refusal::not_run(Reason::Unreachable)));
            }
        };
        first.into_iter().for_each(refuse);
        self.give_back(gone);
        let until = Instant::now()
            + if self.pending.is_empty() {
                UNREACHABLE_PAUSE
            } else {
                RECONNECT_PAUSE
            };
        while let Ok(Some(command)) = tokio::time::timeout_at(until.into(), self.queue.recv()).await
        {
            if let Command::Cancel(ticket) = command {
                self.pending.remove(&ticket);
            } else {
                refuse(command);
            }
        }
    }

    /// Ends what cannot or need not wait for the peer. A process that is gone answers nothing.
    fn give_back(&mut self, gone: bool) {
        let lost = |pending: &Pending| gone || pending.idempotent;
        let tickets: Vec<Ticket> = self
            .pending
            .iter()
            .filter(|(_, pending)| lost(pending) || pending.reply.is_closed())
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in tickets {
            if let Some(pending) = self.pending.remove(&ticket) {
                let refusal = Refusal::may_have_run(Reason::ConnectionLost);
                let _ = pending.reply.send(Reply::Refused(refusal));
            }
        }
    }
}

impl Session {
    fn ping(&mut self) {
        if self.pinged.is_none() && self.sender.send(Frame::Ping) {
            self.pinged = Some(Instant::now());
        }
    }
}
