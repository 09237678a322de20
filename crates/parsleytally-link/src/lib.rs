//! Links between an agent and an entry: postcard frames over TCP.
//!
//! An agent dials every entry of its settings. Both sides say hello and prove that
//! they know a shared [`Key`], then send tagged [`Frame`]s in either direction. A
//! side that has nothing to say sends a sign of life every [`HEARTBEAT_INTERVAL`],
//! and each closes a link on which nothing arrived for [`SILENCE_LIMIT`]. So a
//! connection that went silent, in one direction or both, is replaced by a new one.
//!
//! [`Calls`] matches answers to requests: each caller gets the answer to its own
//! request, and an answer that nobody waits for is counted and dropped.

mod auth;
mod calls;
mod config;
mod error;
mod frame;
mod handshake;
mod link;
mod wire;

pub use auth::{InvalidKey, KEY_BYTES, Key, Keys};
pub use calls::{CallError, Calls};
pub use config::LinkConfig;
pub use error::LinkError;
pub use frame::{
    Answer, Failure, Fence, Frame, Header, Hello, Refusal, Request, Role, RunHeartbeat,
    SettingsNotice,
};
pub use link::{
    FRAME_LIMIT_BYTES, HEARTBEAT_INTERVAL, IN_CHANNEL_BYTES, Incoming, Link, OUT_CHANNEL_BYTES,
    SILENCE_LIMIT, accept, dial,
};

/// Version of the frames; both sides must have the same.
pub const PROTOCOL_VERSION: u16 = 3;

#[cfg(test)]
mod tests;
