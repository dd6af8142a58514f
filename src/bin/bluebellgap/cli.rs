//! Definition of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Args, Bpaf, ParseFailure};

use crate::exit;

const HELP_WIDTH: usize = 100;

/// Format in which results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// Plain text.
    Text,
    /// One JSON document per line.
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

/// The option `--output`.
fn format() -> impl bpaf::Parser<Format> {
    use bpaf::Parser as _;
    bpaf::long("output")
        .help("Print results as text or json")
        .argument::<Format>("FORMAT")
        .fallback(Format::Text)
}

/// The option `--platform`.
fn platform() -> impl bpaf::Parser<SocketAddr> {
    bpaf::long("platform")
        .env("BLUEBELLGAP_PLATFORM")
        .help("Address of the platform's table service and object store")
        .argument::<SocketAddr>("ADDRESS")
}

/// Operator who runs the command.
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
    /// Run a node that gets versions, targets and other nodes from the platform
    #[bpaf(command)]
    Sidecar {
        /// INI file with the node's settings; read again when it changes
        #[bpaf(long, env("BLUEBELLGAP_NODE_FILE"), argument("FILE"))]
        settings: PathBuf,
    },
    /// Show where a sidecar would send a request now, without sending it
    #[bpaf(command)]
    Explain {
        /// Address of the sidecar's admin listener
        #[bpaf(long, argument("ADDRESS"))]
        node: SocketAddr,
        /// Print one JSON document
        #[bpaf(long)]
        json: bool,
        /// Header of the request, as "name: value"; may be repeated
        #[bpaf(long, argument("HEADER"))]
        header: Vec<String>,
        /// Method of the request
        #[bpaf(positional("METHOD"))]
        method: String,
        /// Host of the request
        #[bpaf(positional("HOST"))]
        host: String,
        /// Path and query of the request
        #[bpaf(positional("PATH"))]
        path: String,
    },
    /// Generate an operator's key pair
    #[bpaf(command)]
    Keygen {
        /// File to write the private key to
        #[bpaf(long, argument("FILE"))]
        out: PathBuf,
        /// Name of the operator
        #[bpaf(positional("NAME"))]
        operator: String,
    },
    /// Check and store bundles
    #[bpaf(command)]
    Bundle(#[bpaf(external(bundle_command))] BundleCommand),
    /// Check settings files
    #[bpaf(command)]
    Settings(#[bpaf(external(settings_command))] SettingsCommand),
    /// Add your signature to a version without starting its rollout
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
    /// Sign a version, start its rollout and watch its progress
    #[bpaf(command)]
    Approve {
        #[bpaf(external)]
        platform: SocketAddr,
        #[bpaf(external)]
        identity: Identity,
        /// Return as soon as the rollout has started
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
    /// Roll out a new, higher version that replaces any being rolled out or in force
    #[bpaf(command)]
    Supersede {
        #[bpaf(external)]
        platform: SocketAddr,
        #[bpaf(external)]
        identity: Identity,
        #[bpaf(external)]
        content: Content,
        /// Return as soon as the rollout has started
        #[bpaf(long)]
        no_watch: bool,
        #[bpaf(external)]
        format: Format,
    },
    /// Show the version in force, any rollout in progress, and the nodes of each data centre
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        platform: SocketAddr,
        /// Keep showing changes until the rollout has ended
        #[bpaf(long)]
        watch: bool,
        #[bpaf(external)]
        format: Format,
    },
    /// Run a mesh in one process and roll out versions under load; exits when done
    #[cfg(feature = "standin")]
    #[bpaf(command)]
    Demo {
        /// Duration of the load in seconds
        #[bpaf(long, argument("SECONDS"), fallback(4))]
        seconds: u64,
    },
    /// Inject random faults into node processes on loopback; fails if a guarantee is violated
    #[cfg(feature = "standin")]
    #[bpaf(command)]
    Soak {
        /// First seed
        #[bpaf(long, argument("SEED"), fallback(1))]
        seed: u64,
        /// Number of consecutive seeds to run
        #[bpaf(long, argument("COUNT"), fallback(1))]
        seeds: u64,
        /// Duration of fault injection per seed, in seconds
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

/// Source of the superseding version's content.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Content {
    /// Use the content of an earlier version
    Like {
        #[bpaf(long("like"), argument("VERSION"))]
        version: u64,
    },
    /// Use the content of a bundle file
    File {
        #[bpaf(long("file"), argument("FILE"))]
        file: PathBuf,
    },
}

/// Commands on bundles.
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
        /// Version that the bundle is based on; the push is refused if it is no longer in force
        #[bpaf(long, argument("VERSION"), optional)]
        base: Option<u64>,
        #[bpaf(external)]
        format: Format,
        /// INI file with the bundle
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// Commands on settings files.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum SettingsCommand {
    /// Check a sidecar's settings file
    #[bpaf(command)]
    CheckSidecar {
        /// INI file with the settings
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Check a node's settings file
    #[bpaf(command)]
    Check {
        /// INI file with the settings
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// Stand-ins for the environment of a node.
#[cfg(feature = "standin")]
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum StandinCommand {
    /// Run a platform in memory; prints its address
    #[bpaf(command)]
    Platform {
        /// Address to listen on
        #[bpaf(long, argument("ADDRESS"), fallback(any_port()))]
        listen: SocketAddr,
    },
    /// Run a target; prints its address
    #[bpaf(command)]
    Target {
        /// Address to listen on
        #[bpaf(long, argument("ADDRESS"), fallback(any_port()))]
        listen: SocketAddr,
        /// Name that its responses contain
        #[bpaf(long, argument("NAME"), fallback("target".to_owned()))]
        name: String,
        /// Number of requests that it processes concurrently
        #[bpaf(long, argument("COUNT"), fallback(12))]
        slots: u32,
        /// Processing time of a request in milliseconds
        #[bpaf(long, argument("MILLISECONDS"), fallback(1))]
        service_ms: u64,
    },
}

/// Benchmarks.
#[cfg(feature = "standin")]
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum BenchCommand {
    /// Time from approval until a version is in force on all nodes, bytes sent, and platform load
    #[bpaf(command)]
    Rollout,
    /// Goodput at 2 and 5 times the slots' capacity, with callers that retry
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
    /// Cost of the control plane by number of nodes
    #[bpaf(command)]
    Control,
    /// Load patterns replayed in virtual time through the decisions under overload
    #[bpaf(command)]
    Patterns {
        /// Seed of arrivals and run times
        #[bpaf(long, argument("NUMBER"), fallback(18))]
        seed: u64,
        /// SVG file for the latencies of requests of different cost, by rule of placement
        #[bpaf(long, argument("FILE"))]
        plot: Option<std::path::PathBuf>,
    },
}

#[cfg(feature = "standin")]
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Parses the command line. Help, version and usage errors are printed here; the error is then the
/// exit code of the process.
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
