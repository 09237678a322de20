//! Components of a scheduler for colocated latency-critical and batch work.
//!
//! Most modules are one component each: a state machine without I/O, clocks or
//! threads. The caller passes the current [`Time`](types::Time) and an event to
//! `step`, and the machine appends its effects to a buffer that the caller owns.
//! The same code therefore runs in the daemons, in trace replays and in other
//! programs, with the same results for the same inputs.
//!
//! [`types`] has the types that several components share: names, numbers, resources
//! and time. [`configs`] has the operator settings, one file per kind.
//!
//! # Embedding a component
//!
//! A client of another protocol can use [`retry`] alone. It passes in events and
//! carries out the returned effects:
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
//! // A booking is not idempotent.
//! let booking = RequestId(1);
//! let deadline = now.after(Duration::from_secs(2));
//! let begin = Input::Begin { id: booking, deadline, idempotent: false };
//! retry.step(now, begin, &mut rng, &mut out);
//! assert!(matches!(out.pop(), Some(Output::Send { attempt: 1, .. })));
//!
//! // After an unknown outcome it is not retried.
//! let failed = Input::Failed { id: booking, failure: Failure::Unknown };
//! retry.step(now, failed, &mut rng, &mut out);
//! let Some(Output::GiveUp { outcome, reason, .. }) = out.pop() else {
//!     panic!("expected a final outcome");
//! };
//! assert_eq!((outcome, reason), (Outcome::Unknown, Reason::NotIdempotent));
//! ```

pub mod configs;
mod dominant_share;
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
