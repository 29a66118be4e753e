//! Names of fleets, members and scopes.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest name: a label of a host name (RFC 1035, section 2.3.4).
pub const MAX_NAME_BYTES: usize = 63;

/// A name of 1 to 63 lower-case letters, digits, `-`, `_` and `.`, the first a letter or digit.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Box<str>);

/// A text that is not a valid name.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error(
    "{0:?} is not a valid name: 1 to {MAX_NAME_BYTES} of a-z, 0-9, '-', '_' and '.', the first a letter or digit"
)]
pub struct BadName(String);

impl Name {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for Name {
    type Error = BadName;

    fn try_from(text: String) -> Result<Name, BadName> {
        let is_alphanumeric = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit();
        let all_allowed = text.bytes().all(|c| is_alphanumeric(c) || b"-_.".contains(&c));
        if (1..=MAX_NAME_BYTES).contains(&text.len()) && all_allowed && is_alphanumeric(text.as_bytes()[0]) {
            Ok(Name(text.into()))
        } else {
            Err(BadName(text.chars().take(MAX_NAME_BYTES + 1).collect()))
        }
    }
}

impl std::str::FromStr for Name {
    type Err = BadName;

    fn from_str(text: &str) -> Result<Name, BadName> {
        Name::try_from(text.to_owned())
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0.into()
    }
}

impl fmt::Display for Name {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(&self.0)
    }
}
