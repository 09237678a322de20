//! State machine that picks endpoints and tracks their load and failures.

use std::collections::HashMap;

use rand::RngCore;

use super::endpoint::{Endpoint, EndpointId};
use super::policy::{Bound, Candidates, Policy};
use super::{EndpointInfo, Input, NoEndpoint, Outcome, Output, Picked};
use crate::configs::RoutingConfig;
use crate::types::{NodeName, ServiceKey, Time, ZoneName};

/// Indices of the announced endpoints of one service, by own and other zones.
#[derive(Debug, Default)]
struct ServiceEndpoints {
    local: Vec<u32>,
    remote: Vec<u32>,
    pick_count: u64,
}

impl ServiceEndpoints {
    fn all(&self) -> impl Iterator<Item = u32> {
        self.local.iter().chain(&self.remote).copied()
    }
}

/// Picks endpoints for the requests of one entry.
#[derive(Debug)]
pub struct Router {
    config: RoutingConfig,
    zone: ZoneName,
    policy: Box<dyn Policy>,
    endpoints: Vec<Endpoint>,
    free_indices: Vec<u32>,
    index_by_worker: HashMap<NodeName, u32>,
    services: HashMap<ServiceKey, ServiceEndpoints>,
}

impl Router {
    /// Creates a router for an entry in `zone`.
    pub fn new(config: RoutingConfig, zone: ZoneName, policy: Box<dyn Policy>) -> Self {
        Self {
            config,
            zone,
            policy,
            endpoints: Vec::new(),
            free_indices: Vec::new(),
            index_by_worker: HashMap::new(),
            services: HashMap::new(),
        }
    }

    /// Handles one event and appends its effects to `out`.
    pub fn step(
        &mut self,
        now: Time,
        input: Input<'_>,
        rng: &mut dyn RngCore,
        out: &mut Vec<Output>,
    ) {
        match input {
            Input::Announced(info) => self.announce(now, info),
            Input::Withdrawn { worker } => self.withdraw(now, worker),
            Input::LoadReported {
                worker,
                incarnation,
                load,
            } => {
                let endpoint = self
                    .index_by_worker
                    .get(worker)
                    .map(|&i| &mut self.endpoints[i as usize]);
                if let Some(endpoint) = endpoint.filter(|e| e.info.incarnation == incarnation) {
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
            Input::Done { endpoint, outcome } => self.finish_request(now, endpoint, outcome, out),
        }
    }

    /// Chooses an endpoint of `service` and counts the request as outstanding there.
    ///
    /// # Errors
    ///
    /// Returns [`NoEndpoint`] when no endpoint is known or none has free capacity; the
    /// request did not run.
    pub fn pick(
        &mut self,
        now: Time,
        service: &ServiceKey,
        avoid: &[EndpointId],
        rng: &mut dyn RngCore,
    ) -> Result<Picked, NoEndpoint> {
        let endpoints = self.services.get_mut(service).ok_or(NoEndpoint::Unknown)?;
        endpoints.pick_count += 1;
        let endpoints = &self.services[service];
        let index = self
            .choose_endpoint(now, endpoints, avoid, rng)
            .or_else(|| self.choose_endpoint(now, endpoints, &[], rng))
            .ok_or(NoEndpoint::NoCapacity)?;
        Ok(self.count_request(index))
    }

    /// Picks the endpoint of `worker`, even above its bounds, ejected or withdrawn.
    ///
    /// Returns `None` if the worker has no known endpoint.
    pub fn pick_worker(&mut self, worker: &NodeName) -> Option<Picked> {
        let index = *self.index_by_worker.get(worker)?;
        Some(self.count_request(index))
    }

    fn count_request(&mut self, index: u32) -> Picked {
        let endpoint = &mut self.endpoints[index as usize];
        endpoint.own_requests += 1;
        Picked {
            endpoint: EndpointId {
                index,
                generation: endpoint.generation,
            },
            worker: endpoint.info.worker.clone(),
            incarnation: endpoint.info.incarnation,
        }
    }

    /// Outstanding requests at a worker's endpoint that the router knows of.
    pub fn load(&self, worker: &NodeName) -> Option<u32> {
        let index = *self.index_by_worker.get(worker)?;
        Some(self.endpoints[index as usize].load())
    }

    /// Whether a worker's endpoint is ejected at `now`.
    pub fn is_ejected(&self, now: Time, worker: &NodeName) -> bool {
        let index = self.index_by_worker.get(worker);
        index.is_some_and(|&index| self.endpoints[index as usize].is_ejected(now))
    }

    /// Tries the tiers in order: free slots before free connections, own zone first.
    fn choose_endpoint(
        &self,
        now: Time,
        service: &ServiceEndpoints,
        avoid: &[EndpointId],
        rng: &mut dyn RngCore,
    ) -> Option<u32> {
        let tiers = [
            (Bound::Slots, &service.local),
            (Bound::Slots, &service.remote),
            (Bound::Connections, &service.local),
            (Bound::Connections, &service.remote),
        ];
        tiers.into_iter().find_map(|(bound, group)| {
            let candidates = Candidates {
                now,
                config: &self.config,
                endpoints: &self.endpoints,
                indices: group,
                avoid,
                bound,
                pick_count: service.pick_count,
            };
            let position = self.policy.choose(&candidates, rng)?;
            Some(group[position])
        })
    }

    fn is_current(&self, id: EndpointId) -> bool {
        let endpoint = self.endpoints.get(id.index as usize);
        endpoint.is_some_and(|endpoint| endpoint.generation == id.generation)
    }

    fn announce(&mut self, now: Time, info: EndpointInfo) {
        if let Some(&index) = self.index_by_worker.get(&info.worker) {
            let current = &mut self.endpoints[index as usize];
            let same_group = current.info.service == info.service && current.info.zone == info.zone;
            if current.info.incarnation == info.incarnation && same_group {
                let was_announced = current.announced;
                current.reannounce(now, info);
                if !was_announced {
                    self.add_candidate(index);
                }
                return;
            }
            self.withdraw(now, &info.worker);
            self.remove_worker(&info.worker);
        }
        let index = self.insert(now, info);
        let worker = self.endpoints[index as usize].info.worker.clone();
        self.index_by_worker.insert(worker, index);
        self.add_candidate(index);
    }

    /// Inserts an endpoint at a free index, or appends it.
    fn insert(&mut self, now: Time, info: EndpointInfo) -> u32 {
        if let Some(index) = self.free_indices.pop() {
            let endpoint = &mut self.endpoints[index as usize];
            *endpoint = Endpoint::new(now, info, endpoint.generation + 1);
            return index;
        }
        self.endpoints.push(Endpoint::new(now, info, 0));
        u32::try_from(self.endpoints.len() - 1).expect("fewer endpoints than u32::MAX")
    }

    /// Makes an endpoint a candidate of its service.
    fn add_candidate(&mut self, index: u32) {
        let info = &self.endpoints[index as usize].info;
        let service = self.services.entry(info.service.clone()).or_default();
        if info.zone == self.zone {
            service.local.push(index);
        } else {
            service.remote.push(index);
        }
    }

    /// Removes an endpoint from the candidates; its outstanding requests stay counted.
    fn withdraw(&mut self, now: Time, worker: &NodeName) {
        let Some(&index) = self.index_by_worker.get(worker) else {
            return;
        };
        let endpoint = &mut self.endpoints[index as usize];
        if !endpoint.announced {
            return;
        }
        endpoint.announced = false;
        let key = endpoint.info.service.clone();
        if let Some(service) = self.services.get_mut(&key) {
            service.local.retain(|&i| i != index);
            service.remote.retain(|&i| i != index);
            if service.all().next().is_none() {
                self.services.remove(&key);
            }
        }
        self.restore_excess(now, &key);
        self.remove_if_unused(index);
    }

    /// Removes an endpoint that was withdrawn and has no outstanding requests.
    fn remove_if_unused(&mut self, index: u32) {
        let endpoint = &self.endpoints[index as usize];
        if endpoint.announced || endpoint.own_requests > 0 {
            return;
        }
        let worker = endpoint.info.worker.clone();
        if self.index_by_worker.get(&worker) == Some(&index) {
            self.remove_worker(&worker);
        }
    }

    /// Removes a worker's endpoint; later ends of its outstanding requests are ignored.
    fn remove_worker(&mut self, worker: &NodeName) {
        if let Some(index) = self.index_by_worker.remove(worker) {
            self.endpoints[index as usize].generation += 1;
            self.free_indices.push(index);
        }
    }

    fn finish_request(
        &mut self,
        now: Time,
        id: EndpointId,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) {
        if !self.is_current(id) {
            return;
        }
        let endpoint = &mut self.endpoints[id.index as usize];
        let failing = endpoint.finish(now, outcome, &self.config);
        if endpoint.announced && failing && self.may_eject(now, id.index) {
            let endpoint = &mut self.endpoints[id.index as usize];
            let until = endpoint.eject(now, &self.config);
            let worker = endpoint.info.worker.clone();
            out.push(Output::Ejected { worker, until });
        }
        self.remove_if_unused(id.index);
    }

    /// Whether one more endpoint of the same service may be ejected.
    fn may_eject(&self, now: Time, index: u32) -> bool {
        let key = &self.endpoints[index as usize].info.service;
        let Some(service) = self.services.get(key) else {
            return false;
        };
        let ejected = self.ejected_endpoints(now, service).count();
        ejected < self.max_ejected(service)
    }

    /// Most endpoints of a service that may be ejected at the same time.
    fn max_ejected(&self, service: &ServiceEndpoints) -> usize {
        service.all().count() * self.config.ejected_percent.min(100) as usize / 100
    }

    fn ejected_endpoints(
        &self,
        now: Time,
        service: &ServiceEndpoints,
    ) -> impl Iterator<Item = u32> {
        let ejected = move |&i: &u32| self.endpoints[i as usize].is_ejected(now);
        service.all().filter(ejected)
    }

    /// Ends ejections above the maximum, which falls when endpoints are withdrawn.
    fn restore_excess(&mut self, now: Time, key: &ServiceKey) {
        while let Some(index) = self.first_excess(now, key) {
            self.endpoints[index as usize].restore(now);
        }
    }

    /// The ejected endpoint with the earliest end, if more than the maximum are ejected.
    fn first_excess(&self, now: Time, key: &ServiceKey) -> Option<u32> {
        let service = self.services.get(key)?;
        if self.ejected_endpoints(now, service).count() <= self.max_ejected(service) {
            return None;
        }
        let until = |&i: &u32| self.endpoints[i as usize].ejected_until();
        self.ejected_endpoints(now, service).min_by_key(until)
    }
}
