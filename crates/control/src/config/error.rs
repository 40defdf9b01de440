//! The reasons for rejecting a configuration change.

/// The first error found in a change, or in the configuration that results from it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidConfig {
    /// The body of a call cannot be parsed.
    #[error("{0}")]
    Malformed(String),
    /// An item has a missing or invalid field, or conflicts with another item.
    #[error("{name}: {reason}")]
    Item {
        /// The name of the item.
        name: String,
        /// The field and its error, or the conflict with the other item.
        reason: String,
    },
}

impl InvalidConfig {
    pub(super) fn malformed(reason: impl Into<String>) -> Self {
        InvalidConfig::Malformed(reason.into())
    }

    /// Returns the error for the item of this name.
    pub fn item(name: &str, reason: impl Into<String>) -> Self {
        InvalidConfig::Item {
            name: name.into(),
            reason: reason.into(),
        }
    }
}
