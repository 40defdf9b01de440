//! Why a command failed.

use std::fmt::Display;
use std::path::Path;

/// Why a command failed.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum CtlError {
    /// A file or folder can't be used.
    #[error("{path}: {reason}")]
    File {
        /// The file or folder.
        path: String,
        /// What is wrong.
        reason: String,
    },
    /// What was asked for can't be had: no answer, or one that says so.
    #[error("{0}")]
    Request(String),
}

impl CtlError {
    /// A file or folder can't be used.
    pub(crate) fn file(path: &Path, reason: impl Display) -> Self {
        CtlError::File {
            path: path.display().to_string(),
            reason: reason.to_string(),
        }
    }

    /// A process does not answer as it should.
    pub(crate) fn process(address: impl Display, reason: impl Display) -> Self {
        CtlError::Request(format!("{address}: {reason}"))
    }
}
