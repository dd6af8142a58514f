//! Settings of a node, read from an INI file and checked as a whole.

use std::net::SocketAddr;
use std::time::Duration;

use crate::bundle::{PublicKey, Trust};
use crate::error::Result;
use crate::ini::{Document, Faults, Reader, Section};

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

/// Everything that a node is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the node, unique in the mesh.
    pub node: String,
    /// Region.
    pub region: String,
    /// Data centre.
    pub data_center: String,
    /// Addresses to listen at.
    pub listen: Listen,
    /// Address of the platform's services.
    pub platform: Option<SocketAddr>,
    /// Operators that the node trusts.
    pub trust: Trust,
    /// The target beside the node, if any.
    pub target: Option<TargetSettings>,
    /// Control listeners of nodes to ask while the platform is down.
    pub seeds: Vec<SocketAddr>,
    /// Limits of the request path.
    pub limits: Limits,
    /// Periods and bounds of the control work.
    pub timing: Timing,
}

/// Addresses to listen at.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// Calls from callers and from the node's own target.
    pub caller: SocketAddr,
    /// Calls from other nodes.
    pub mesh: SocketAddr,
    /// Control messages from other nodes.
    pub control: SocketAddr,
    /// Operators' look at this node.
    pub admin: SocketAddr,
}

/// The target beside a node.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// Target group that it belongs to.
    pub group: String,
    /// Address of the target, usually loopback.
    pub address: SocketAddr,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Connections kept open to it.
    pub connections: u32,
}

/// Limits of the request path.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Requests that wait for a slot of the target at most.
    pub queue: usize,
    /// Retries and hedges as a share of recent requests, in percent.
    pub retry_percent: u32,
    /// Share of a service's targets that may be ejected, in percent.
    pub eject_percent: u32,
}

/// Periods and bounds of the control work.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Term of a lease.
    pub lease_term: Duration,
    /// Period in which registrars read the rollout row.
    pub poll: Duration,
    /// Period of the registrar's heartbeat down the tree.
    pub beat: Duration,
    /// Period in which members announce themselves again.
    pub refresh: Duration,
    /// Period in which neighbours probe each other.
    pub probe: Duration,
    /// Period in which members pull what they lack from a random peer.
    pub pull: Duration,
    /// Time that a roll waits for nodes that are heard from but not ready.
    pub prepare_bound: Duration,
    /// Time for which members unknown to a new registrar are kept.
    pub grace: Duration,
    /// Time between announcing departure and closing the listeners.
    pub departure: Duration,
    /// Time for requests in flight to finish after departure.
    pub drain: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 4 * 1024 * 1024,
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
    /// Settings of a node for tests and demonstrations: any free loopback ports, no platform.
    ///
    /// ```
    /// use bluebellgap::bundle::Trust;
    /// use bluebellgap::settings::Settings;
    /// let settings = Settings::local("n1", "bkk", "bkk-a", Trust::new(1));
    /// assert_eq!(settings.listen.mesh.port(), 0);
    /// ```
    #[must_use]
    pub fn local(node: &str, region: &str, data_center: &str, trust: Trust) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            node: node.to_owned(),
            region: region.to_owned(),
            data_center: data_center.to_owned(),
            listen: Listen {
                caller: any,
                mesh: any,
                control: any,
                admin: any,
            },
            platform: None,
            trust,
            target: None,
            seeds: Vec::new(),
            limits: Limits::default(),
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
    /// [`crate::Error::Invalid`] with every fault, each with section, key and line.
    pub fn read(text: &str) -> Result<Self> {
        let mut faults = Faults::default();
        let document = Document::parse(text, &mut faults);
        document.check_kinds(&SECTION_KINDS, &mut faults);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut settings = Self::local("", "", "", Trust::default());
        let names = read_section(&document, "node", &mut faults, |reader| {
            (
                reader.required("id"),
                reader.required("region"),
                reader.required("data_center"),
            )
        });
        (settings.node, settings.region, settings.data_center) = names;
        settings.listen = read_section(&document, "listen", &mut faults, |reader| {
            let mut address = |key| reader.required_parsed(key, ADDRESS).unwrap_or(any);
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
        settings.limits = read_optional(&document, "limits", &mut faults, read_limits);
        settings.timing = read_optional(&document, "timing", &mut faults, read_timing);
        check_listeners(&document, &settings.listen, &mut faults);
        check_timing(&document, &settings.timing, &mut faults);
        faults.into_result(|| settings)
    }
}

/// Reads the section of one kind; it is read as empty, and so faulty, where it is missing.
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
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let slots = reader.number("slots", 1..=10_000, 12);
    let connections = reader.number("connections", 1..=10_000, slots.max(110));
    if connections < slots {
        reader.reject("connections", "must be at least as many as slots");
    }
    TargetSettings {
        group: reader.required("group"),
        address: reader.required_parsed("address", ADDRESS).unwrap_or(any),
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
    let small = |number: u64| u32::try_from(number).unwrap_or(u32::MAX);
    let size = |number: u64| usize::try_from(number).unwrap_or(usize::MAX);
    Limits {
        body_bytes: size(reader.number("body_bytes", 1..=1 << 30, limits.body_bytes as u64)),
        queue: size(reader.number("queue", 1..=1_000_000, limits.queue as u64)),
        retry_percent: small(reader.number("retry_percent", 0..=100, limits.retry_percent.into())),
        eject_percent: small(reader.number("eject_percent", 0..=50, limits.eject_percent.into())),
    }
}

fn read_timing(reader: &mut Reader) -> Timing {
    let timing = Timing::default();
    let mut period = |key, default: Duration| {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(reader.number(key, 1..=600_000, default))
    };
    Timing {
        lease_term: period("lease_term_ms", timing.lease_term),
        poll: period("poll_ms", timing.poll),
        beat: period("beat_ms", timing.beat),
        refresh: period("refresh_ms", timing.refresh),
        probe: period("probe_ms", timing.probe),
        pull: period("pull_ms", timing.pull),
        prepare_bound: period("prepare_bound_ms", timing.prepare_bound),
        grace: period("grace_ms", timing.grace),
        departure: period("departure_ms", timing.departure),
        drain: period("drain_ms", timing.drain),
    }
}

fn check_listeners(document: &Document, listen: &Listen, faults: &mut Faults) {
    let Some(section) = document.of_kind("listen").next() else {
        return;
    };
    let all = [
        ("caller", listen.caller),
        ("mesh", listen.mesh),
        ("control", listen.control),
        ("admin", listen.admin),
    ];
    for (index, (key, address)) in all.iter().enumerate() {
        let twin = all[..index].iter().find(|(_, other)| other == address);
        if let Some((other, _)) = twin.filter(|_| address.port() != 0) {
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
