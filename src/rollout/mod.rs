//! Rollout of bundles: the state in the platform, operators' actions, the driver that accepts a
//! prepared version, and dissemination to the nodes.

mod agent;
mod archive;
mod driver;
mod fetch;
mod operator;
mod shelf;
mod state;
mod tally;
mod tree;

#[cfg(all(test, feature = "standin"))]
mod tests;

pub(crate) use agent::{ActiveBundle, Agent, Sources};
pub(crate) use driver::{Driver, report_key};
pub(crate) use fetch::{BUNDLE_PATH, Fetcher, serve_bundle};
pub use operator::{Operator, Status};
pub(crate) use shelf::{BundleCache, compress, decompress_within};
pub use state::{Action, Candidate, Draft, Head, Phase, Release, Rollout};
pub use tally::{RefusedBy, Report, Tally};
pub(crate) use tree::{Span, ring_position};

/// Key of the row that says what is in force and what is being prepared.
pub(crate) const ROLLOUT_KEY: &str = "rollout";
/// Key prefix of the rows of single versions.
pub(crate) const BUNDLE_PREFIX: &str = "bundle/";
/// Key prefix of the data centres' reports.
pub(crate) const REPORT_PREFIX: &str = "report/";

pub(crate) fn bundle_key(version: crate::bundle::Version) -> String {
    format!("{BUNDLE_PREFIX}{version:020}", version = version.0)
}
