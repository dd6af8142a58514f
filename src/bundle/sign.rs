//! Operators' ed25519 signatures, which bind a version number to a bundle's digest.

use std::collections::BTreeMap;

use ed25519_dalek::{Signer as _, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};

use crate::bundle::{Digest, Version};
use crate::error::{Error, Result};

/// An operator's public key.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("{}", hex::encode(_0.as_bytes()))]
pub struct PublicKey(VerifyingKey);

impl PublicKey {
    /// Reads a public key from 64 hex digits.
    ///
    /// # Errors
    /// [`Error::Signature`] if `text` is not a valid ed25519 public key.
    pub fn parse(text: &str) -> Result<Self> {
        let bytes = decode_hex(text, "public key")?;
        VerifyingKey::from_bytes(&bytes)
            .map(Self)
            .map_err(|_| Error::Signature("not a valid ed25519 public key".into()))
    }
}

/// One operator's signature over a version and digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signature {
    /// Name of the operator, as in the nodes' settings.
    pub operator: String,
    /// The 64 bytes of the signature, in hex.
    pub hex: String,
}

/// An operator's private key, used to sign versions.
///
/// ```
/// use bluebellgap::bundle::{Digest, Signer, Trust, Version};
/// let signer = Signer::generate("alice");
/// let digest = Digest::of(b"bundle");
/// let signature = signer.sign(Version(3), digest);
/// let trust = Trust::new(1).with("alice", signer.public_key());
/// assert!(trust.verify(Version(3), digest, &[signature.clone()]).is_ok());
/// assert!(trust.verify(Version(4), digest, &[signature]).is_err());
/// ```
pub struct Signer {
    operator: String,
    key: SigningKey,
}

impl Signer {
    /// Creates a signer with a new random key.
    #[must_use]
    pub fn generate(operator: &str) -> Self {
        Self {
            operator: operator.to_owned(),
            key: SigningKey::from_bytes(&rand::random()),
        }
    }

    /// Creates a signer from a private key of 64 hex digits.
    ///
    /// # Errors
    /// [`Error::Signature`] if `text` is not 64 hex digits.
    pub fn parse(operator: &str, text: &str) -> Result<Self> {
        let key = SigningKey::from_bytes(&decode_hex(text.trim(), "private key")?);
        Ok(Self {
            operator: operator.to_owned(),
            key,
        })
    }

    /// The private key as 64 hex digits.
    #[must_use]
    pub fn private_key_hex(&self) -> String {
        hex::encode(self.key.to_bytes())
    }

    /// Name of the operator.
    #[must_use]
    pub fn operator(&self) -> &str {
        &self.operator
    }

    /// The public key.
    #[must_use]
    pub fn public_key(&self) -> PublicKey {
        PublicKey(self.key.verifying_key())
    }

    /// Signs `version` and `digest`.
    #[must_use]
    pub fn sign(&self, version: Version, digest: Digest) -> Signature {
        let signature = self.key.sign(&signed_message(version, digest));
        Signature {
            operator: self.operator.clone(),
            hex: hex::encode(signature.to_bytes()),
        }
    }
}

/// The operators whose signatures a node trusts, and how many of them must sign a version.
#[derive(Clone, Debug, Default)]
pub struct Trust {
    required_signatures: usize,
    keys: BTreeMap<String, PublicKey>,
}

impl Trust {
    /// Trusts no operator yet; a version needs `required_signatures`, but at least one.
    #[must_use]
    pub fn new(required_signatures: usize) -> Self {
        Self {
            required_signatures,
            keys: BTreeMap::new(),
        }
    }

    /// Adds `operator` with its public key.
    #[must_use]
    pub fn with(mut self, operator: &str, key: PublicKey) -> Self {
        self.keys.insert(operator.to_owned(), key);
        self
    }

    /// Number of trusted operators.
    #[must_use]
    pub fn operator_count(&self) -> usize {
        self.keys.len()
    }

    /// Checks that enough different trusted operators signed `version` and `digest`.
    ///
    /// # Errors
    /// [`Error::Signature`] names the operator whose signature fails, or how many signatures are
    /// missing.
    pub fn verify(&self, version: Version, digest: Digest, signatures: &[Signature]) -> Result<()> {
        let message = signed_message(version, digest);
        let mut operators = Vec::new();
        for signature in signatures {
            self.verify_signature(&message, signature)?;
            if !operators.contains(&&signature.operator) {
                operators.push(&signature.operator);
            }
        }
        if operators.len() < self.required_signatures.max(1) {
            return Err(Error::Signature(format!(
                "{} signatures by trusted operators, {} required",
                operators.len(),
                self.required_signatures.max(1)
            )));
        }
        Ok(())
    }

    fn verify_signature(&self, message: &[u8], signature: &Signature) -> Result<()> {
        let operator = &signature.operator;
        let Some(key) = self.keys.get(operator) else {
            return Err(Error::Signature(format!("operator {operator} is unknown")));
        };
        let mut bytes = [0; 64];
        hex::decode_to_slice(&signature.hex, &mut bytes)
            .map_err(|_| Error::Signature(format!("signature of {operator} is not hex")))?;
        let signature = ed25519_dalek::Signature::from_bytes(&bytes);
        key.0
            .verify_strict(message, &signature)
            .map_err(|_| Error::Signature(format!("signature of {operator} does not verify")))
    }
}

/// Text that a signature covers.
fn signed_message(version: Version, digest: Digest) -> Vec<u8> {
    format!("bluebellgap bundle\nversion {version}\ndigest {digest}\n").into_bytes()
}

fn decode_hex(text: &str, what: &str) -> Result<[u8; 32]> {
    let mut bytes = [0; 32];
    hex::decode_to_slice(text, &mut bytes)
        .map_err(|_| Error::Signature(format!("{what} must be 64 hex digits")))?;
    Ok(bytes)
}
