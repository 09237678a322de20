//! Coordination parts of a scheduler for colocated latency-critical and batch work.
//!
//! Each module is one duty. A duty is a state machine without I/O, clocks or
//! threads: the caller passes the current [`Time`](types::Time) and an input to
//! `step`, and the machine appends its outputs to a buffer that the caller owns.
//! The same code therefore runs in the daemons, under a replayed trace and in
//! another program, with the same result for the same inputs.
//!
//! [`types`] holds what several duties share: names, numbers, resources and time.
//! [`configs`] holds the settings of operators, one file per kind.
//!
//! # Embedding a duty
//!
//! A client of some other protocol can take [`retry`] alone. It feeds in what happens
//! and does what comes out:
//!
//! ```
//! use std::time::Duration;
//!
//! use parsleytally::configs::RetryConfig;
//! use parsleytally::retry::{Failure, Input, Outcome, Output, Reason, Retry};
//! use parsleytally::types::{RequestId, Time};
//! use rand::{SeedableRng, rngs::SmallRng};
//!
//! let mut retry = Retry::new(RetryConfig::default());
//! let mut rng = SmallRng::seed_from_u64(1);
//! let mut out = Vec::new();
//! let now = Time::from_secs(1);
//!
//! // A booking may not run twice.
//! let booking = RequestId(1);
//! let deadline = now.after(Duration::from_secs(2));
//! let begin = Input::Begin { id: booking, deadline, idempotent: false };
//! retry.step(now, begin, &mut rng, &mut out);
//! assert!(matches!(out.pop(), Some(Output::Send { attempt: 1, .. })));
//!
//! // Its outcome is unknown: it is given up on at once.
//! let failed = Input::Failed { id: booking, failure: Failure::Unknown };
//! retry.step(now, failed, &mut rng, &mut out);
//! let Some(Output::GiveUp { outcome, reason, .. }) = out.pop() else {
//!     panic!("expected a final answer");
//! };
//! assert_eq!((outcome, reason), (Outcome::Unknown, Reason::NotIdempotent));
//! ```

pub mod configs;
pub mod estimates;
pub mod grants;
pub mod health;
pub mod idempotency;
pub mod interference;
pub mod jobs;
pub mod leases;
pub mod limits;
pub mod membership;
pub mod ownership;
pub mod placement;
pub mod reaction;
pub mod recovery;
pub mod retry;
pub mod routing;
pub mod settings;
pub mod types;
pub mod writes;
