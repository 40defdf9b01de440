//! Why a change of the configuration is rejected.

/// The first thing that is wrong with a change, or with the configuration that it would bring about.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidConfig {
    /// The body of a call can't be read.
    #[error("{0}")]
    Malformed(String),
    /// An item, by its name, has a field that is missing or wrong, or clashes with another item.
    #[error("{name}: {reason}")]
    Item {
        /// The item's name.
        name: String,
        /// The field and what is wrong with it.
        reason: String,
    },
}

impl InvalidConfig {
    pub(super) fn malformed(reason: impl Into<String>) -> Self {
        InvalidConfig::Malformed(reason.into())
    }

    /// An item that is wrong as a whole, or beside others.
    pub fn item(name: &str, reason: impl Into<String>) -> Self {
        InvalidConfig::Item {
            name: name.into(),
            reason: reason.into(),
        }
    }
}
