//! Who may read and change settings.

use http::{HeaderMap, header};
use parsleytally::configs::TokenHash;
use parsleytally::settings::{SettingPath, View};
use subtle::{Choice, ConstantTimeEq};

/// Start of the header that carries a bearer token.
const SCHEME: &str = "Bearer ";

/// Why access was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Denied {
    /// No token was given.
    Missing,
    /// The token is not one of the path's team.
    Wrong,
}

/// Checks bearer tokens against hashes.
#[derive(Debug, Clone)]
pub(crate) struct Access {
    /// Hash of the token that may change all settings; without it everyone may.
    pub(crate) admin: Option<TokenHash>,
}

impl Access {
    /// Whether settings are open to everyone.
    pub(crate) fn is_open(&self) -> bool {
        self.admin.is_none()
    }

    /// Checks that the request may touch `path`.
    ///
    /// A team's token reaches its own subtree except for the tokens themselves.
    pub(crate) fn check(
        &self,
        headers: &HeaderMap,
        path: &SettingPath,
        view: &View,
    ) -> Result<(), Denied> {
        let Some(admin) = &self.admin else {
            return Ok(());
        };
        let token = bearer(headers).ok_or(Denied::Missing)?;
        let hash = blake3::hash(token.as_bytes());
        let team = path
            .team()
            .filter(|_| !matches!(path, SettingPath::Token(_)));
        let tokens = team.and_then(|team| view.tokens.get(team));
        let accepted = tokens.into_iter().flat_map(|tokens| tokens.hashes());
        let matches = accepted
            .chain([admin])
            .fold(Choice::from(0), |matches, known| {
                matches | known.0.ct_eq(hash.as_bytes())
            });
        if bool::from(matches) {
            return Ok(());
        }
        Err(Denied::Wrong)
    }
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix(SCHEME)
}

#[cfg(test)]
mod tests;
