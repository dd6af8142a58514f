//! Settings of a [`Node`](crate::Node), read from INI text and validated as a whole.

use std::net::SocketAddr;
use std::time::Duration;

use crate::bundle::{PublicKey, Trust};
use crate::error::Result;
use crate::ini::{Document, Faults, Reader, Section};
pub use crate::resources::Resources;

const SECTION_KINDS: [&str; 9] = [
    "node",
    "listen",
    "platform",
    "signing",
    "operators",
    "target",
    "seeds",
    "limits",
    "timing",
];
const ADDRESS: &str = "an IP address and port, such as 10.0.0.1:7100";

/// Settings that a node starts with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the node, unique in the mesh.
    pub node: String,
    /// Region of the node.
    pub region: String,
    /// Data centre of the node.
    pub data_center: String,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the platform's table service and object store.
    pub platform: Option<SocketAddr>,
    /// Operators whose signatures the node trusts.
    pub trust: Trust,
    /// Target beside the node, if any.
    pub target: Option<TargetSettings>,
    /// Control listeners of other nodes, contacted while the platform is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Limits on requests.
    pub limits: Limits,
    /// Memory and descriptors that the node may use.
    pub resources: Resources,
    /// Intervals and time limits of the control plane.
    pub timing: Timing,
}

/// Addresses to listen on.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// Requests of callers and of the node's own target.
    pub caller: SocketAddr,
    /// Requests forwarded by other nodes.
    pub mesh: SocketAddr,
    /// Control messages from other nodes.
    pub control: SocketAddr,
    /// Status and readiness, for operators.
    pub admin: SocketAddr,
}

/// The target beside a node.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// Target group that it belongs to.
    pub group: String,
    /// Address of the target, usually loopback.
    pub address: SocketAddr,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Connections to it; checked to be at least `slots`, and otherwise unused.
    pub connections: u32,
}

/// Limits on requests.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Largest body of a target's response, in bytes.
    pub response_bytes: usize,
    /// Maximum number of requests that wait for a slot of the target.
    pub queue: usize,
    /// Upper bound of retries and hedges, in percent of recent requests.
    pub retry_percent: u32,
    /// Share of the targets in one locality tier (same data centre, same region, other regions)
    /// that may be ejected at the same time, in percent.
    pub eject_percent: u32,
}

/// Intervals and time limits of the control plane, and of the node's shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Term of the registrar's lease.
    pub lease_term: Duration,
    /// Interval at which registrars read the rollout row.
    pub poll: Duration,
    /// Interval of the heartbeats that a registrar sends down its dissemination tree.
    pub beat: Duration,
    /// Interval at which members repeat their announcement to the registrar.
    pub refresh: Duration,
    /// Interval at which neighbours probe each other.
    pub probe: Duration,
    /// Interval at which members pull updates that they missed from a random peer.
    pub pull: Duration,
    /// Time that a rollout waits for nodes that answer but have not prepared the version yet.
    pub prepare_bound: Duration,
    /// Time for which nodes keep members that a new registrar has not confirmed yet.
    pub grace: Duration,
    /// Delay between announcing departure and closing the listeners.
    pub departure: Duration,
    /// Time for requests in flight to finish after the departure delay.
    pub drain: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 4 * 1024 * 1024,
            response_bytes: 64 * 1024 * 1024,
            queue: 1_024,
            retry_percent: 10,
            eject_percent: 34,
        }
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease_term: Duration::from_secs(3),
            poll: Duration::from_millis(200),
            beat: Duration::from_secs(2),
            refresh: Duration::from_secs(20),
            probe: Duration::from_secs(1),
            pull: Duration::from_secs(2),
            prepare_bound: Duration::from_secs(3),
            grace: Duration::from_secs(30),
            departure: Duration::from_secs(1),
            drain: Duration::from_secs(30),
        }
    }
}

impl Settings {
    /// Settings for tests and demonstrations: free loopback ports, no platform.
    ///
    /// ```
    /// use bluebellgap::bundle::Trust;
    /// use bluebellgap::settings::Settings;
    /// let settings = Settings::local("n1", "bkk", "bkk-a", Trust::new(1));
    /// assert_eq!(settings.listen.mesh.port(), 0);
    /// ```
    #[must_use]
    pub fn local(node: &str, region: &str, data_center: &str, trust: Trust) -> Self {
        let any_port = any_loopback_port();
        Self {
            node: node.to_owned(),
            region: region.to_owned(),
            data_center: data_center.to_owned(),
            listen: Listen {
                caller: any_port,
                mesh: any_port,
                control: any_port,
                admin: any_port,
            },
            platform: None,
            trust,
            target: None,
            seeds: Vec::new(),
            limits: Limits::default(),
            resources: Resources::default(),
            timing: Timing::default(),
        }
    }

    /// Reads settings from INI text.
    ///
    /// ```
    /// use bluebellgap::settings::Settings;
    /// let error = Settings::read("[node]\nid = a\n[timing]\npoll_ms = 2s\n").unwrap_err();
    /// let text = error.to_string();
    /// assert!(text.contains("line 4: [timing] poll_ms: '2s' found"));
    /// assert!(text.contains("line 1: [node] region: is required"));
    /// ```
    ///
    /// # Errors
    /// [`crate::Error::Invalid`] lists every fault with its section, key and line.
    pub fn read(text: &str) -> Result<Self> {
        let mut faults = Faults::default();
        let document = Document::parse(text, &mut faults);
        document.check_kinds(&SECTION_KINDS, &mut faults);
        let any_port = any_loopback_port();
        let mut settings = Self::local("", "", "", Trust::default());
        let identity = read_section(&document, "node", &mut faults, |reader| {
            (
                reader.required("id"),
                reader.required("region"),
                reader.required("data_center"),
            )
        });
        (settings.node, settings.region, settings.data_center) = identity;
        settings.listen = read_section(&document, "listen", &mut faults, |reader| {
            let mut address = |key| reader.required_parsed(key, ADDRESS).unwrap_or(any_port);
            Listen {
                caller: address("caller"),
                mesh: address("mesh"),
                control: address("control"),
                admin: address("admin"),
            }
        });
        settings.platform = read_section(&document, "platform", &mut faults, |reader| {
            reader.required_parsed("address", ADDRESS)
        });
        settings.trust = read_trust(&document, &mut faults);
        if document.of_kind("target").next().is_some() {
            let target = read_section(&document, "target", &mut faults, read_target);
            settings.target = Some(target);
        }
        settings.seeds = read_seeds(&document, &mut faults);
        (settings.limits, settings.resources) =
            read_optional(&document, "limits", &mut faults, |reader| {
                (read_limits(reader), Resources::read(reader))
            });
        settings.timing = read_optional(&document, "timing", &mut faults, read_timing);
        check_listeners(&document, &settings.listen, &mut faults);
        check_timing(&document, &settings.timing, &mut faults);
        faults.into_result(|| settings)
    }
}

fn any_loopback_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Reads the section of one kind; a missing one is read as empty, which reports its required keys.
fn read_section<T>(
    document: &Document,
    kind: &'static str,
    faults: &mut Faults,
    read: impl FnOnce(&mut Reader) -> T,
) -> T {
    let missing = Section::parse(kind, 1);
    let section = document.of_kind(kind).next().unwrap_or(&missing);
    let mut reader = Reader::new(section, faults);
    let value = read(&mut reader);
    reader.finish();
    value
}

/// Reads the section of one kind, or returns the default if there is none.
fn read_optional<T: Default>(
    document: &Document,
    kind: &'static str,
    faults: &mut Faults,
    read: impl FnOnce(&mut Reader) -> T,
) -> T {
    if document.of_kind(kind).next().is_none() {
        return T::default();
    }
    read_section(document, kind, faults, read)
}

fn read_trust(document: &Document, faults: &mut Faults) -> Trust {
    let required = read_section(document, "signing", faults, |reader| {
        reader.number("required_signatures", 1..=16, 1)
    });
    let mut trust = Trust::new(usize::try_from(required).unwrap_or(1));
    for section in document.of_kind("operators") {
        for entry in &section.entries {
            match PublicKey::parse(&entry.value) {
                Ok(key) => trust = trust.with(&entry.key, key),
                Err(error) => faults.add(section, &entry.key, error.to_string()),
            }
        }
    }
    if let Some(section) = document.of_kind("operators").next() {
        if trust.operator_count() < usize::try_from(required).unwrap_or(1) {
            let message = format!("fewer keys than the {required} required signatures");
            faults.add(section, "-", message);
        }
    } else {
        let missing = Section::parse("operators", 1);
        faults.add(
            &missing,
            "-",
            "is required: one 'name = public key' per operator",
        );
    }
    trust
}

fn read_target(reader: &mut Reader) -> TargetSettings {
    let any_port = any_loopback_port();
    let slots = reader.number("slots", 1..=10_000, 12);
    let connections = reader.number("connections", 1..=10_000, slots.max(110));
    if connections < slots {
        reader.reject("connections", "must be at least as many as slots");
    }
    TargetSettings {
        group: reader.required("group"),
        address: reader
            .required_parsed("address", ADDRESS)
            .unwrap_or(any_port),
        slots: u32::try_from(slots).unwrap_or(1),
        connections: u32::try_from(connections).unwrap_or(1),
    }
}

fn read_seeds(document: &Document, faults: &mut Faults) -> Vec<SocketAddr> {
    let mut seeds = Vec::new();
    for section in document.of_kind("seeds") {
        for entry in &section.entries {
            match entry.value.parse() {
                Ok(address) => seeds.push(address),
                Err(_) => faults.add(section, &entry.key, format!("expected {ADDRESS}")),
            }
        }
    }
    seeds
}

fn read_limits(reader: &mut Reader) -> Limits {
    let limits = Limits::default();
    let to_u32 = |number: u64| u32::try_from(number).unwrap_or(u32::MAX);
    let to_usize = |number: u64| usize::try_from(number).unwrap_or(usize::MAX);
    Limits {
        body_bytes: to_usize(reader.number("body_bytes", 1..=1 << 30, limits.body_bytes as u64)),
        response_bytes: to_usize(reader.number(
            "response_bytes",
            1..=1 << 40,
            limits.response_bytes as u64,
        )),
        queue: to_usize(reader.number("queue", 1..=1_000_000, limits.queue as u64)),
        retry_percent: to_u32(reader.number("retry_percent", 0..=100, limits.retry_percent.into())),
        eject_percent: to_u32(reader.number("eject_percent", 0..=50, limits.eject_percent.into())),
    }
}

fn read_timing(reader: &mut Reader) -> Timing {
    let timing = Timing::default();
    let mut duration = |key, default: Duration| {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(reader.number(key, 1..=600_000, default))
    };
    Timing {
        lease_term: duration("lease_term_ms", timing.lease_term),
        poll: duration("poll_ms", timing.poll),
        beat: duration("beat_ms", timing.beat),
        refresh: duration("refresh_ms", timing.refresh),
        probe: duration("probe_ms", timing.probe),
        pull: duration("pull_ms", timing.pull),
        prepare_bound: duration("prepare_bound_ms", timing.prepare_bound),
        grace: duration("grace_ms", timing.grace),
        departure: duration("departure_ms", timing.departure),
        drain: duration("drain_ms", timing.drain),
    }
}

fn check_listeners(document: &Document, listen: &Listen, faults: &mut Faults) {
    let Some(section) = document.of_kind("listen").next() else {
        return;
    };
    let listeners = [
        ("caller", listen.caller),
        ("mesh", listen.mesh),
        ("control", listen.control),
        ("admin", listen.admin),
    ];
    for (index, (key, address)) in listeners.iter().enumerate() {
        let duplicate = listeners[..index]
            .iter()
            .find(|(_, other)| other == address);
        if let Some((other, _)) = duplicate.filter(|_| address.port() != 0) {
            faults.add(section, key, format!("is the same address as {other}"));
        }
    }
}

fn check_timing(document: &Document, timing: &Timing, faults: &mut Faults) {
    let Some(section) = document.of_kind("timing").next() else {
        return;
    };
    if timing.poll * 3 > timing.lease_term {
        faults.add(
            section,
            "poll_ms",
            "must be at most a third of lease_term_ms",
        );
    }
    if timing.grace < timing.refresh {
        let message = "must be at least refresh_ms, or members would be dropped before they \
                       announce themselves again";
        faults.add(section, "grace_ms", message);
    }
}
