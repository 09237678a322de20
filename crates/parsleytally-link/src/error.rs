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
        /// Error of the socket.
        source: io::Error,
    },
    /// A received frame could not be decoded.
    #[snafu(display("could not decode a frame: {source}"))]
    Decode {
        /// Error of the codec.
        source: postcard::Error,
    },
    /// A frame could not be encoded.
    #[snafu(display("could not encode a frame: {source}"))]
    Encode {
        /// Error of the codec.
        source: postcard::Error,
    },
    /// The handshake did not finish in time.
    #[snafu(display("handshake did not finish within {limit_ms} ms"))]
    NoHello {
        /// Time limit, in milliseconds.
        limit_ms: u64,
    },
    /// The connection was closed for a later one, since too many have not proven the key.
    #[snafu(display("too many connections have not proven the key"))]
    Crowded,
    /// The first message is not a valid hello.
    #[snafu(display("first message is not a valid hello"))]
    NotHello,
    /// The peer uses another protocol version.
    #[snafu(display("peer uses protocol version {theirs}, this process uses {ours}"))]
    Version {
        /// Version of the peer.
        theirs: u16,
        /// Version of this process.
        ours: u16,
    },
    /// Links between two processes of this role are not allowed.
    #[snafu(display("links between two processes of role {role} are not allowed"))]
    Role {
        /// Role of both processes.
        role: crate::Role,
    },
    /// The peer's proof matches no accepted key.
    #[snafu(display("{node} does not know a key in force"))]
    Unauthenticated {
        /// Node name in the peer's hello.
        node: parsleytally::types::NodeName,
    },
    /// The authentication tag of a chunk is missing or wrong.
    #[snafu(display("authentication failed: data was changed, duplicated, dropped or reordered"))]
    Tag,
    /// A frame exceeds the size limit.
    #[snafu(display(
        "frame of {size} bytes exceeds the limit of {} bytes",
        crate::FRAME_LIMIT_BYTES
    ))]
    Oversized {
        /// Size of the frame, in bytes.
        size: usize,
    },
    /// A chunk exceeds the limit on streams or on frame size.
    #[snafu(display("chunk exceeds the limit on streams or on frame size"))]
    InvalidChunk,
    /// No chunk was received, or none could be written, within the silence limit.
    #[snafu(display("link is silent"))]
    Silent,
    /// The link is closed.
    #[snafu(display("link is closed"))]
    Closed,
    /// The channel of outgoing frames is full.
    #[snafu(display("channel of outgoing frames is full"))]
    Full,
}
