//! Configuration bundles: model, INI source format, validation, canonical encoding and signatures.

mod codec;
mod model;
mod read;
mod sign;

pub use codec::{Digest, MAX_BUNDLE_BYTES, decode, encode};
pub use model::{
    ApiKey, Bundle, Class, ClassKind, DEFAULT_ATTEMPTS, Group, Quota, RequestLimits, Route,
    Service, Tenant,
};
pub use sign::{PublicKey, Signature, Signer, Trust};

/// Version number of a bundle; each new version is higher than all before it.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    derive_more::Display,
    derive_more::From,
    derive_more::FromStr,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// The version after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
