//! The error type of the library.

use std::io;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use crate::code::Code;

/// Result of the library's functions.
pub type Result<T> = std::result::Result<T, Error>;

/// A numbered code with a description of the failure.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{code} ({}): {detail}", code.number())]
pub struct Error {
    /// The numbered code.
    #[error(not(source))]
    pub code: Code,
    /// What failed, without any key or secret.
    #[error(not(source))]
    pub detail: String,
    /// Delay before a retry, where it is known better than by the code.
    #[error(not(source))]
    pub delay: Option<Duration>,
}

impl Error {
    /// An error with its detail.
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
            delay: None,
        }
    }

    /// The same error with the delay before a retry.
    pub fn retry_after(self, delay: Duration) -> Self {
        let delay = Some(delay);
        Self { delay, ..self }
    }

    /// An input or output error of a target, such as a file or an address.
    pub fn io(target: impl std::fmt::Display, error: &io::Error) -> Self {
        Self::new(Code::Io, format!("{target}: {error}"))
    }
}

impl From<Code> for Error {
    fn from(code: Code) -> Self {
        Self::new(code, code.text())
    }
}
