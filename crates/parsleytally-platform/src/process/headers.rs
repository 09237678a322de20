//! Headers that go from end to end, after RFC 9110, section 7.6.1.

use http::header::CONNECTION;
use http::{HeaderMap, HeaderName, HeaderValue};

/// The headers that a hop passes on.
///
/// Left out are the fields of one connection, those that `Connection` names, and
/// the ones that each hop writes anew: length, host and span context.
pub fn end_to_end(headers: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
    headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name) && !is_named(headers, name))
}

fn is_hop_by_hop(name: &HeaderName) -> bool {
    matches!(
        name.as_str(),
        "connection"
            | "content-length"
            | "expect"
            | "host"
            | "keep-alive"
            | "proxy-connection"
            | "te"
            | "traceparent"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
    )
}

fn is_named(headers: &HeaderMap, name: &HeaderName) -> bool {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|named| named.trim().eq_ignore_ascii_case(name.as_str()))
}

#[cfg(test)]
mod tests;
