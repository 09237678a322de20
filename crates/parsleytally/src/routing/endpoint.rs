//! State of one endpoint: announcement, load, latency estimate and ejection.

use std::time::Duration;

use derive_more::Display;

use super::{EndpointInfo, Outcome};
use crate::configs::RoutingConfig;
use crate::membership::Load;
use crate::types::Time;

/// Weight of a new latency below the estimate; a higher one replaces the estimate.
const LATENCY_GAIN: f64 = 0.1;

/// Identity of an endpoint within one router, never reused for another endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display("{index}.{generation}")]
pub struct EndpointId {
    pub(super) index: u32,
    pub(super) generation: u32,
}

/// An announced endpoint, or a withdrawn one with outstanding requests.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) info: EndpointInfo,
    pub(super) generation: u32,
    pub(super) announced: bool,
    pub(super) own_requests: u32,
    other_requests: u32,
    latency: f64,
    latency_updated: Time,
    slow_start_began: Time,
    consecutive_failures: u32,
    consecutive_ejections: u32,
    ejected_until: Option<Time>,
}

impl Endpoint {
    pub(super) fn new(now: Time, info: EndpointInfo, generation: u32) -> Self {
        Self {
            info,
            generation,
            announced: true,
            own_requests: 0,
            other_requests: 0,
            latency: 0.0,
            latency_updated: now,
            slow_start_began: now,
            consecutive_failures: 0,
            consecutive_ejections: 0,
            ejected_until: None,
        }
    }

    /// Outstanding requests of this router and, by the last report, of others.
    pub(super) fn load(&self) -> u32 {
        self.own_requests.saturating_add(self.other_requests)
    }

    pub(super) fn report(&mut self, load: Load) {
        self.other_requests = load.outstanding.saturating_sub(load.from_receiver);
    }

    /// Applies a new announcement of the same incarnation, keeping the request counts.
    ///
    /// Slow start begins again if the endpoint was withdrawn.
    pub(super) fn reannounce(&mut self, now: Time, info: EndpointInfo) {
        if !self.announced {
            self.slow_start_began = now;
        }
        self.info = info;
        self.announced = true;
    }

    /// Slots that slow start allows at `now`, at least one.
    pub(super) fn usable_slots(&self, now: Time, config: &RoutingConfig) -> u32 {
        let slots = self.info.slots;
        let age = now.since(self.slow_start_began);
        if age >= config.slow_start {
            return slots;
        }
        let share = age.as_secs_f64() / config.slow_start.as_secs_f64();
        ((f64::from(slots) * share) as u32).max(1).min(slots)
    }

    /// Estimated latency in microseconds; decays with the time since the last answer.
    pub(super) fn latency(&self, now: Time, config: &RoutingConfig) -> f64 {
        let decay = config.latency_decay.as_secs_f64();
        let age = now.since(self.latency_updated).as_secs_f64();
        self.latency * decay / (decay + age)
    }

    pub(super) fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    pub(super) fn ejected_until(&self) -> Option<Time> {
        self.ejected_until
    }

    /// Records the end of a request; returns whether the endpoint should be ejected.
    pub(super) fn finish(&mut self, now: Time, outcome: Outcome, config: &RoutingConfig) -> bool {
        self.own_requests = self.own_requests.saturating_sub(1);
        match outcome {
            Outcome::Answered(latency) => self.record_answer(now, latency),
            // The agent has no free slot, so the others' requests fill the rest.
            Outcome::Refused => {
                self.other_requests = self.info.slots.saturating_sub(self.own_requests);
            }
            Outcome::Failed => self.consecutive_failures += 1,
            Outcome::Abandoned => {}
        }
        self.consecutive_failures >= config.max_failures && !self.is_ejected(now)
    }

    fn record_answer(&mut self, now: Time, latency: Duration) {
        let latency_us = latency.as_secs_f64() * 1e6;
        if latency_us > self.latency {
            self.latency = latency_us;
        } else {
            self.latency += (latency_us - self.latency) * LATENCY_GAIN;
        }
        self.latency_updated = now;
        self.consecutive_failures = 0;
        self.consecutive_ejections = 0;
    }

    /// Ejects the endpoint until the returned time, when slow start begins again.
    ///
    /// The duration grows with each ejection since the last answer.
    pub(super) fn eject(&mut self, now: Time, config: &RoutingConfig) -> Time {
        self.consecutive_ejections = self.consecutive_ejections.saturating_add(1);
        let duration = config.ejection.saturating_mul(self.consecutive_ejections);
        let until = now.after(duration.min(config.max_ejection));
        self.ejected_until = Some(until);
        self.slow_start_began = until;
        self.consecutive_failures = 0;
        until
    }

    /// Ends an ejection early.
    pub(super) fn restore(&mut self, now: Time) {
        self.ejected_until = None;
        self.slow_start_began = now;
    }
}
