//! Errors of the commands.

use std::fmt::Display;
use std::path::Path;

/// The reason why a command failed.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum CtlError {
    /// A file or folder can't be read, or its contents are not valid.
    #[error("{path}: {reason}")]
    File {
        /// Path of the file or folder.
        path: String,
        /// Why the file or folder was rejected.
        reason: String,
    },
    /// A request failed: the process did not answer, or answered with an error.
    #[error("{0}")]
    Request(String),
}

impl CtlError {
    /// Creates the error for a file or folder that can't be used.
    pub(crate) fn file(path: &Path, reason: impl Display) -> Self {
        CtlError::File {
            path: path.display().to_string(),
            reason: reason.to_string(),
        }
    }

    /// Creates the error for a process that did not answer, or whose answer is not valid.
    pub(crate) fn process(address: impl Display, reason: impl Display) -> Self {
        CtlError::Request(format!("{address}: {reason}"))
    }
}
