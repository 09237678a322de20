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
    /// The peer did not say hello and prove itself in time.
    #[snafu(display("no hello and proof within {limit_ms} ms"))]
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
    /// Both ends are of the same kind.
    #[snafu(display("peer is an {role} too"))]
    Role {
        /// Kind of both.
        role: crate::Role,
    },
    /// The peer does not know a key in force.
    #[snafu(display("{node} does not know a key in force"))]
    Unauthenticated {
        /// Name that the peer gave.
        node: parsleytally::types::NodeName,
    },
    /// A frame's tag does not fit.
    #[snafu(display("frame was changed, doubled or left out on the way"))]
    Tag,
    /// A frame is larger than a link takes.
    #[snafu(display(
        "frame of {size} bytes exceeds the limit of {} bytes",
        crate::FRAME_LIMIT_BYTES
    ))]
    Oversized {
        /// Size of the frame, in bytes.
        size: usize,
    },
    /// Pieces of frames break the bounds.
    #[snafu(display("pieces of frames break the bounds"))]
    InvalidChunk,
    /// Nothing arrived for the limit of silence.
    #[snafu(display("link is silent"))]
    Silent,
    /// The link is closed.
    #[snafu(display("link is closed"))]
    Closed,
    /// The ring of outgoing frames is full.
    #[snafu(display("ring of outgoing frames is full"))]
    Full,
}
