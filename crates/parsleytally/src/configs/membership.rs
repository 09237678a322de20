//! Deadlines and bounds of membership.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How long silence is tolerated and how often digests are sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipConfig {
    /// Silence after which a worker gets no new work.
    pub suspect_after: Duration,
    /// Silence after which a worker counts as gone.
    pub gone_after: Duration,
    /// Time for which the last life of a gone worker is remembered.
    pub forget_after: Duration,
    /// Time between two rounds of digests.
    pub digest_every: Duration,
    /// Zones that one round of digests reaches.
    pub fanout: usize,
    /// Age at which a digest of another zone is no longer used.
    pub digest_expiry: Duration,
    /// Most workers that are kept; announcements of further ones are refused.
    pub max_members: usize,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            suspect_after: Duration::from_millis(1_750),
            gone_after: Duration::from_secs(10),
            forget_after: Duration::from_secs(600),
            digest_every: Duration::from_secs(1),
            fanout: 2,
            digest_expiry: Duration::from_secs(60),
            max_members: 4_096,
        }
    }
}
