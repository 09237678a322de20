//! Policies that choose among the endpoints of one step.

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

/// Random tries for an endpoint with room before all are looked at in turn.
const MAX_TRIES: usize = 4;

/// A way to choose an endpoint.
pub trait Policy: std::fmt::Debug + Send {
    /// Name in settings and reports.
    fn name(&self) -> &'static str;

    /// Chooses the position of an open endpoint, or `None` if none is open.
    fn choose(&self, view: &Candidates<'_>, rng: &mut dyn RngCore) -> Option<usize>;
}

/// Bound that an endpoint's load must stay below.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Bound {
    /// Slots that are open.
    Slots,
    /// Connections.
    Connections,
}

/// The endpoints of one step, by position.
#[derive(Debug)]
pub struct Candidates<'a> {
    pub(super) now: Time,
    pub(super) config: &'a RoutingConfig,
    pub(super) table: &'a [Endpoint],
    pub(super) group: &'a [u32],
    pub(super) avoid: &'a [EndpointId],
    pub(super) bound: Bound,
    pub(super) pick_count: u64,
}

impl Candidates<'_> {
    /// Number of endpoints, open or not.
    pub fn len(&self) -> usize {
        self.group.len()
    }

    /// Whether there is no endpoint.
    pub fn is_empty(&self) -> bool {
        self.group.is_empty()
    }

    /// Picks of this service so far.
    pub fn pick_count(&self) -> u64 {
        self.pick_count
    }

    /// Whether the endpoint has room and is not ejected.
    pub fn is_eligible(&self, position: usize) -> bool {
        let index = self.group[position];
        let endpoint = self.endpoint(position);
        let generation = endpoint.generation;
        if self.avoid.contains(&EndpointId { index, generation }) {
            return false;
        }
        let limit = match self.bound {
            Bound::Slots => endpoint.open_slots(self.now, self.config),
            Bound::Connections => endpoint.offer.connections,
        };
        endpoint.load() < limit && !endpoint.is_ejected(self.now)
    }

    /// Requests outstanding at the endpoint, as far as known.
    pub fn load(&self, position: usize) -> u32 {
        self.endpoint(position).load()
    }

    /// Estimated latency in microseconds; zero if unknown.
    pub fn latency(&self, position: usize) -> f64 {
        self.endpoint(position).latency(self.now, self.config)
    }

    /// The first open endpoint at or after `start`, going round.
    pub fn first_eligible(&self, start: usize) -> Option<usize> {
        let len = self.len();
        let turn = (0..len).map(|step| (start + step) % len);
        turn.into_iter()
            .find(|&position| self.is_eligible(position))
    }

    /// A random open endpoint.
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

    /// The cheaper of two random open endpoints.
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
        &self.table[self.group[position] as usize]
    }
}
