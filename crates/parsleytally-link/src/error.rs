//! Errors of a link.

use std::io;

use snafu::Snafu;

/// Why a link could not be opened or used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LinkError {
    /// The connection failed.
    #[snafu(display("connection failed: {source}"))]
    Io {
        /// What the socket reported.
        source: io::Error,
    },
    /// A frame does not decode.
    #[snafu(display("frame does not decode: {source}"))]
    Decode {
        /// What the codec reported.
        source: postcard::Error,
    },
    /// A frame does not encode.
    #[snafu(display("frame does not encode: {source}"))]
    Encode {
        /// What the codec reported.
        source: postcard::Error,
    },
    /// The peer did not say hello in time.
    #[snafu(display("no hello within {limit_ms} ms"))]
    NoHello {
        /// The limit, in milliseconds.
        limit_ms: u64,
    },
    /// The first frame was not a hello.
    #[snafu(display("first frame is not a hello"))]
    NotHello,
    /// The peer speaks another version.
    #[snafu(display("peer speaks version {theirs}, this process speaks {ours}"))]
    Version {
        /// Version of the peer.
        theirs: u16,
        /// Version of this process.
        ours: u16,
    },
    /// Nothing arrived for [`SILENCE_LIMIT`](crate::SILENCE_LIMIT).
    #[snafu(display("link is silent"))]
    Silent,
    /// The link is closed.
    #[snafu(display("link is closed"))]
    Closed,
    /// The ring of outgoing frames is full.
    #[snafu(display("ring of outgoing frames is full"))]
    Full,
}
