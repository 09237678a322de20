//! Policies that choose among the endpoints of one tier.

mod join_idle_queue;
mod latency_two_choices;
mod round_robin;
mod two_choices;

use rand::{Rng, RngCore};

use super::endpoint::{Endpoint, EndpointId};
use crate::configs::RoutingConfig;
use crate::types::Time;

pub use join_idle_queue::JoinIdleQueue;
pub use latency_two_choices::LatencyTwoChoices;
pub use round_robin::RoundRobin;
pub use two_choices::TwoChoices;

/// Random tries for an eligible endpoint before all are checked in order.
const MAX_TRIES: usize = 4;

/// A load-balancing policy.
pub trait Policy: std::fmt::Debug + Send {
    /// Name in settings and reports.
    fn name(&self) -> &'static str;

    /// Chooses the position of an eligible endpoint, or `None` if there is none.
    fn choose(&self, candidates: &Candidates<'_>, rng: &mut dyn RngCore) -> Option<usize>;
}

/// Bound that an endpoint's load must stay below.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Bound {
    /// Slots that slow start allows.
    Slots,
    /// Announced connections.
    Connections,
}

/// The endpoints of one tier, by position.
#[derive(Debug)]
pub struct Candidates<'a> {
    pub(super) now: Time,
    pub(super) config: &'a RoutingConfig,
    pub(super) endpoints: &'a [Endpoint],
    pub(super) indices: &'a [u32],
    pub(super) avoid: &'a [EndpointId],
    pub(super) bound: Bound,
    pub(super) pick_count: u64,
}

impl Candidates<'_> {
    /// Number of endpoints, eligible or not.
    pub fn len(&self) -> usize {
        self.indices.len()
    }

    /// Whether the tier has no endpoint.
    pub fn is_empty(&self) -> bool {
        self.indices.is_empty()
    }

    /// Picks of this service so far, with the current one.
    pub fn pick_count(&self) -> u64 {
        self.pick_count
    }

    /// Whether the endpoint is below its bound, not ejected and not to be avoided.
    pub fn is_eligible(&self, position: usize) -> bool {
        let index = self.indices[position];
        let endpoint = self.endpoint(position);
        let generation = endpoint.generation;
        if self.avoid.contains(&EndpointId { index, generation }) {
            return false;
        }
        let limit = match self.bound {
            Bound::Slots => endpoint.usable_slots(self.now, self.config),
            Bound::Connections => endpoint.info.connections,
        };
        endpoint.load() < limit && !endpoint.is_ejected(self.now)
    }

    /// Outstanding requests that the router knows of.
    pub fn load(&self, position: usize) -> u32 {
        self.endpoint(position).load()
    }

    /// Estimated latency in microseconds; zero if unknown.
    pub fn latency(&self, position: usize) -> f64 {
        self.endpoint(position).latency(self.now, self.config)
    }

    /// First eligible endpoint at or after `start`, wrapping around.
    pub fn first_eligible(&self, start: usize) -> Option<usize> {
        let len = self.len();
        let positions = (0..len).map(|offset| (start + offset) % len);
        positions
            .into_iter()
            .find(|&position| self.is_eligible(position))
    }

    /// A random eligible endpoint.
    pub fn sample(&self, rng: &mut dyn RngCore) -> Option<usize> {
        if self.is_empty() {
            return None;
        }
        let mut start = 0;
        for _ in 0..MAX_TRIES {
            start = rng.random_range(0..self.len());
            if self.is_eligible(start) {
                return Some(start);
            }
        }
        self.first_eligible(start)
    }

    /// The cheaper of two random eligible endpoints, or the only one.
    pub fn cheaper_of_two(
        &self,
        rng: &mut dyn RngCore,
        cost: impl Fn(usize) -> f64,
    ) -> Option<usize> {
        let first = self.sample(rng)?;
        let second = self.sample(rng).filter(|&second| second != first);
        let second = second.or_else(|| self.first_eligible((first + 1) % self.len()))?;
        if cost(second) < cost(first) {
            return Some(second);
        }
        Some(first)
    }

    fn endpoint(&self, position: usize) -> &Endpoint {
        &self.endpoints[self.indices[position] as usize]
    }
}
