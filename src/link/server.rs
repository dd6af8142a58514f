//! The accepting side of links: runs requests that other nodes offer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::canary;
use crate::error::{Error, Result};
use crate::h1;
use crate::http::{Place, Places};
use crate::link::frame::{
    Entry, Frame, Hello, Offer, OfferId, PackedVersion, Part, Reply, Status, Update,
};
use crate::link::jobs::{Announcement, Arrival, Jobs};
use crate::link::pace::Pace;
use crate::link::session::{self, Sender};
use crate::memory::Budget;
use crate::quota;
use crate::verdict::{Reason, Refusal};

/// Pause after a failed `accept`, for example when file descriptors run out.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time for the peer to send [`Frame::Hello`] on a new connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which requests of a lost connection keep running, so that the offering node can
/// reconnect and inquire about them.
const RECONNECT_GRACE: Duration = Duration::from_millis(1_500);

/// Memory for what links receive and retain, unless settings say otherwise: one body of the largest
/// legal size (64 MiB), and replies.
pub(crate) const DEFAULT_BUDGET_BYTES: usize = 72 * 1024 * 1024;
/// Time without acknowledgements after which the kernel closes an accepted connection
/// (`TCP_USER_TIMEOUT`), so that a peer which is gone or reads nothing can't hold replies. The offering
/// side replaces a connection much earlier.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest times in an offer. Those of a peer may be any number, and a sum with the current time would
/// overflow.
const MAX_OFFER_TIME: Duration = Duration::from_hours(1);

static REFUSED_BODIES: Pace = Pace::new();

/// Interval at which the memory of expired replies and of bodies that stopped arriving is freed, also
/// while no offers arrive.
const EVICTION_PERIOD: Duration = Duration::from_secs(1);

/// What to fetch from a peer because this node's copy is older.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Fetch {
    /// The version in force is to be fetched if it is higher than this one.
    pub version: Option<u64>,
    /// Whether to fetch the entries that differ.
    pub roster: bool,
}

/// A node's handling of the messages that arrive over its links.
#[async_trait]
pub(crate) trait Handler: Send + Sync + 'static {
    /// This node's entry and current status.
    fn hello(&self) -> Hello;

    /// Runs an offered request at the target beside this node. Dropping the future cancels the
    /// request, unless it is not idempotent and has already started.
    async fn run(&self, offer: Offer) -> Result<h1::Response, Refusal>;

    /// Records a peer's status; returns what to fetch from that peer.
    fn record_status(&self, node: &str, status: Status) -> Fetch;

    /// Applies an update from a peer.
    fn apply_update(&self, update: Update);

    /// All entries that this node knows, as an update.
    fn roster(&self) -> Update;

    /// Digests of the entries of all nodes, in groups.
    fn roster_digests(&self) -> Vec<u64> {
        Vec::new()
    }

    /// The entries and removals of the groups whose digests differ from those of a peer.
    fn roster_difference(&self, _digests: &[u64]) -> Update {
        self.roster()
    }

    /// What a peer that may have just started has to learn from this node, if there is anything.
    fn introduction(&self, _peer: &Entry) -> Option<Update> {
        None
    }

    /// The version in force, if it is higher than `version`, which the requesting peer has.
    fn version_above(&self, version: u64) -> Option<PackedVersion>;

    /// Puts a version from a peer in force if it replaces this node's.
    fn apply_version(&self, packed: &PackedVersion);

    /// Memory for what is received over links and for retained replies. All links of a process share
    /// one budget; without one, each connection has its own.
    fn budget(&self) -> Arc<Budget> {
        Budget::new(DEFAULT_BUDGET_BYTES)
    }

    /// Increments a counter of this node.
    fn count(&self, _counter: &str) {}

    /// Handles a peer's message about quotas.
    fn apply_quota(&self, _node: &str, _message: quota::Message) {}

    /// Applies a message about canary releases; returns what its sender does not know, if anything.
    fn apply_canary(&self, _: canary::Message) -> Option<canary::Message> {
        None
    }

    /// Stages of canary releases that a peer may not know, if there are any.
    fn canary_notices(&self) -> Option<canary::Message> {
        None
    }
}

/// Handles the frames that either side of a link may receive. Returns any other frame.
pub(super) fn handle_common_frame(
    handler: &dyn Handler,
    peer: &Entry,
    frame: Frame,
    sender: &Sender,
) -> Option<Frame> {
    match frame {
        Frame::Ping => {
            sender.send(Frame::Pong(handler.hello().status));
        }
        Frame::Pong(status) => handle_status(handler, peer, status, sender),
        Frame::Update(update) => handler.apply_update(*update),
        Frame::FetchRoster => {
            sender.send(Frame::Update(Box::new(handler.roster())));
        }
        Frame::CompareRoster(digests) => {
            let difference = handler.roster_difference(&digests);
            if !difference.is_empty() {
                sender.send(Frame::Update(Box::new(difference)));
            }
        }
        Frame::FetchVersion(known) => {
            if let Some(packed) = handler.version_above(known) {
                sender.send(Frame::Version(packed));
            }
        }
        Frame::Version(packed) => handler.apply_version(&packed),
        Frame::Quota(message) => handler.apply_quota(&peer.node, *message),
        Frame::Canary(message) => {
            if let Some(reply) = handler.apply_canary(*message) {
                sender.send(Frame::Canary(Box::new(reply)));
            }
        }
        other => return Some(other),
    }
    None
}

/// Records a peer's status, and fetches its version and roster where they are newer.
pub(super) fn handle_status(handler: &dyn Handler, peer: &Entry, status: Status, sender: &Sender) {
    let fetch = handler.record_status(&peer.node, status);
    if let Some(known) = fetch.version {
        sender.send(Frame::FetchVersion(known));
    }
    if fetch.roster {
        sender.send(Frame::CompareRoster(handler.roster_digests()));
    }
}

/// Tells a newly connected peer what its process may not know.
pub(super) fn send_introduction(handler: &dyn Handler, peer: &Entry, sender: &Sender) {
    if let Some(update) = handler.introduction(peer) {
        sender.send(Frame::Update(Box::new(update)));
    }
    if let Some(notices) = handler.canary_notices() {
        sender.send(Frame::Canary(Box::new(notices)));
    }
}

/// Accepts connections of other nodes' links until `stopped` closes. Of connections whose peer has not said
/// which node it is, at most `max_unknown` are open; the oldest of them closes first.
pub(crate) async fn listen(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    max_unknown: usize,
    mut stopped: watch::Receiver<()>,
) {
    let places = Places::within(max_unknown);
    let jobs = Arc::new(Jobs::within(handler.budget()));
    let mut eviction = tokio::time::interval(EVICTION_PERIOD);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = eviction.tick() => {
                jobs.evict_expired();
                continue;
            }
            _ = stopped.changed() => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(
                    event = "accept_failed",
                    listener = "mesh";
                    "could not accept a connection; retrying: {error}"
                );
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            }
        };
        let Some(place) = places.enter(None) else {
            handler.count("link_connections_refused");
            continue;
        };
        let (handler, jobs) = (handler.clone(), jobs.clone());
        tokio::spawn(async move {
            if let Err(error) = serve(stream, handler, jobs, place).await {
                log::debug!(event = "link_closed"; "incoming connection closed: {error}");
            }
        });
    }
}

/// Serves one connection, which has a place among the unknown ones until its hello.
async fn serve(
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    jobs: Arc<Jobs>,
    mut place: Place,
) -> Result<()> {
    place.set_idle(true);
    socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let (sender, mut receiver) = session::start(stream)?;
    let first_frame = tokio::select! {
        frame = tokio::time::timeout(HELLO_TIMEOUT, receiver.next()) => frame,
        () = place.lost() => return Err(Error::Peer("replaced before a hello was received".into())),
    };
    let Ok(Ok(Frame::Hello(hello))) = first_frame else {
        return Err(Error::Peer("no hello frame received".into()));
    };
    drop(place);
    receiver.set_budget(jobs.budget().clone());
    sender.send(Frame::Hello(Box::new(handler.hello())));
    let peer = hello.entry;
    handler.apply_update(Update {
        entries: vec![peer.clone()],
        ..Update::default()
    });
    handle_status(handler.as_ref(), &peer, hello.status, &sender);
    send_introduction(handler.as_ref(), &peer, &sender);
    let error = loop {
        let frame = match receiver.next().await {
            Ok(frame) => frame,
            Err(error) => break error,
        };
        match handle_common_frame(handler.as_ref(), &peer, frame, &sender) {
            Some(Frame::Offer(offer)) => accept_offer(&handler, &jobs, offer, &peer, &sender),
            Some(Frame::Body {
                offer,
                part: Part::Request,
                bytes,
                last,
            }) => match jobs.append(offer, &bytes, last, &sender) {
                Ok(Some(offer)) => start_job(&handler, &jobs, *offer, &sender),
                Ok(None) => {}
                Err(error) => break error,
            },
            Some(Frame::Cancel(offer_id)) => {
                sender.stop_body(offer_id, Part::Reply);
                jobs.cancel(offer_id);
            }
            Some(Frame::Inquire(offer_id, incarnation)) => {
                inquire(handler.as_ref(), &jobs, offer_id, incarnation, &sender);
            }
            _ => {}
        }
    };
    let incomplete = jobs.drop_incomplete(&sender);
    for _ in 0..incomplete {
        handler.count("link_bodies_broken_off");
    }
    if incomplete > 0 {
        log::debug!(
            event = "body_broken_off",
            peer = peer.node.as_str(),
            bodies = incomplete;
            "connection lost while bodies of offers were arriving; these offers have not run"
        );
    }
    tokio::time::sleep(RECONNECT_GRACE).await;
    jobs.cancel_orphaned(&sender);
    Err(error)
}

/// Starts an offer, or waits for its body if that follows. Refuses the offer if there is no memory for
/// the body.
fn accept_offer(
    handler: &Arc<dyn Handler>,
    jobs: &Arc<Jobs>,
    mut offer: Box<Offer>,
    peer: &Entry,
    sender: &Sender,
) {
    for time in [
        &mut offer.max_wait,
        &mut offer.objective,
        &mut offer.time_left,
        &mut offer.expected,
    ] {
        *time = MAX_OFFER_TIME.min(*time);
    }
    let Some(length) = offer.message.announced() else {
        return start_job(handler, jobs, *offer, sender);
    };
    let offer_id = offer.id;
    let Announcement::Refuse(refusal) = jobs.announce(offer, length, sender) else {
        return;
    };
    if refusal.reason == Reason::Overloaded {
        handler.count("link_bodies_refused");
        if REFUSED_BODIES.is_due(Instant::now()) {
            log::warn!(
                event = "body_refused",
                peer = peer.node.as_str(),
                bytes = length;
                "no memory for the body of an offered request; refusing it as not run"
            );
        }
    }
    refuse(handler.as_ref(), offer_id, refusal, sender);
}

fn refuse(handler: &dyn Handler, offer_id: OfferId, refusal: Refusal, sender: &Sender) {
    let reply = Box::new(Reply::Refused(refusal));
    sender.send(Frame::Reply(offer_id, handler.hello().status, reply));
}

/// Spawns a task that runs an offered request.
fn start_job(handler: &Arc<dyn Handler>, jobs: &Arc<Jobs>, offer: Offer, sender: &Sender) {
    let offer_id = offer.id;
    let cost = offer.message.cost();
    match jobs.start(offer_id, sender.clone(), cost, offer.time_left) {
        Arrival::Run => {}
        Arrival::Repeated => return,
        Arrival::NoMemory(refusal) => {
            handler.count("link_offers_refused");
            return refuse(handler.as_ref(), offer_id, refusal, sender);
        }
        Arrival::Revoked => {
            let refusal = Refusal::not_run(Reason::ConnectionLost);
            return refuse(handler.as_ref(), offer_id, refusal, sender);
        }
    }
    let completion = Completion {
        handler: handler.clone(),
        jobs: jobs.clone(),
        offer_id,
        reply: None,
    };
    let task = tokio::spawn(run_job(offer, completion));
    jobs.set_abort_handle(offer_id, task.abort_handle());
}

async fn run_job(offer: Offer, mut completion: Completion) {
    let outcome = completion.handler.run(offer).await;
    completion.reply = Some(match outcome {
        Ok(response) => Reply::Answer((&response).into()),
        Err(refusal) => Reply::Refused(refusal),
    });
}

/// Finishes an offer when dropped, so that it also finishes when its task is cancelled.
struct Completion {
    handler: Arc<dyn Handler>,
    jobs: Arc<Jobs>,
    offer_id: OfferId,
    /// `None` until the request has ended.
    reply: Option<Reply>,
}

impl Drop for Completion {
    fn drop(&mut self) {
        let cancelled = || Reply::Refused(Refusal::may_have_run(Reason::Cancelled));
        let reply = self.reply.take().unwrap_or_else(cancelled);
        self.jobs
            .finish(self.offer_id, self.handler.hello().status, reply);
    }
}

/// Replies to an inquiry about an offer that was sent to the process with this incarnation. A process
/// may have raised its own meanwhile, so it replies for every offer that it knows.
fn inquire(
    handler: &dyn Handler,
    jobs: &Jobs,
    offer_id: OfferId,
    incarnation: u64,
    inquirer: &Sender,
) {
    let hello = handler.hello();
    let same_process = hello.entry.incarnation == incarnation;
    jobs.inquire(offer_id, hello.status, inquirer.clone(), same_process);
}
