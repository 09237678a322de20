//! Which workers exist, what they offer and whether they may get work.
//!
//! Agents announce themselves to the entries of their zone and then send
//! heartbeats; no list of endpoints exists anywhere. Every message carries the
//! incarnation of the agent's life and a sequence number within it. What is kept
//! per worker only grows: the highest incarnation, and within it the highest
//! sequence number and the furthest [`Phase`]. Late, doubled and crossed messages
//! therefore lead to the same record in every order, and news of an earlier life
//! changes nothing.
//!
//! Suspicion is local to each entry: it follows from silence or from a lost link
//! and ends with the next heartbeat. It stops new work only; the right to run a
//! batch task again never rests on it.
//!
//! Between zones, one entry of each zone sends a [`Digest`] of its zone's services
//! to a few other zones a round, so that traffic does not grow with the square of
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
