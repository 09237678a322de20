//! Links between an agent and an entry: postcard frames over TCP.
//!
//! An agent dials every entry of its settings. Both sides say hello, then send
//! [`Frame`]s in either direction. Each side sends a heartbeat every
//! [`HEARTBEAT_INTERVAL`] and closes a link on which nothing arrived for
//! [`SILENCE_LIMIT`], so a connection that went silent is replaced by a new one.
//!
//! [`Calls`] matches answers to requests: each caller gets the answer to its own
//! request, and an answer that nobody waits for is counted and dropped.

mod calls;
mod error;
mod frame;
mod link;

pub use calls::{CallError, Calls};
pub use error::LinkError;
pub use frame::{
    Announcement, Answer, Failure, Fence, Frame, Header, Heartbeat, Hello, Refusal, Request, Role,
    SettingsNotice, TaskCommand, TaskReport,
};
pub use link::{
    FRAME_LIMIT_BYTES, HEARTBEAT_INTERVAL, Incoming, Link, SILENCE_LIMIT, accept, dial,
};

/// Version of the frames; both sides must have the same.
pub const PROTOCOL_VERSION: u16 = 1;

#[cfg(test)]
mod tests;
