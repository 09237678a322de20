//! Failures of calls to the store.

use parsleytally::types::Revision;
use snafu::Snafu;

use super::LeaseId;

/// A call to the store that failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// The store was not reached; nothing has taken effect.
    #[snafu(display("store is not reachable: {reason}"))]
    Down {
        /// What the connection reported.
        reason: String,
    },
    /// No answer came in time; a write may have taken effect.
    #[snafu(display("store did not answer {call} within its deadline"))]
    Timeout {
        /// Name of the call.
        call: &'static str,
    },
    /// The answer was lost; a write may have taken effect.
    #[snafu(display("answer of the store to {call} was lost: {reason}"))]
    Unknown {
        /// Name of the call.
        call: &'static str,
        /// What the connection reported.
        reason: String,
    },
    /// The process has used up its share of calls; nothing was sent.
    #[snafu(display("limit of store calls is reached: {call} was not sent"))]
    RateLimited {
        /// Name of the call.
        call: &'static str,
    },
    /// The revision to watch from is no longer kept.
    #[snafu(display("changes up to revision {oldest} are no longer kept"))]
    Compacted {
        /// Newest revision whose changes are gone.
        oldest: Revision,
    },
    /// The lease has ended or never existed.
    #[snafu(display("lease {lease} does not exist"))]
    LeaseGone {
        /// The lease.
        lease: LeaseId,
    },
    /// The watch was ended by the other side.
    #[snafu(display("watch was ended: {reason}"))]
    WatchEnded {
        /// What the store or the connection reported.
        reason: String,
    },
    /// A value is larger than the store holds.
    #[snafu(display("value of {size} bytes for key {key:?} is too large for the store"))]
    TooLarge {
        /// The key.
        key: String,
        /// Size of the value, in bytes.
        size: usize,
    },
    /// The store refused the call; nothing has taken effect.
    #[snafu(display("store refused {call}: {reason}"))]
    Refused {
        /// Name of the call.
        call: &'static str,
        /// What the store answered.
        reason: String,
    },
    /// An answer did not follow the protocol; a write may have taken effect.
    #[snafu(display("answer of the store to {call} is malformed: {reason}"))]
    Protocol {
        /// Name of the call.
        call: &'static str,
        /// What is wrong with the answer.
        reason: String,
    },
}

impl StoreError {
    /// Whether a write that failed so may have taken effect.
    pub fn is_unknown(&self) -> bool {
        matches!(
            self,
            Self::Timeout { .. } | Self::Unknown { .. } | Self::Protocol { .. }
        )
    }

    /// Short name of the error in metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Down { .. } => "down",
            Self::Timeout { .. } => "timeout",
            Self::Unknown { .. } => "unknown",
            Self::RateLimited { .. } => "rate-limited",
            Self::Compacted { .. } => "compacted",
            Self::LeaseGone { .. } => "lease-gone",
            Self::WatchEnded { .. } => "watch-ended",
            Self::TooLarge { .. } => "too-large",
            Self::Refused { .. } => "refused",
            Self::Protocol { .. } => "protocol",
        }
    }
}
