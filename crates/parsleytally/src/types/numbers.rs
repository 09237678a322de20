//! Counters that order events of one kind.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

macro_rules! number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            Display, From, Into, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// The number that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

number!(
    /// Number of an ownership of a shard; a higher one fences all lower ones.
    Epoch
);
number!(
    /// Number of one life of a process; a restart takes a higher one.
    Incarnation
);
number!(
    /// Number of a request, unique within one life of the process that sent it.
    RequestId
);
number!(
    /// Revision of the platform's store; a higher one is newer.
    Revision
);
number!(
    /// Number of one run of a task; each resume takes the next one.
    RunNumber
);
number!(
    /// Number of a shard of teams.
    ShardId
);
