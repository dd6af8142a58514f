//! Rollout of bundles: the state stored at the platform, the operators' actions, the driver that
//! accepts a prepared version, and the distribution of bundles to the nodes.

mod agent;
mod archive;
mod cache;
mod driver;
mod fetch;
mod operator;
mod state;
mod tally;
mod tree;

#[cfg(all(test, feature = "standin"))]
mod tests;

pub(crate) use agent::{ActiveBundle, Agent, Sources};
pub(crate) use cache::{BundleCache, compress, decompress_within};
pub(crate) use driver::{Driver, report_key};
pub(crate) use fetch::{BUNDLE_PATH, Fetcher, serve_bundle};
pub use operator::{Operator, Status};
pub use state::{Action, Candidate, Head, Phase, Release, Rollout, VersionRecord};
pub use tally::{RefusedBy, Report, Tally};
pub(crate) use tree::{Span, ring_position};

/// Key of the row with the version in force and the version being prepared.
pub(crate) const ROLLOUT_KEY: &str = "rollout";
/// Prefix of the keys of the rows with one version each.
pub(crate) const BUNDLE_PREFIX: &str = "bundle/";
/// Prefix of the keys of the data centres' reports.
pub(crate) const REPORT_PREFIX: &str = "report/";

/// Key of the row of `version`, zero-padded so that keys sort by version.
pub(crate) fn bundle_key(version: crate::bundle::Version) -> String {
    format!("{BUNDLE_PREFIX}{version:020}", version = version.0)
}
