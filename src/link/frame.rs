//! Messages between two nodes: encoded with `postcard`, in length-delimited frames.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};
use xxhash_rust::xxh3::Xxh3;

use crate::canary;
use crate::error::Error;
use crate::h1;
use crate::memory::{self, Budget, Reservation};
use crate::quota;
use crate::roster::{Crash, Presence};
use crate::status;
use crate::verdict::Refusal;

/// Largest frame: twice the estimated size of the entries of 21,000 nodes. Versions have at most 4 MiB
/// before their compression, and all other frames at most [`MAX_UNRESERVED_BYTES`].
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Largest frame that is received without a reservation: the largest head of a message and a part of
/// a body fit.
const MAX_UNRESERVED_BYTES: usize = 128 * 1024;
/// Bytes of the length before each frame.
const LENGTH_BYTES: usize = 4;
/// Largest body that is sent inside its message's frame, and largest part of a body in one
/// [`Frame::Body`]; 13 ms of a link of 10 Mbit/s.
pub(super) const MAX_PART_BYTES: usize = 16 * 1024;

/// Most headers of a message; as many as are read from callers and targets, and those that nodes add.
const MAX_HEADERS: usize = 160;

/// Start of the year 2200, in milliseconds since 1970.
const MAX_INCARNATION: u64 = 7_258_118_400_000;

/// Most removals, crashes or clearances in an update that was merged from several.
const MAX_MERGED_CHANGES: usize = 256;

/// Identifies one offer of one request; a random number chosen by the offering node.
pub(crate) type OfferId = u64;

/// An HTTP request or response as sent over a link.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Message {
    /// Method of a request, status code of a response.
    method_or_status: String,
    /// Path and query of a request, empty for a response.
    path_and_query: String,
    headers: Vec<(String, Vec<u8>)>,
    /// Shared with all copies of the message.
    body: Bytes,
    /// Length of a body that follows in [`Frame::Body`] frames, else 0.
    announced: u64,
}

impl Message {
    /// Size of headers and body in bytes.
    pub(super) fn size(&self) -> usize {
        self.body.len() + self.header_bytes()
    }

    fn header_bytes(&self) -> usize {
        let headers = self.headers.iter();
        headers.map(|(n, v)| n.len() + v.len()).sum()
    }

    /// Memory to reserve for the message while it is in use, besides that of a body that arrived in
    /// parts.
    pub(super) fn cost(&self) -> usize {
        let head = self.path_and_query.len() + self.header_bytes();
        let body = if self.has_large_body() {
            0
        } else {
            self.body.len()
        };
        memory::head_cost(head) + body
    }

    /// Whether the body exceeds [`MAX_PART_BYTES`], so that it is sent in parts.
    pub(super) fn has_large_body(&self) -> bool {
        self.body.len() > MAX_PART_BYTES
    }

    /// Removes a body that exceeds [`MAX_PART_BYTES`] and announces its length.
    pub(super) fn detach_body(&mut self) -> Option<Bytes> {
        if !self.has_large_body() {
            return None;
        }
        let body = std::mem::take(&mut self.body);
        self.announced = body.len() as u64;
        Some(body)
    }

    /// Length of the body if it follows in [`Frame::Body`] frames.
    pub(super) fn announced(&self) -> Option<usize> {
        let length = usize::try_from(self.announced).unwrap_or(usize::MAX);
        (length > 0).then_some(length)
    }

    /// Completes the message with the body that followed.
    pub(super) fn attach_body(&mut self, body: Bytes) {
        self.body = body;
        self.announced = 0;
    }

    /// Ties a reservation to the body: it is returned when the last copy of the body is dropped.
    pub(super) fn hold(&mut self, reservation: Reservation) {
        let body = std::mem::take(&mut self.body);
        self.body = memory::hold(body, reservation);
    }
}

impl From<&h1::Request> for Message {
    fn from(request: &h1::Request) -> Self {
        Self {
            method_or_status: request.method.to_string(),
            path_and_query: request.target.clone(),
            headers: header_list(&request.headers),
            body: request.body.clone(),
            announced: 0,
        }
    }
}

impl From<&h1::Response> for Message {
    fn from(response: &h1::Response) -> Self {
        Self {
            method_or_status: response.status.as_u16().to_string(),
            path_and_query: String::new(),
            headers: header_list(&response.headers),
            body: response.body.clone(),
            announced: 0,
        }
    }
}

impl TryFrom<Message> for h1::Request {
    type Error = Error;

    fn try_from(message: Message) -> Result<Self, Error> {
        let method = message.method_or_status.parse();
        Ok(Self {
            method: method.map_err(|_| Error::Peer("request has an invalid method".into()))?,
            target: message.path_and_query,
            headers: header_map(message.headers)?,
            body: message.body,
            keep_alive: true,
        })
    }
}

impl TryFrom<Message> for h1::Response {
    type Error = Error;

    fn try_from(message: Message) -> Result<Self, Error> {
        let status: Option<hyper::StatusCode> = message.method_or_status.parse().ok();
        let status = status.filter(|status| status::is_final(*status));
        Ok(Self {
            status: status
                .ok_or_else(|| Error::Peer("response has an invalid status code".into()))?,
            headers: header_map(message.headers)?,
            body: message.body,
            keep_alive: true,
        })
    }
}

fn header_list(headers: &hyper::HeaderMap) -> Vec<(String, Vec<u8>)> {
    let pairs = headers.iter();
    pairs
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}

fn header_map(list: Vec<(String, Vec<u8>)>) -> Result<hyper::HeaderMap, Error> {
    if list.len() > MAX_HEADERS {
        return Err(Error::Peer("message has too many headers".into()));
    }
    let mut headers = hyper::HeaderMap::with_capacity(list.len());
    for (name, value) in list {
        let name = hyper::header::HeaderName::from_bytes(name.as_bytes());
        let value = hyper::header::HeaderValue::from_maybe_shared(Bytes::from(value));
        match (name, value) {
            (Ok(name), Ok(value)) => headers.append(name, value),
            _ => return Err(Error::Peer("message has an invalid header".into())),
        };
    }
    Ok(headers)
}

/// A request offered to the node beside a target, which runs or refuses it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Offer {
    /// Identifies the offer.
    pub id: OfferId,
    /// Service that the request goes to, selected by the route's traffic split.
    pub service: String,
    /// Name of the route. Run times are averaged by it.
    pub route: String,
    /// Request id that the caller set.
    pub request_id: String,
    /// Service of the VM on which the caller runs.
    pub caller_service: String,
    /// The request itself.
    pub message: Message,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Whether this is a further attempt, so that another target may already have run the request.
    pub repeated: bool,
    /// Priority of the route; 0 is served first.
    pub rank: u32,
    /// Longest time that the request may wait for a slot.
    pub max_wait: Duration,
    /// Time remaining until the latency objective is missed.
    pub objective: Duration,
    /// Time remaining until the caller's deadline.
    pub time_left: Duration,
    /// Typical run time of the route's requests.
    pub expected: Duration,
    /// Hash that is equal for requests that would have the same effect.
    pub fingerprint: u64,
}

/// A node and the target beside it, as the node announces them. Of two entries of a node, the one
/// with the higher incarnation is newer; at equal incarnations, the one with the higher revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entry {
    /// Name of the node.
    pub node: String,
    /// Start time of the node's process in milliseconds since 1970, increased where necessary to
    /// exceed the incarnations of all earlier processes.
    pub incarnation: u64,
    /// Number of changes to the entry since the process started.
    pub revision: u64,
    /// Address at which the node accepts links.
    pub address: SocketAddr,
    /// Region of the node.
    pub region: String,
    /// Data centre of the node.
    pub data_center: String,
    /// Whether the target takes new work.
    pub presence: Presence,
    /// The target, once it is known.
    pub target: Option<Target>,
}

/// The target beside a node, as announced in the node's entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Target {
    /// Instance id of the target.
    pub id: String,
    /// Start time of the target in milliseconds since 1970.
    pub started_ms: u64,
    /// Sequence number of the heartbeat that this announcement is based on; the largest number once
    /// the target has departed.
    pub sequence: u64,
    /// Service that it runs.
    pub service: String,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Time after the announcement for which it is slower than usual (warm-up), in milliseconds.
    pub cold_ms: u64,
    /// Software version that it runs; empty if unknown. Rows of older nodes have no such field.
    #[serde(default)]
    pub version: String,
}

impl Target {
    /// The target after its departure: none of its heartbeats counts any more.
    pub(crate) fn departed(self) -> Self {
        Self {
            sequence: u64::MAX,
            ..self
        }
    }

    /// Whether this is a later announcement of the same target.
    pub(crate) fn replaces(&self, other: &Self) -> bool {
        (&self.id, self.started_ms) == (&other.id, other.started_ms)
            && self.sequence > other.sequence
    }

    /// Whether the target has left for good.
    pub(crate) fn has_departed(&self) -> bool {
        self.sequence == u64::MAX
    }
}

impl Entry {
    /// Digest of the node's name, incarnation and revision.
    pub(crate) fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        hash.update(self.node.as_bytes());
        hash.update(&self.incarnation.to_le_bytes());
        hash.update(&self.revision.to_le_bytes());
        hash.digest()
    }

    /// Whether a node can have announced this entry; other programs may write rows too. An incarnation
    /// is the time of a start, and a node whose entry conflicts raises its own above it.
    pub(crate) fn is_plausible(&self) -> bool {
        let ip = self.address.ip();
        let reachable = self.address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast();
        reachable && !self.node.is_empty() && self.incarnation < MAX_INCARNATION
    }

    /// Whether this entry replaces `other`, an entry of the same node.
    pub(crate) fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.revision) > (other.incarnation, other.revision)
    }
}

/// Load of the target beside a node, as measured by that node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub queued: u32,
    /// Number of requests that can run concurrently.
    pub slots: u32,
    /// Average run time in milliseconds.
    pub run_ms: u32,
    /// Run times relative to the typical ones of their routes, in percent.
    pub slowness_percent: u32,
    /// Share of recent answers that were failures or malformed, in percent.
    pub failing_percent: u32,
    /// Run time that is left of the running and queued requests, at this target's speed, divided by
    /// its slots, in milliseconds; 0 also if the node does not estimate it.
    pub work_ms: u32,
}

/// State of a node, sent with every hello, reply and pong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Status {
    /// Version in force, 0 before the first.
    pub version: u64,
    /// Whether the platform's store answers the sender.
    pub store_reachable: bool,
    /// Digest of the entries that the sender knows.
    pub roster_digest: u64,
    /// Load of the target.
    pub load: Load,
    /// Highest era of the store that the sender knows; 0 if none.
    pub store_era: u64,
    /// Era in which the sender's version was last read from the store.
    pub version_era: u64,
    /// Digest of the content of the sender's version.
    pub version_digest: u32,
}

/// First message of each side.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// The sender's entry.
    pub entry: Entry,
    /// The sender's status.
    pub status: Status,
}

/// Changes to distribute to other nodes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Update {
    /// Entries that changed.
    pub entries: Vec<Entry>,
    /// Nodes that were permanently removed, with their last incarnations.
    pub removed: Vec<(String, u64)>,
    /// Crashes of targets.
    pub crashes: Vec<Crash>,
    /// Fingerprints of requests that were suspected of crashing targets and have since completed.
    pub cleared: Vec<u64>,
}

impl Update {
    /// Whether there is nothing to distribute.
    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
            && self.removed.is_empty()
            && self.crashes.is_empty()
            && self.cleared.is_empty()
    }

    /// Puts the changes of an earlier update before these. Of the entries of a node, only the newest
    /// one is kept, and the number of other changes is bounded.
    pub(super) fn prepend(&mut self, earlier: Self) {
        for entry in earlier.entries {
            match self.entries.iter_mut().find(|e| e.node == entry.node) {
                Some(known) if entry.is_newer_than(known) => *known = entry,
                Some(_) => {}
                None => self.entries.push(entry),
            }
        }
        prepend_bounded(&mut self.removed, earlier.removed);
        prepend_bounded(&mut self.crashes, earlier.crashes);
        prepend_bounded(&mut self.cleared, earlier.cleared);
    }
}

/// Puts `earlier` before `items`, and drops the earliest of both beyond [`MAX_MERGED_CHANGES`].
fn prepend_bounded<T>(items: &mut Vec<T>, mut earlier: Vec<T>) {
    earlier.append(items);
    let surplus = earlier.len().saturating_sub(MAX_MERGED_CHANGES);
    earlier.drain(..surplus);
    *items = earlier;
}

/// A version as the platform stores it, compressed with an earlier version as the dictionary.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PackedVersion {
    /// Number of the earlier version; 0 if compressed without one.
    pub base: u64,
    /// Uncompressed size in bytes.
    pub size: usize,
    /// Compressed bytes.
    pub bytes: Vec<u8>,
    /// Era in which the version was last read from the store.
    pub era: u64,
    /// Digest of the uncompressed bytes. The receiver may hold other content of the base.
    pub digest: u32,
}

/// Outcome of one offer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// The target's complete response.
    Answer(Message),
    /// No response; the verdict of the refusal says whether the request may have run.
    Refused(Refusal),
}

impl Reply {
    /// Size in bytes of the answer, if there is one.
    pub(super) fn size(&self) -> usize {
        match self {
            Self::Answer(message) => message.size(),
            Self::Refused(_) => 0,
        }
    }

    /// Length of the answer's body if it follows in [`Frame::Body`] frames.
    pub(super) fn announced(&self) -> Option<usize> {
        match self {
            Self::Answer(message) => message.announced(),
            Self::Refused(_) => None,
        }
    }

    /// The reply with the body that followed.
    pub(super) fn with_body(mut self, body: Bytes) -> Self {
        if let Self::Answer(message) = &mut self {
            message.attach_body(body);
        }
        self
    }
}

/// The message of an offer that a body belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Part {
    /// The offered request.
    Request,
    /// The reply to it.
    Reply,
}

/// A message between two nodes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Frame {
    /// First message of each side.
    Hello(Box<Hello>),
    /// Offers a request.
    Offer(Box<Offer>),
    /// The outcome of an offer.
    Reply(OfferId, Status, Box<Reply>),
    /// Cancels an offer whose outcome the offering node no longer awaits.
    Cancel(OfferId),
    /// Asks for the outcome of an offer that was made on an earlier connection to the process with
    /// the given incarnation.
    Inquire(OfferId, u64),
    /// Asks for the peer's status, and checks that the connection works.
    Ping,
    /// Answers a ping.
    Pong(Status),
    /// Changes to distribute.
    Update(Box<Update>),
    /// Asks for all entries that the peer knows.
    FetchRoster,
    /// Asks for the version in force, if it is higher than the given one.
    FetchVersion(u64),
    /// A compressed version.
    Version(PackedVersion),
    /// The next bytes of a body whose message was sent before.
    Body {
        /// The offer.
        offer: OfferId,
        /// The message that the body belongs to.
        part: Part,
        /// At most [`MAX_PART_BYTES`].
        bytes: Bytes,
        /// Whether the body is complete.
        last: bool,
    },
    /// Use and demand of tenants with quotas.
    Quota(Box<quota::Message>),
    /// Stages or counts of canary releases.
    Canary(Box<canary::Message>),
    /// Asks for the entries that differ, by the digests of the sender's entries in groups.
    CompareRoster(Vec<u64>),
}

impl Frame {
    /// The message that the frame carries, if it can be followed by a body.
    pub(super) fn message_mut(&mut self) -> Option<(OfferId, Part, &mut Message)> {
        match self {
            Self::Offer(offer) => Some((offer.id, Part::Request, &mut offer.message)),
            Self::Reply(offer_id, _, reply) => match reply.as_mut() {
                Reply::Answer(message) => Some((*offer_id, Part::Reply, message)),
                Reply::Refused(_) => None,
            },
            _ => None,
        }
    }
}

/// Encodes and decodes frames on a byte stream.
pub(super) struct Codec {
    frames: LengthDelimitedCodec,
    /// Memory from which frames above [`MAX_UNRESERVED_BYTES`] are reserved; none are received without.
    budget: Option<Arc<Budget>>,
    /// Whether the length of the frame that is being received is known.
    in_frame: bool,
    /// Memory of the frame that is being received.
    reservation: Option<Reservation>,
}

impl Codec {
    pub(super) fn new() -> Self {
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self {
            frames: codec,
            budget: None,
            in_frame: false,
            reservation: None,
        }
    }

    /// Receives large frames only if there is memory for them.
    pub(super) fn set_budget(&mut self, budget: Arc<Budget>) {
        self.budget = Some(budget);
    }

    /// Reserves memory for a large frame as soon as its length is known.
    fn reserve(&mut self, source: &[u8]) -> Result<(), Error> {
        let (Some(length), false) = (source.first_chunk::<LENGTH_BYTES>(), self.in_frame) else {
            return Ok(());
        };
        self.in_frame = true;
        let length = u32::from_be_bytes(*length) as usize;
        if (MAX_UNRESERVED_BYTES..=MAX_FRAME_BYTES).contains(&length) {
            let budget = self.budget.as_ref();
            self.reservation = budget.and_then(|budget| budget.reserve(length));
            if self.reservation.is_none() {
                return Err(Error::Peer(format!(
                    "no memory for a frame of {length} bytes"
                )));
            }
        }
        Ok(())
    }
}

impl Decoder for Codec {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Frame>, Error> {
        self.reserve(source)?;
        let Some(bytes) = self.frames.decode(source)? else {
            return Ok(None);
        };
        self.in_frame = false;
        self.reservation = None;
        let frame = postcard::from_bytes(&bytes);
        frame
            .map(Some)
            .map_err(|error| Error::Peer(format!("frame cannot be decoded: {error}")))
    }
}

impl Encoder<Frame> for Codec {
    type Error = Error;

    fn encode(&mut self, frame: Frame, out: &mut BytesMut) -> Result<(), Error> {
        let bytes = postcard::to_stdvec(&frame)
            .map_err(|error| Error::Peer(format!("frame cannot be encoded: {error}")))?;
        self.frames.encode(Bytes::from(bytes), out)?;
        Ok(())
    }
}
