//! The state machine of routing.

use std::collections::HashMap;

use rand::RngCore;

use super::endpoint::{Endpoint, EndpointId};
use super::policy::{Bound, Candidates, Policy};
use super::{EndpointInfo, Input, NoEndpoint, Outcome, Output, Picked};
use crate::configs::RoutingConfig;
use crate::types::{NodeName, ServiceKey, Time, ZoneName};

/// Endpoints of one service, by their place in the table.
#[derive(Debug, Default)]
struct Service {
    local: Vec<u32>,
    remote: Vec<u32>,
    picks: u64,
}

impl Service {
    fn all(&self) -> impl Iterator<Item = u32> {
        self.local.iter().chain(&self.remote).copied()
    }
}

/// Chooses endpoints for the requests of one entry.
#[derive(Debug)]
pub struct Router {
    config: RoutingConfig,
    zone: ZoneName,
    policy: Box<dyn Policy>,
    table: Vec<Endpoint>,
    free: Vec<u32>,
    workers: HashMap<NodeName, u32>,
    services: HashMap<ServiceKey, Service>,
}

impl Router {
    /// Creates a router for an entry in `zone`.
    pub fn new(config: RoutingConfig, zone: ZoneName, policy: Box<dyn Policy>) -> Self {
        Self {
            config,
            zone,
            policy,
            table: Vec::new(),
            free: Vec::new(),
            workers: HashMap::new(),
            services: HashMap::new(),
        }
    }

    /// Takes one input in and appends what follows from it.
    pub fn step(
        &mut self,
        now: Time,
        input: Input<'_>,
        rng: &mut dyn RngCore,
        out: &mut Vec<Output>,
    ) {
        match input {
            Input::Announced(offer) => self.offer(now, offer),
            Input::Withdrawn { worker } => self.withdraw(now, worker),
            Input::LoadReported {
                worker,
                incarnation,
                load,
            } => {
                let endpoint = self
                    .workers
                    .get(worker)
                    .map(|&i| &mut self.table[i as usize]);
                if let Some(endpoint) = endpoint.filter(|e| e.offer.incarnation == incarnation) {
                    endpoint.report(load);
                }
            }
            Input::Pick {
                request,
                service,
                avoid,
            } => out.push(match self.pick(now, service, avoid, rng) {
                Ok(picked) => Output::Picked { request, picked },
                Err(reason) => Output::Refused { request, reason },
            }),
            Input::Done { endpoint, outcome } => self.done(now, endpoint, outcome, out),
        }
    }

    /// Chooses an endpoint of `service` and counts the request as outstanding there.
    ///
    /// # Errors
    ///
    /// Returns [`NoEndpoint`] when no endpoint is known or none has room; the
    /// request did not run.
    pub fn pick(
        &mut self,
        now: Time,
        service: &ServiceKey,
        avoid: &[EndpointId],
        rng: &mut dyn RngCore,
    ) -> Result<Picked, NoEndpoint> {
        let group = self.services.get_mut(service).ok_or(NoEndpoint::Unknown)?;
        group.picks += 1;
        let group = &self.services[service];
        let index = self
            .search(now, group, avoid, rng)
            .or_else(|| self.search(now, group, &[], rng))
            .ok_or(NoEndpoint::NoCapacity)?;
        Ok(self.count(index))
    }

    /// Counts a request as outstanding at `worker`'s endpoint, which was not chosen here.
    pub fn pick_worker(&mut self, worker: &NodeName) -> Option<Picked> {
        let index = *self.workers.get(worker)?;
        Some(self.count(index))
    }

    fn count(&mut self, index: u32) -> Picked {
        let endpoint = &mut self.table[index as usize];
        endpoint.mine += 1;
        Picked {
            endpoint: EndpointId {
                index,
                generation: endpoint.generation,
            },
            worker: endpoint.offer.worker.clone(),
            incarnation: endpoint.offer.incarnation,
        }
    }

    /// Requests outstanding at a worker's endpoint, as far as known.
    pub fn load(&self, worker: &NodeName) -> Option<u32> {
        let index = *self.workers.get(worker)?;
        Some(self.table[index as usize].load())
    }

    /// Whether a worker's endpoint is ejected at `now`.
    pub fn is_ejected(&self, now: Time, worker: &NodeName) -> bool {
        let index = self.workers.get(worker);
        index.is_some_and(|&index| self.table[index as usize].is_ejected(now))
    }

    /// Own zone before other zones, free slots before free connections.
    fn search(
        &self,
        now: Time,
        service: &Service,
        avoid: &[EndpointId],
        rng: &mut dyn RngCore,
    ) -> Option<u32> {
        let steps = [
            (Bound::Slots, &service.local),
            (Bound::Slots, &service.remote),
            (Bound::Connections, &service.local),
            (Bound::Connections, &service.remote),
        ];
        steps.into_iter().find_map(|(bound, group)| {
            let view = Candidates {
                now,
                config: &self.config,
                table: &self.table,
                group,
                avoid,
                bound,
                pick_count: service.picks,
            };
            let position = self.policy.choose(&view, rng)?;
            Some(group[position])
        })
    }

    fn is_current(&self, id: EndpointId) -> bool {
        let endpoint = self.table.get(id.index as usize);
        endpoint.is_some_and(|endpoint| endpoint.generation == id.generation)
    }

    fn offer(&mut self, now: Time, offer: EndpointInfo) {
        if let Some(&index) = self.workers.get(&offer.worker) {
            let known = &mut self.table[index as usize];
            let same_place = known.offer.service == offer.service && known.offer.zone == offer.zone;
            if known.offer.incarnation == offer.incarnation && same_place {
                let was_open = known.open;
                known.reopen(now, offer);
                if !was_open {
                    self.link(index);
                }
                return;
            }
            self.withdraw(now, &offer.worker);
            self.drop_worker(&offer.worker);
        }
        let index = self.place(now, offer);
        let worker = self.table[index as usize].offer.worker.clone();
        self.workers.insert(worker, index);
        self.link(index);
    }

    /// Puts a new endpoint into the table.
    fn place(&mut self, now: Time, offer: EndpointInfo) -> u32 {
        if let Some(index) = self.free.pop() {
            let endpoint = &mut self.table[index as usize];
            *endpoint = Endpoint::new(now, offer, endpoint.generation + 1);
            return index;
        }
        self.table.push(Endpoint::new(now, offer, 0));
        u32::try_from(self.table.len() - 1).expect("fewer endpoints than u32::MAX")
    }

    /// Lets an endpoint be chosen.
    fn link(&mut self, index: u32) {
        let offer = &self.table[index as usize].offer;
        let service = self.services.entry(offer.service.clone()).or_default();
        if offer.zone == self.zone {
            service.local.push(index);
        } else {
            service.remote.push(index);
        }
    }

    /// Lets an endpoint no longer be chosen; its outstanding requests stay counted.
    fn withdraw(&mut self, now: Time, worker: &NodeName) {
        let Some(&index) = self.workers.get(worker) else {
            return;
        };
        let endpoint = &mut self.table[index as usize];
        if !endpoint.open {
            return;
        }
        endpoint.open = false;
        let key = endpoint.offer.service.clone();
        if let Some(service) = self.services.get_mut(&key) {
            service.local.retain(|&i| i != index);
            service.remote.retain(|&i| i != index);
            if service.all().next().is_none() {
                self.services.remove(&key);
            }
        }
        self.restore_floor(now, &key);
        self.release(index);
    }

    /// Forgets an endpoint that was withdrawn and has nothing outstanding.
    fn release(&mut self, index: u32) {
        let endpoint = &self.table[index as usize];
        if endpoint.open || endpoint.mine > 0 {
            return;
        }
        let worker = endpoint.offer.worker.clone();
        if self.workers.get(&worker) == Some(&index) {
            self.drop_worker(&worker);
        }
    }

    /// Forgets a worker's endpoint; what is outstanding there is ignored later.
    fn drop_worker(&mut self, worker: &NodeName) {
        if let Some(index) = self.workers.remove(worker) {
            self.table[index as usize].generation += 1;
            self.free.push(index);
        }
    }

    fn done(&mut self, now: Time, id: EndpointId, outcome: Outcome, out: &mut Vec<Output>) {
        if !self.is_current(id) {
            return;
        }
        let endpoint = &mut self.table[id.index as usize];
        let failing = endpoint.finish(now, outcome, &self.config);
        if endpoint.open && failing && self.may_eject(now, id.index) {
            let endpoint = &mut self.table[id.index as usize];
            let until = endpoint.eject(now, &self.config);
            let worker = endpoint.offer.worker.clone();
            out.push(Output::Ejected { worker, until });
        }
        self.release(id.index);
    }

    /// Whether one more endpoint of the same service may be ejected.
    fn may_eject(&self, now: Time, index: u32) -> bool {
        let key = &self.table[index as usize].offer.service;
        let Some(service) = self.services.get(key) else {
            return false;
        };
        let ejected = self.ejected(now, service).count();
        ejected < self.allowed(service)
    }

    /// Endpoints of a service that may be ejected at once.
    fn allowed(&self, service: &Service) -> usize {
        service.all().count() * self.config.ejected_percent.min(100) as usize / 100
    }

    fn ejected(&self, now: Time, service: &Service) -> impl Iterator<Item = u32> {
        let ejected = move |&i: &u32| self.table[i as usize].is_ejected(now);
        service.all().filter(ejected)
    }

    /// Ends the oldest ejections when others have left, so that the floor holds.
    fn restore_floor(&mut self, now: Time, key: &ServiceKey) {
        while let Some(index) = self.first_above_floor(now, key) {
            self.table[index as usize].restore(now);
        }
    }

    fn first_above_floor(&self, now: Time, key: &ServiceKey) -> Option<u32> {
        let service = self.services.get(key)?;
        if self.ejected(now, service).count() <= self.allowed(service) {
            return None;
        }
        let until = |&i: &u32| self.table[i as usize].ejected_until();
        self.ejected(now, service).min_by_key(until)
    }
}
