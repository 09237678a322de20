//! Rate limit and back-off of one process's calls to the store.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use parsleytally::configs::StoreConfig;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use snafu::ensure;
use tokio::time::Instant;

use crate::store::StoreError;
use crate::store::error::{DownSnafu, RateLimitedSnafu};

/// A token bucket, closed for a while after failed calls.
#[derive(Debug)]
pub(super) struct Budget {
    rate: f64,
    burst: f64,
    min: Duration,
    max: Duration,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// Calls that may be sent now; below zero while calls wait.
    tokens: f64,
    updated: Instant,
    failures: u32,
    closed: Option<Instant>,
    rng: SmallRng,
}

impl Budget {
    pub(super) fn new(config: &StoreConfig, seed: u64) -> Self {
        let burst = f64::from(config.burst);
        let state = State {
            tokens: burst,
            updated: Instant::now(),
            failures: 0,
            closed: None,
            rng: SmallRng::seed_from_u64(seed),
        };
        Self {
            rate: f64::from(config.rate),
            burst,
            min: config.backoff_min,
            max: config.backoff_max.max(config.backoff_min),
            state: Mutex::new(state),
        }
    }

    /// Waits for the turn of a call that must be answered within `deadline`.
    pub(super) async fn acquire(
        &self,
        call: &'static str,
        deadline: Duration,
    ) -> Result<(), StoreError> {
        let wait = self.reserve(call, deadline)?;
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        Ok(())
    }

    fn reserve(&self, call: &'static str, deadline: Duration) -> Result<Duration, StoreError> {
        let now = Instant::now();
        let mut state = self.lock();
        if let Some(end) = state.closed
            && end > now
        {
            let left = humantime::format_duration(end - now);
            let reason = format!("backing off for {left} after failed calls");
            return DownSnafu { reason }.fail();
        }
        let refill = (now - state.updated).as_secs_f64() * self.rate;
        state.tokens = (state.tokens + refill).min(self.burst);
        state.updated = now;
        let missing = (1.0 - state.tokens).max(0.0);
        let wait = Duration::from_secs_f64(missing / self.rate);
        ensure!(wait < deadline, RateLimitedSnafu { call });
        state.tokens -= 1.0;
        Ok(wait)
    }

    /// Takes a token if one is left, without waiting.
    pub(super) fn try_acquire(&self, call: &'static str) -> bool {
        self.reserve(call, Duration::from_nanos(1)).is_ok()
    }

    /// Notes an answered call.
    pub(super) fn succeeded(&self) {
        let mut state = self.lock();
        state.failures = 0;
        state.closed = None;
    }

    /// Notes a call that found the store down or silent.
    pub(super) fn failed(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let doublings = state.failures.min(16);
        state.failures = state.failures.saturating_add(1);
        let pause = self.min.saturating_mul(1 << doublings).min(self.max);
        let jitter = state.rng.random_range(0.5..=1.0);
        state.closed = Some(now + pause.mul_f64(jitter));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
