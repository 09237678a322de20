//! Access control for reading and changing settings.

use http::{HeaderMap, header};
use parsleytally::configs::TokenHash;
use parsleytally::settings::{SettingPath, View};
use subtle::{Choice, ConstantTimeEq};

/// Prefix of an `Authorization` header that carries a bearer token.
const BEARER_PREFIX: &str = "Bearer ";

/// Why access was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Denied {
    /// The request has no bearer token.
    Missing,
    /// The token does not grant access to the path.
    Wrong,
}

/// Checks bearer tokens against the hashes of accepted tokens.
#[derive(Debug, Clone)]
pub(crate) struct Access {
    /// Hash of the administrator's token, which grants access to all settings; without it
    /// no token is required.
    pub(crate) admin: Option<TokenHash>,
}

impl Access {
    /// Whether anyone may read and change all settings.
    pub(crate) fn is_open(&self) -> bool {
        self.admin.is_none()
    }

    /// Checks whether the request may read or change `path`.
    ///
    /// A team's token grants access to the team's own subtree, except to its tokens.
    pub(crate) fn check(
        &self,
        headers: &HeaderMap,
        path: &SettingPath,
        view: &View,
    ) -> Result<(), Denied> {
        let Some(admin) = &self.admin else {
            return Ok(());
        };
        let token = bearer_token(headers).ok_or(Denied::Missing)?;
        let hash = blake3::hash(token.as_bytes());
        let team = path
            .team()
            .filter(|_| !matches!(path, SettingPath::Token(_)));
        let tokens = team.and_then(|team| view.tokens.get(team));
        let accepted = tokens.into_iter().flat_map(|tokens| tokens.hashes());
        let matches = accepted
            .chain([admin])
            .fold(Choice::from(0), |matches, accepted_hash| {
                matches | accepted_hash.0.ct_eq(hash.as_bytes())
            });
        if bool::from(matches) {
            return Ok(());
        }
        Err(Denied::Wrong)
    }
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix(BEARER_PREFIX)
}

#[cfg(test)]
mod tests;
