//! Validated names of teams, services, tasks, workers, racks and zones.

use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Longest accepted name, in bytes.
pub(super) const MAX_NAME_BYTES: usize = 63;

/// Error for a text that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display(
    "{text:?} is not a name: expected 1 to {MAX_NAME_BYTES} of a-z, 0-9, '-', '_' and '.', \
     starting with a letter or digit"
)]
pub struct InvalidName {
    text: String,
}

fn validate(text: &str) -> Result<(), InvalidName> {
    let valid = !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && text.starts_with(|c: char| c.is_ascii_lowercase() || c.is_ascii_digit())
        && text.chars().all(is_name_char);
    if valid {
        return Ok(());
    }
    let text = text.chars().take(MAX_NAME_BYTES + 1).collect();
    Err(InvalidName { text })
}

fn is_name_char(c: char) -> bool {
    c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '_' | '.')
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates `text` and creates a name from it.
            ///
            /// # Errors
            ///
            /// Returns [`InvalidName`] when `text` is empty or too long, contains
            /// a character other than lower-case letters, digits, `-`, `_` and `.`, or does not
            /// start with a letter or digit.
            pub fn new(text: &str) -> Result<Self, InvalidName> {
                validate(text)?;
                Ok(Self(text.into()))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidName;

            fn try_from(text: String) -> Result<Self, InvalidName> {
                Self::new(&text)
            }
        }

        impl std::str::FromStr for $name {
            type Err = InvalidName;

            fn from_str(text: &str) -> Result<Self, InvalidName> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name!(
    /// Name of a team, which owns services, tasks and quotas.
    TeamName
);
name!(
    /// Name of a latency-critical service within its team.
    ServiceName
);
name!(
    /// Name of a batch task within its team.
    TaskName
);
name!(
    /// Name of a node: an entry VM or a worker.
    NodeName
);
name!(
    /// Name of a rack within its availability zone.
    RackName
);
name!(
    /// Name of an availability zone.
    ZoneName
);
