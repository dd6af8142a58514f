//! The command line, by `bpaf`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Args, Bpaf, ParseFailure};

use crate::exit;

const HELP_WIDTH: usize = 100;

/// How results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// For people.
    Text,
    /// For scripts.
    Json,
}

impl std::str::FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("expected text or json".into()),
        }
    }
}

fn format() -> impl bpaf::Parser<Format> {
    use bpaf::Parser as _;
    bpaf::long("output")
        .help("Print results as text or json")
        .argument::<Format>("FORMAT")
        .fallback(Format::Text)
}

fn platform() -> impl bpaf::Parser<SocketAddr> {
    bpaf::long("platform")
        .env("BLUEBELLGAP_PLATFORM")
        .help("Address of the platform's table service and object store")
        .argument::<SocketAddr>("ADDRESS")
}

/// The operator who acts.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Identity {
    /// Your name, as in the nodes' settings
    #[bpaf(long, env("BLUEBELLGAP_OPERATOR"), argument("NAME"))]
    pub operator: String,
    /// File with your private key, made by 'bluebellgap keygen'
    #[bpaf(long, env("BLUEBELLGAP_KEY"), argument("FILE"))]
    pub key: PathBuf,
}

/// Distributes signed configuration bundles to the proxies of a service mesh
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    options,
    version,
    footer(
        "Exit codes: 0 done; 1 failed; 2 rejected input; 3 conflict or wrong state; 4 platform unavailable"
    )
)]
pub(crate) enum Command {
    /// Run a node beside a target
    #[bpaf(command)]
    Node {
        /// INI file with the node's settings
        #[bpaf(long, argument("FILE"))]
        settings: PathBuf,
    },
    /// Run a node that takes versions, targets and other nodes from the platform
    #[bpaf(command)]
    Sidecar {
        /// INI file with the node's settings; read again when it changes
        #[bpaf(long, env("BLUEBELLGAP_NODE_FILE"), argument("FILE"))]
        settings: PathBuf,
    },
    /// Make an operator's key pair
    #[bpaf(command)]
    Keygen {
        /// File to write the private key to
        #[bpaf(long, argument("FILE"))]
        out: PathBuf,
        /// Name of the operator
        #[bpaf(positional("NAME"))]
        operator: String,
    },
    /// Work with bundles
    #[bpaf(command)]
    Bundle(#[bpaf(external(bundle_command))] BundleCommand),
    /// Work with settings
    #[bpaf(command)]
    Settings(#[bpaf(external(settings_command))] SettingsCommand),
    /// Add your signature to a version without rolling it
    #[bpaf(command)]
    Sign {
        #[bpaf(external)]
        platform: SocketAddr,
        #[bpaf(external)]
        identity: Identity,
        /// Version to sign
        #[bpaf(positional("VERSION"))]
        version: u64,
    },
    /// Sign a version, roll it, and watch it take hold
    #[bpaf(command)]
    Approve {
        #[bpaf(external)]
        platform: SocketAddr,
        #[bpaf(external)]
        identity: Identity,
        /// Return as soon as the roll has started
        #[bpaf(long)]
        no_watch: bool,
        #[bpaf(external)]
        format: Format,
        /// Version to approve
        #[bpaf(positional("VERSION"))]
        version: u64,
    },
    /// Withdraw a version before it is in force
    #[bpaf(command)]
    Stop {
        #[bpaf(external)]
        platform: SocketAddr,
        /// Your name
        #[bpaf(long, env("BLUEBELLGAP_OPERATOR"), argument("NAME"))]
        operator: String,
        /// Version to stop
        #[bpaf(positional("VERSION"))]
        version: u64,
    },
    /// Roll a new, higher version in place of whatever is rolling or in force
    #[bpaf(command)]
    Supersede {
        #[bpaf(external)]
        platform: SocketAddr,
        #[bpaf(external)]
        identity: Identity,
        #[bpaf(external)]
        content: Content,
        /// Return as soon as the roll has started
        #[bpaf(long)]
        no_watch: bool,
        #[bpaf(external)]
        format: Format,
    },
    /// Show what is in force, what is rolling, and which nodes say what
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        platform: SocketAddr,
        /// Go on showing changes until the roll has ended
        #[bpaf(long)]
        watch: bool,
        #[bpaf(external)]
        format: Format,
    },
    /// Show a whole mesh in one process, with a roll under load; ends by itself
    #[cfg(feature = "standin")]
    #[bpaf(command)]
    Demo {
        /// Seconds of load
        #[bpaf(long, argument("SECONDS"), fallback(4))]
        seconds: u64,
    },
    /// Play random faults against real node processes on loopback; fails on a broken promise
    #[cfg(feature = "standin")]
    #[bpaf(command)]
    Soak {
        /// First seed
        #[bpaf(long, argument("SEED"), fallback(1))]
        seed: u64,
        /// Number of seeds, one after the other
        #[bpaf(long, argument("COUNT"), fallback(1))]
        seeds: u64,
        /// Seconds with faults for each seed
        #[bpaf(long, argument("SECONDS"), fallback(20))]
        seconds: u64,
        /// Number of nodes
        #[bpaf(long, argument("COUNT"), fallback(6))]
        nodes: u8,
        /// Folder for settings and logs
        #[bpaf(long, argument("FOLDER"))]
        folder: PathBuf,
    },
    /// Run a stand-in for the platform or for a target
    #[cfg(feature = "standin")]
    #[bpaf(command)]
    Standin(#[bpaf(external(standin_command))] StandinCommand),
    /// Measure the system against stand-ins on loopback
    #[cfg(feature = "standin")]
    #[bpaf(command)]
    Bench(#[bpaf(external(bench_command))] BenchCommand),
}

/// Where the content of a superseding version comes from.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Content {
    /// Take the content of an earlier version
    Like {
        #[bpaf(long("like"), argument("VERSION"))]
        version: u64,
    },
    /// Take the content of a bundle file
    File {
        #[bpaf(long("file"), argument("FILE"))]
        file: PathBuf,
    },
}

/// Actions on bundles.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum BundleCommand {
    /// Check a bundle file
    #[bpaf(command)]
    Check {
        #[bpaf(external)]
        format: Format,
        /// INI file with the bundle
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Store a bundle file as a draft version
    #[bpaf(command)]
    Push {
        #[bpaf(external)]
        platform: SocketAddr,
        /// Your name
        #[bpaf(long, env("BLUEBELLGAP_OPERATOR"), argument("NAME"))]
        operator: String,
        /// Version that the bundle was made from; refused if it is not in force any more
        #[bpaf(long, argument("VERSION"), optional)]
        base: Option<u64>,
        #[bpaf(external)]
        format: Format,
        /// INI file with the bundle
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// Actions on settings.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum SettingsCommand {
    /// Check a sidecar's settings file
    #[bpaf(command)]
    CheckSidecar {
        /// INI file with the settings
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Check a settings file
    #[bpaf(command)]
    Check {
        /// INI file with the settings
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// Stand-ins.
#[cfg(feature = "standin")]
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum StandinCommand {
    /// Run a platform in memory; prints its address
    #[bpaf(command)]
    Platform {
        /// Address to listen at
        #[bpaf(long, argument("ADDRESS"), fallback(any_port()))]
        listen: SocketAddr,
    },
    /// Run a target; prints its address
    #[bpaf(command)]
    Target {
        /// Address to listen at
        #[bpaf(long, argument("ADDRESS"), fallback(any_port()))]
        listen: SocketAddr,
        /// Name that it answers with
        #[bpaf(long, argument("NAME"), fallback("target".to_owned()))]
        name: String,
        /// Requests that run at the same time
        #[bpaf(long, argument("COUNT"), fallback(12))]
        slots: u32,
        /// Run time of a request in milliseconds
        #[bpaf(long, argument("MILLISECONDS"), fallback(1))]
        service_ms: u64,
    },
}

/// Measurements.
#[cfg(feature = "standin")]
#[derive(Clone, Copy, Debug, Bpaf)]
pub(crate) enum BenchCommand {
    /// Time from approval until a version is in force on all nodes, bytes, and platform load
    #[bpaf(command)]
    Rollout,
    /// Goodput of callers that try again, at 2 and 5 times the slots' capacity
    #[bpaf(command)]
    Crest,
    /// Latency of short calls among calls that run 50 times longer
    #[bpaf(command)]
    Mixed,
    /// Latency while some targets are slowed tenfold
    #[bpaf(command)]
    Slow,
    /// Latency that the nodes add to a call
    #[bpaf(command)]
    Added,
    /// Cost of control work against the number of nodes
    #[bpaf(command)]
    Control,
}

#[cfg(feature = "standin")]
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Reads the command line; prints help, version and faults itself.
pub(crate) fn parse() -> Result<Command, ExitCode> {
    command()
        .run_inner(Args::current_args())
        .map_err(|failure| {
            failure.print_message(HELP_WIDTH);
            match failure {
                ParseFailure::Stderr(_) => ExitCode::from(exit::REJECTED),
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
            }
        })
}
