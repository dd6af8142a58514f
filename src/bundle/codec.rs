//! Canonical encoding of bundles, and the digest that identifies a bundle.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::bundle::Bundle;
use crate::error::{Error, Result};

/// Largest accepted canonical encoding of a bundle.
pub const MAX_BUNDLE_BYTES: usize = 4 * 1024 * 1024;

/// SHA-256 of a bundle's canonical encoding.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of `bytes`.
    ///
    /// ```
    /// use bluebellgap::bundle::Digest;
    /// let digest = Digest::of(b"");
    /// assert!(digest.to_string().starts_with("e3b0c442"));
    /// assert_eq!(digest.to_string().parse::<Digest>().unwrap(), digest);
    /// ```
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(&self.0[..6]))
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes)
            .map_err(|_| Error::Bundle(format!("'{text}' is not a digest of 64 hex digits")))?;
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Digest {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

/// Encodes `bundle` canonically, so that equal bundles have equal digests: JSON without whitespace,
/// struct fields in the order of their declaration, map keys sorted.
///
/// # Errors
/// [`Error::Bundle`] if the encoding exceeds [`MAX_BUNDLE_BYTES`].
pub fn encode(bundle: &Bundle) -> Result<Vec<u8>> {
    let bytes = serde_json::to_vec(bundle).map_err(|error| Error::Bundle(error.to_string()))?;
    check_size(bytes.len())?;
    Ok(bytes)
}

/// Decodes a bundle from its canonical encoding, after checking it against `digest`. Any fault
/// rejects the bundle as a whole.
///
/// # Errors
/// [`Error::Bundle`] if `bytes` are too large, altered, truncated or not canonical, or if the
/// bundle has undefined references or invalid paths or timeouts.
pub fn decode(bytes: &[u8], digest: Digest) -> Result<Bundle> {
    check_size(bytes.len())?;
    let found = Digest::of(bytes);
    if found != digest {
        return Err(Error::Bundle(format!(
            "digest is {found}, expected {digest}"
        )));
    }
    let bundle: Bundle =
        serde_json::from_slice(bytes).map_err(|error| Error::Bundle(error.to_string()))?;
    bundle.validate().map_err(Error::Bundle)?;
    if encode(&bundle)? != bytes {
        return Err(Error::Bundle("bytes are not canonical".into()));
    }
    Ok(bundle)
}

fn check_size(size: usize) -> Result<()> {
    if size > MAX_BUNDLE_BYTES {
        return Err(Error::Bundle(format!(
            "{size} bytes, at most {MAX_BUNDLE_BYTES} are accepted"
        )));
    }
    Ok(())
}
