//! Links between an agent and an entry: postcard frames over TCP.
//!
//! An agent dials every entry in its settings. Both sides exchange a [`Hello`] and a
//! proof that they know a shared [`Key`], then send authenticated [`Frame`]s in either
//! direction. An idle side sends [`Frame::KeepAlive`] every [`HEARTBEAT_INTERVAL`], and
//! each side closes a link on which nothing arrived for [`SILENCE_LIMIT`]. This detects
//! connections that stop carrying data in one direction or both.
//!
//! [`batches`] splits lists of messages into frames, so that no list is too large to be sent.
//!
//! [`Calls`] matches answers to requests by their number; an answer without a pending
//! request is counted and dropped.

mod auth;
mod batch;
mod calls;
mod config;
mod error;
mod frame;
mod handshake;
mod handshakes;
mod link;
mod wire;

pub use auth::{InvalidKey, KEY_BYTES, Key, Keys};
pub use batch::{Batches, MESSAGE_LIMIT_BYTES, batches, encoded_bytes};
pub use calls::{CallError, Calls};
pub use config::LinkConfig;
pub use error::LinkError;
pub use frame::{
    Answer, Failure, Fence, Frame, Header, Hello, Refusal, Request, Role, RunHeartbeat,
    SettingsNotice,
};
pub use handshakes::Handshakes;
pub use link::{
    FRAME_LIMIT_BYTES, HEARTBEAT_INTERVAL, IN_CHANNEL_BYTES, Incoming, Link, OUT_CHANNEL_BYTES,
    SILENCE_LIMIT, accept, dial,
};

/// Version of the frame format; both sides of a link must use the same.
pub const PROTOCOL_VERSION: u16 = 7;

#[cfg(test)]
mod tests;
