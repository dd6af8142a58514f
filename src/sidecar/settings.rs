//! Settings of a sidecar node, read from an INI file and checked as a whole.

use std::net::SocketAddr;
use std::time::Duration;

use crate::canary;
use crate::error::Result;
use crate::forward::Limits;
use crate::ini::{Document, Faults, Reader, Section};
use crate::quota;
use crate::resources::Resources;

const SECTION_KINDS: [&str; 11] = [
    "node",
    "listen",
    "platform",
    "target",
    "seeds",
    "shutdown",
    "retries",
    "placement",
    "quotas",
    "rollouts",
    "limits",
];
/// Shortest window of quotas.
const MIN_QUOTA_WINDOW: Duration = Duration::from_secs(1);
const ADDRESS: &str = "an IP address and port, such as 10.0.0.1:7100";

/// Settings of a sidecar node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the node, unique in the mesh.
    pub node: String,
    /// Region of the node.
    pub region: String,
    /// Data centre of the node.
    pub data_center: String,
    /// Service to which the callers on this VM belong.
    pub service: String,
    /// Addresses of the listeners.
    pub listen: Listen,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Address of the target beside the node.
    pub target: SocketAddr,
    /// Heartbeat addresses of nodes to query while few nodes are known and the store is unreachable
    /// or has not delivered a version in time. Links to them use their IP addresses with the port
    /// that this node announces for its own links.
    pub seeds: Vec<SocketAddr>,
    /// Timing of the shutdown.
    pub shutdown: Shutdown,
    /// Limits on the retries that all nodes together may add to a service's requests.
    pub(crate) retries: Limits,
    /// How targets are chosen.
    pub placement: Placement,
    /// How far the requests of a tenant may exceed its quota, over all nodes.
    pub(crate) quotas: quota::Limits,
    /// Bounds on canary releases; this node drives none if absent.
    pub(crate) rollouts: Option<canary::Limits>,
    /// Memory and descriptors that the node may use.
    pub limits: Resources,
}

/// Addresses of the listeners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Listener for requests of the callers and of the target on this VM.
    pub caller: SocketAddr,
    /// Listener for links from other nodes.
    pub mesh: SocketAddr,
    /// Address announced to other nodes for links; `mesh` if absent.
    pub advertise: Option<SocketAddr>,
    /// Listener for heartbeats of the target; none if absent.
    pub heartbeat: Option<SocketAddr>,
    /// Listener for readiness, status and metrics.
    pub admin: SocketAddr,
    /// Further listener for the same paths as `admin`, for collecting metrics; none if absent.
    pub metrics: Option<SocketAddr>,
}

/// Timing of a node's shutdown after SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// Time for callers to notice that the node is not ready, before it stops accepting requests
    /// for the target.
    pub notice: Duration,
    /// Time after SIGTERM at which the process is killed; the node exits by itself before that.
    pub grace: Duration,
}

/// How targets are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Placement {
    /// Whether the expected run times of single requests are estimated, and requests are placed,
    /// ordered and refused by them.
    pub cost: bool,
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
        let mut sections = SectionReader {
            document: &document,
            faults: &mut faults,
        };
        let (node, region, data_center, service) = sections.section("node", |reader| {
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
            listen: sections.section("listen", read_listen),
            platform: sections.section("platform", |reader| address(reader, "address")),
            target: sections.section("target", |reader| address(reader, "address")),
            seeds: sections.seeds(),
            shutdown: sections.section("shutdown", read_shutdown),
            retries: sections.section("retries", read_retries),
            placement: sections.section("placement", read_placement),
            quotas: sections.section("quotas", read_quotas),
            rollouts: sections.rollouts(),
            limits: sections.section("limits", Resources::read),
        };
        faults.into_result(|| settings)
    }
}

/// Reads the sections of a settings file and collects their faults.
struct SectionReader<'a> {
    document: &'a Document,
    faults: &'a mut Faults,
}

impl SectionReader<'_> {
    /// Reads the section of one kind; a missing section is read as an empty one.
    fn section<T>(&mut self, kind: &'static str, read: impl FnOnce(&mut Reader) -> T) -> T {
        let missing = Section::parse(kind, 1);
        let section = self.document.of_kind(kind).next().unwrap_or(&missing);
        let mut reader = Reader::new(section, self.faults);
        let value = read(&mut reader);
        reader.finish();
        value
    }

    /// Reads the bounds on canary releases; `None` without such a section.
    fn rollouts(&mut self) -> Option<canary::Limits> {
        self.document.of_kind("rollouts").next()?;
        Some(self.section("rollouts", read_rollouts))
    }

    /// Reads one address from each value of the `seeds` sections.
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

/// Reads a required address. A missing or invalid one is reported as a fault, which rejects the
/// settings, so the placeholder is never used.
fn address(reader: &mut Reader, key: &'static str) -> SocketAddr {
    let placeholder = SocketAddr::from(([127, 0, 0, 1], 0));
    reader.required_parsed(key, ADDRESS).unwrap_or(placeholder)
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
        ratio: non_negative(reader, "ratio", 0.2),
        slack: non_negative(reader, "slack", 50.0),
        window: seconds(reader, "window_s", 10.0),
    }
}

fn read_placement(reader: &mut Reader) -> Placement {
    let cost = reader.text("cost").unwrap_or_else(|| "off".to_owned());
    if cost != "on" && cost != "off" {
        reader.reject("cost", "must be 'on' or 'off'");
    }
    Placement { cost: cost == "on" }
}

/// The window is at least a second, since reports need half a second to reach all nodes.
fn read_quotas(reader: &mut Reader) -> quota::Limits {
    let window = seconds(reader, "window_s", 5.0);
    if window < MIN_QUOTA_WINDOW {
        reader.reject("window_s", "must be a number of seconds from 1 on");
    }
    quota::Limits {
        window: window.max(MIN_QUOTA_WINDOW),
        over: non_negative(reader, "over", 0.1),
        slack: non_negative(reader, "slack", 20.0),
    }
}

fn read_rollouts(reader: &mut Reader) -> canary::Limits {
    let default = canary::Limits::default();
    let share = non_negative(reader, "canary_share", default.share);
    if share <= 0.0 || share > 1.0 {
        reader.reject("canary_share", "must be above 0 and at most 1");
    }
    let rollback = seconds(reader, "rollback_s", default.rollback.as_secs_f64());
    if rollback.is_zero() {
        reader.reject("rollback_s", "must be above 0");
    }
    canary::Limits {
        share,
        slack: non_negative(reader, "canary_slack", default.slack),
        rollback,
    }
}

/// Reads a duration in seconds; a value above one day is read as one day.
fn seconds(reader: &mut Reader, key: &'static str, default: f64) -> Duration {
    Duration::from_secs_f64(non_negative(reader, key, default).min(86_400.0))
}

/// Reads a finite number from 0 on.
fn non_negative(reader: &mut Reader, key: &'static str, default: f64) -> f64 {
    let value = reader.parsed::<f64>(key, "a number").unwrap_or(default);
    if !value.is_finite() || value < 0.0 {
        reader.reject(key, "must be a number from 0 on");
        return default;
    }
    value
}
