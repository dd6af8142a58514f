//! Operators' ed25519 signatures over a version and a digest.

use std::collections::BTreeMap;

use ed25519_dalek::{Signer as _, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};

use crate::bundle::{Digest, Version};
use crate::error::{Error, Result};

/// An operator's public key.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("{}", hex::encode(_0.as_bytes()))]
pub struct Key(VerifyingKey);

impl Key {
    /// Reads a public key from 64 hex digits.
    ///
    /// # Errors
    /// [`Error::Signature`] if the text is not a valid key.
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
    /// 64 bytes in hex.
    pub hex: String,
}

/// An operator with a private key.
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
    /// A signer with a new random key.
    #[must_use]
    pub fn generate(operator: &str) -> Self {
        Self {
            operator: operator.to_owned(),
            key: SigningKey::from_bytes(&rand::random()),
        }
    }

    /// A signer whose private key is given as 64 hex digits.
    ///
    /// # Errors
    /// [`Error::Signature`] if the text is not 64 hex digits.
    pub fn parse(operator: &str, text: &str) -> Result<Self> {
        let key = SigningKey::from_bytes(&decode_hex(text.trim(), "private key")?);
        Ok(Self {
            operator: operator.to_owned(),
            key,
        })
    }

    /// The private key as 64 hex digits.
    #[must_use]
    pub fn secret_hex(&self) -> String {
        hex::encode(self.key.to_bytes())
    }

    /// Name of the operator.
    #[must_use]
    pub fn operator(&self) -> &str {
        &self.operator
    }

    /// The public key.
    #[must_use]
    pub fn public_key(&self) -> Key {
        Key(self.key.verifying_key())
    }

    /// Signs `version` and `digest`.
    #[must_use]
    pub fn sign(&self, version: Version, digest: Digest) -> Signature {
        let signature = self.key.sign(&message(version, digest));
        Signature {
            operator: self.operator.clone(),
            hex: hex::encode(signature.to_bytes()),
        }
    }
}

/// The operators that a node trusts, and how many of them must have signed.
#[derive(Clone, Debug, Default)]
pub struct Trust {
    required: usize,
    keys: BTreeMap<String, Key>,
}

impl Trust {
    /// Trusts nobody yet; `required` signatures are needed.
    #[must_use]
    pub fn new(required: usize) -> Self {
        Self {
            required,
            keys: BTreeMap::new(),
        }
    }

    /// Trusts `operator` with `key` as well.
    #[must_use]
    pub fn with(mut self, operator: &str, key: Key) -> Self {
        self.keys.insert(operator.to_owned(), key);
        self
    }

    /// Number of trusted operators.
    #[must_use]
    pub fn operators(&self) -> usize {
        self.keys.len()
    }

    /// Checks that enough different trusted operators signed `version` and `digest`.
    ///
    /// # Errors
    /// [`Error::Signature`] names the signature that fails, or how many are missing.
    pub fn verify(&self, version: Version, digest: Digest, signatures: &[Signature]) -> Result<()> {
        let message = message(version, digest);
        let mut signers = Vec::new();
        for signature in signatures {
            self.verify_one(&message, signature)?;
            if !signers.contains(&&signature.operator) {
                signers.push(&signature.operator);
            }
        }
        if signers.len() < self.required.max(1) {
            return Err(Error::Signature(format!(
                "{} signatures by trusted operators, {} required",
                signers.len(),
                self.required.max(1)
            )));
        }
        Ok(())
    }

    fn verify_one(&self, message: &[u8], signature: &Signature) -> Result<()> {
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

fn message(version: Version, digest: Digest) -> Vec<u8> {
    format!("bluebellgap bundle\nversion {version}\ndigest {digest}\n").into_bytes()
}

fn decode_hex(text: &str, what: &str) -> Result<[u8; 32]> {
    let mut bytes = [0; 32];
    hex::decode_to_slice(text, &mut bytes)
        .map_err(|_| Error::Signature(format!("{what} must be 64 hex digits")))?;
    Ok(bytes)
}
