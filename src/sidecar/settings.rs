//! Settings of a sidecar node, read from an INI file and checked as a whole.

use std::net::SocketAddr;
use std::time::Duration;

use crate::error::Result;
use crate::forward::Limits;
use crate::ini::{Document, Faults, Reader, Section};

const SECTION_KINDS: [&str; 7] = [
    "node", "listen", "platform", "target", "seeds", "shutdown", "retries",
];
const ADDRESS: &str = "an IP address and port, such as 10.0.0.1:7100";

/// Everything that a sidecar node is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the node, unique in the mesh.
    pub node: String,
    /// Region.
    pub region: String,
    /// Data centre.
    pub data_center: String,
    /// Service to which callers on this VM belong.
    pub service: String,
    /// Addresses to listen at.
    pub listen: Listen,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Address of the target beside the node.
    pub target: SocketAddr,
    /// Nodes to ask while the store is away, by where they take heartbeats. They accept links at the
    /// same port as this node.
    pub seeds: Vec<SocketAddr>,
    /// How the node ends.
    pub shutdown: Shutdown,
    /// Repeats that all nodes may add to a service's requests.
    pub(crate) retries: Limits,
}

/// Addresses to listen at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Requests of callers and of the target on this VM.
    pub caller: SocketAddr,
    /// Links from other nodes.
    pub mesh: SocketAddr,
    /// Where other nodes are told to open links; `mesh` where absent.
    pub advertise: Option<SocketAddr>,
    /// Heartbeats of the target.
    pub heartbeat: Option<SocketAddr>,
    /// Readiness.
    pub admin: SocketAddr,
    /// Status, counters and histograms.
    pub metrics: Option<SocketAddr>,
}

/// How a node ends after SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// Time in which callers learn that the node is not ready.
    pub notice: Duration,
    /// Time after which the process is ended from outside.
    pub grace: Duration,
}

impl Settings {
    /// Reads settings from INI text.
    ///
    /// ```
    /// use bluebellgap::sidecar::Settings;
    /// let text = "[node]\nid = n1\nregion = bkk\ndata_center = bkk-a\nservice = booking\n\
    ///     [listen]\ncaller = 127.0.0.1:1\nmesh = 127.0.0.1:2\nadmin = 127.0.0.1:3\n\
    ///     [platform]\naddress = 127.0.0.1:4\n[target]\naddress = 127.0.0.1:5\n";
    /// assert_eq!(Settings::read(text).unwrap().data_center, "bkk-a");
    /// let error = Settings::read(&text.replace("127.0.0.1:4", "here")).unwrap_err();
    /// assert!(error.to_string().contains("[platform] address: 'here' found"));
    /// ```
    ///
    /// # Errors
    /// [`crate::Error::Invalid`] with every fault, each with section, key and line.
    pub fn read(text: &str) -> Result<Self> {
        let mut faults = Faults::default();
        let document = Document::parse(text, &mut faults);
        document.check_kinds(&SECTION_KINDS, &mut faults);
        let mut read = Sections {
            document: &document,
            faults: &mut faults,
        };
        let (node, region, data_center, service) = read.section("node", |reader| {
            (
                reader.required("id"),
                reader.required("region"),
                reader.required("data_center"),
                reader.required("service"),
            )
        });
        let settings = Self {
            node,
            region,
            data_center,
            service,
            listen: read.section("listen", read_listen),
            platform: read.section("platform", |reader| address(reader, "address")),
            target: read.section("target", |reader| address(reader, "address")),
            seeds: read.seeds(),
            shutdown: read.section("shutdown", read_shutdown),
            retries: read.section("retries", read_retries),
        };
        faults.into_result(|| settings)
    }
}

struct Sections<'a> {
    document: &'a Document,
    faults: &'a mut Faults,
}

impl Sections<'_> {
    /// Reads the section of one kind; one that is missing is read as empty.
    fn section<T>(&mut self, kind: &'static str, read: impl FnOnce(&mut Reader) -> T) -> T {
        let missing = Section::parse(kind, 1);
        let section = self.document.of_kind(kind).next().unwrap_or(&missing);
        let mut reader = Reader::new(section, self.faults);
        let value = read(&mut reader);
        reader.finish();
        value
    }

    fn seeds(&mut self) -> Vec<SocketAddr> {
        let mut seeds = Vec::new();
        for section in self.document.of_kind("seeds") {
            for entry in &section.entries {
                if let Ok(seed) = entry.value.parse() {
                    seeds.push(seed);
                } else {
                    let message = format!("'{}' found, expected {ADDRESS}", entry.value);
                    self.faults.add(section, &entry.key, message);
                }
            }
        }
        seeds
    }
}

fn address(reader: &mut Reader, key: &'static str) -> SocketAddr {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    reader.required_parsed(key, ADDRESS).unwrap_or(any)
}

fn read_listen(reader: &mut Reader) -> Listen {
    Listen {
        caller: address(reader, "caller"),
        mesh: address(reader, "mesh"),
        advertise: reader.parsed("advertise", ADDRESS),
        heartbeat: reader.parsed("heartbeat", ADDRESS),
        admin: address(reader, "admin"),
        metrics: reader.parsed("metrics", ADDRESS),
    }
}

fn read_shutdown(reader: &mut Reader) -> Shutdown {
    Shutdown {
        notice: seconds(reader, "notice_s", 2.5),
        grace: seconds(reader, "grace_s", 6.0),
    }
}

fn read_retries(reader: &mut Reader) -> Limits {
    Limits {
        ratio: fraction(reader, "ratio", 0.2),
        slack: fraction(reader, "slack", 50.0),
        window: seconds(reader, "window_s", 10.0),
    }
}

fn seconds(reader: &mut Reader, key: &'static str, default: f64) -> Duration {
    Duration::from_secs_f64(fraction(reader, key, default).min(86_400.0))
}

fn fraction(reader: &mut Reader, key: &'static str, default: f64) -> f64 {
    let value = reader.parsed::<f64>(key, "a number").unwrap_or(default);
    if !value.is_finite() || value < 0.0 {
        reader.reject(key, "must be a number from 0 on");
        return default;
    }
    value
}
