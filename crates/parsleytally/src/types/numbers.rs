//! Number types: one type per kind of number, so that kinds can't be mixed up.

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
    /// Number of one ownership of a shard; a higher one invalidates all lower ones.
    Epoch
);
number!(
    /// Number of one process start; each restart of the process uses a higher one.
    Incarnation
);
number!(
    /// Number of a request, unique within one incarnation of the sending process.
    RequestId
);
number!(
    /// Revision of the platform's store; a higher one is newer.
    Revision
);
number!(
    /// Number of one run of a task; each resume uses the next one.
    RunNumber
);
number!(
    /// Number of a shard; teams are distributed over the shards.
    ShardId
);
