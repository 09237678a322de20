//! What the router knows of one endpoint.

use std::time::Duration;

use derive_more::Display;

use super::{EndpointInfo, Outcome};
use crate::configs::RoutingConfig;
use crate::membership::Load;
use crate::types::Time;

/// Weight of a new latency in the estimate when it is lower than the estimate.
const LATENCY_GAIN: f64 = 0.1;

/// Identity of an endpoint in one router; never used again for another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display("{index}.{generation}")]
pub struct EndpointId {
    pub(super) index: u32,
    pub(super) generation: u32,
}

/// State of one endpoint.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) offer: EndpointInfo,
    pub(super) generation: u32,
    pub(super) open: bool,
    pub(super) mine: u32,
    others: u32,
    latency: f64,
    measured: Time,
    started: Time,
    failures: u32,
    ejections: u32,
    ejected: Option<Time>,
}

impl Endpoint {
    pub(super) fn new(now: Time, offer: EndpointInfo, generation: u32) -> Self {
        Self {
            offer,
            generation,
            open: true,
            mine: 0,
            others: 0,
            latency: 0.0,
            measured: now,
            started: now,
            failures: 0,
            ejections: 0,
            ejected: None,
        }
    }

    /// Requests outstanding from this router and, by the last report, from others.
    pub(super) fn load(&self) -> u32 {
        self.mine.saturating_add(self.others)
    }

    pub(super) fn report(&mut self, load: Load) {
        self.others = load.outstanding.saturating_sub(load.yours);
    }

    /// Opens again in the same life, with what is still outstanding.
    pub(super) fn reopen(&mut self, now: Time, offer: EndpointInfo) {
        if !self.open {
            self.started = now;
        }
        self.offer = offer;
        self.open = true;
    }

    /// Slots that are open at `now`, at least one.
    pub(super) fn open_slots(&self, now: Time, config: &RoutingConfig) -> u32 {
        let slots = self.offer.slots;
        let age = now.since(self.started);
        if age >= config.slow_start {
            return slots;
        }
        let share = age.as_secs_f64() / config.slow_start.as_secs_f64();
        ((f64::from(slots) * share) as u32).max(1).min(slots)
    }

    /// Estimated latency in microseconds; loses weight while nothing is measured.
    pub(super) fn latency(&self, now: Time, config: &RoutingConfig) -> f64 {
        let decay = config.latency_decay.as_secs_f64();
        let age = now.since(self.measured).as_secs_f64();
        self.latency * decay / (decay + age)
    }

    pub(super) fn is_ejected(&self, now: Time) -> bool {
        self.ejected.is_some_and(|until| now < until)
    }

    pub(super) fn ejected_until(&self) -> Option<Time> {
        self.ejected
    }

    /// Takes the end of a request in; returns whether the endpoint should be ejected.
    pub(super) fn finish(&mut self, now: Time, outcome: Outcome, config: &RoutingConfig) -> bool {
        self.mine = self.mine.saturating_sub(1);
        match outcome {
            Outcome::Answered(latency) => self.answered(now, latency),
            Outcome::Refused => self.others = self.offer.slots.saturating_sub(self.mine),
            Outcome::Failed => self.failures += 1,
            Outcome::Abandoned => {}
        }
        self.failures >= config.max_failures && !self.is_ejected(now)
    }

    fn answered(&mut self, now: Time, latency: Duration) {
        let micros = latency.as_secs_f64() * 1e6;
        if micros > self.latency {
            self.latency = micros;
        } else {
            self.latency += (micros - self.latency) * LATENCY_GAIN;
        }
        self.measured = now;
        self.failures = 0;
        self.ejections = 0;
    }

    /// Sets the endpoint aside; it starts slowly afterwards.
    pub(super) fn eject(&mut self, now: Time, config: &RoutingConfig) -> Time {
        self.ejections = self.ejections.saturating_add(1);
        let span = config.ejection.saturating_mul(self.ejections);
        let until = now.after(span.min(config.max_ejection));
        self.ejected = Some(until);
        self.started = until;
        self.failures = 0;
        until
    }

    /// Ends an ejection before its time.
    pub(super) fn restore(&mut self, now: Time) {
        self.ejected = None;
        self.started = now;
    }
}
