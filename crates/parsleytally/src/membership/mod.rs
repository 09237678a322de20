//! Membership: which workers exist, what they offer and whether they accept new work.
//!
//! Agents announce themselves to the entries of their zone and then send
//! heartbeats; there is no configured list of endpoints. Every message carries the
//! agent's incarnation and a sequence number within it. The state stored per worker
//! is monotonic: the highest incarnation, and within it the highest sequence number
//! and the latest [`Phase`]. Late, duplicate and reordered messages therefore
//! lead to the same record in every order, and messages of an earlier incarnation
//! change nothing.
//!
//! Suspicion is local to each entry: it starts when messages stop or a link is lost,
//! and ends with the next new message. It only stops new work; it never justifies
//! running a batch task again.
//!
//! Between zones, one entry of each zone sends a [`Digest`] of its zone's services
//! to a few other zones per round, so that traffic does not grow with the square of
//! the number of entries.

mod digest;
mod member;
mod message;
mod registry;

pub use digest::{
    Digest, MAX_DIGEST_ROWS, MAX_PEERS, MAX_REMOTE_ROWS, Row, ServiceCapacity, service_hash,
};
pub use member::{Member, State};
pub use message::{Announcement, Heartbeat, Input, Load, Output, Peer, Phase, Refusal};
pub use registry::{Counters, Membership};

#[cfg(test)]
mod tests;
