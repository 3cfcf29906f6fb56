//! Secrets from files, caller keys and their digests.

use std::fmt;
use std::fs;
use std::path::Path;

use sha2::Digest;
use sha2::Sha256;
use smol_str::SmolStr;
use subtle::ConstantTimeEq;

use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::id::KeyId;

/// Shortest secret that is accepted from a file, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;
/// Prefix of a caller key.
pub const KEY_PREFIX: &str = "zk.";
/// Random bytes of a new key or secret.
const RANDOM_BYTES: usize = 24;

/// A shared secret; its `Debug` form hides the value, so that it cannot reach a log.
#[derive(Clone)]
pub struct Secret(SmolStr);

impl Secret {
    /// Reads the secret from a file; leading and trailing white space is not part of it.
    ///
    /// # Errors
    /// `Settings` if the file cannot be read or holds fewer than [`MIN_SECRET_BYTES`].
    pub fn open(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path)
            .map_err(|e| Error::new(Code::Settings, format!("secret file {}: {e}", path.display())))?;
        let text = text.trim();
        if text.len() < MIN_SECRET_BYTES {
            let detail = format!(
                "secret file {}: fewer than {MIN_SECRET_BYTES} characters",
                path.display()
            );
            return Err(Error::new(Code::Settings, detail));
        }
        Ok(Self(text.into()))
    }

    /// A secret from text.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Whether the value of an `authorization` header carries this secret; compares in constant time.
    pub fn admits(&self, header: Option<&str>) -> bool {
        let Some(given) = header.and_then(|h| h.strip_prefix("Bearer ")) else {
            return false;
        };
        // All digests have the same length, so the comparison does not leak the length of the secret.
        digests_match(&digest(given), &digest(&self.0))
    }

    /// The value of the `authorization` header that carries this secret.
    pub fn header(&self) -> String {
        format!("Bearer {}", self.0)
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

/// SHA-256 of a key or join secret, in lower-case hexadecimal.
pub fn digest(text: &str) -> SmolStr {
    hex::encode(Sha256::digest(text.as_bytes())).into()
}

/// Compares two digests in constant time.
pub fn digests_match(a: &str, b: &str) -> bool {
    a.as_bytes().ct_eq(b.as_bytes()).into()
}

/// A new random key `zk.ID.SECRET`.
///
/// # Errors
/// `Io` if the operating system provides no random bytes.
pub fn new_key(id: &KeyId) -> Result<String> {
    Ok(format!("{KEY_PREFIX}{id}.{}", new_secret()?))
}

/// A new random secret in hexadecimal.
///
/// # Errors
/// `Io` if the operating system provides no random bytes.
pub fn new_secret() -> Result<String> {
    let mut bytes = [0; RANDOM_BYTES];
    getrandom::fill(&mut bytes).map_err(|e| Error::new(Code::Io, format!("random bytes: {e}")))?;
    Ok(hex::encode(bytes))
}
