//! The actor's state: membership, routing, links by worker, and owners of idempotency keys.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError};
use parsleytally::configs::{MembershipConfig, RoutingConfig};
use parsleytally::idempotency::{AgentChange, KeyHash, KeyOwners, RouteError};
use parsleytally::membership::{
    self, Announcement, Heartbeat, Member, Membership, Output as MembershipOutput, Peer, State,
};
use parsleytally::routing::{
    self, EndpointId, EndpointInfo, LatencyTwoChoices, NoEndpoint, Outcome,
    Output as RoutingOutput, Router,
};
use parsleytally::settings::Part;
use parsleytally::types::{NodeName, Revision, ServiceKey, Time};
use parsleytally_link::{Calls, Frame, Hello};
use parsleytally_platform::process::Clock;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{DirectoryHandle, Input, KeyOwner, PickError, Route, WorkerView};
use crate::metrics::Metrics;

/// Time between two checks of the workers' deadlines.
const TICK: Duration = Duration::from_millis(100);

/// A worker whose agent has a link to this entry.
struct Worker {
    calls: Arc<Calls>,
    service: ServiceKey,
    revision: Revision,
}

/// Combines membership, routing and the owners of idempotency keys.
pub(super) struct DirectoryActor {
    handle: DirectoryHandle,
    clock: Clock,
    last_tick: Time,
    membership: Membership,
    router: Router,
    rng: SmallRng,
    workers: BTreeMap<NodeName, Worker>,
    key_owners: BTreeMap<ServiceKey, KeyOwners>,
    key_ttl: Duration,
    metrics: Metrics,
}

/// Handles inputs until [`Input::Close`].
pub(super) fn run(actor: &Mutex<DirectoryActor>, inputs: &Receiver<Input>) {
    loop {
        let input = inputs.recv_timeout(TICK);
        let mut actor = actor.lock().unwrap_or_else(PoisonError::into_inner);
        match input {
            Ok(Input::Close) | Err(RecvTimeoutError::Disconnected) => return,
            Ok(input) => actor.handle_input(input),
            Err(RecvTimeoutError::Timeout) => {}
        }
        actor.tick();
    }
}

impl DirectoryActor {
    pub(super) fn new(
        hello: &Hello,
        handle: DirectoryHandle,
        key_ttl: Duration,
        metrics: Metrics,
    ) -> Self {
        let own = Peer {
            zone: hello.zone.clone(),
            name: hello.node.clone(),
        };
        let policy = Box::new(LatencyTwoChoices);
        Self {
            handle,
            clock: Clock::start(),
            last_tick: Time::ZERO,
            membership: Membership::new(MembershipConfig::default(), own, hello.incarnation),
            router: Router::new(RoutingConfig::default(), hello.zone.clone(), policy),
            rng: SmallRng::from_os_rng(),
            workers: BTreeMap::new(),
            key_owners: BTreeMap::new(),
            key_ttl,
            metrics,
        }
    }

    /// Checks the workers' deadlines if a tick is due.
    fn tick(&mut self) {
        if self.clock.now().since(self.last_tick) >= TICK {
            self.last_tick = self.clock.now();
            self.step_membership(membership::Input::Tick);
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Announced(calls, announcement) => self.announced(calls, announcement),
            Input::Heartbeat(heartbeat) => self.heartbeat(heartbeat),
            Input::InForce(calls, revision) => self.settings_in_force(&calls, revision),
            Input::LinkClosed(calls) => self.link_closed(&calls),
            Input::Settings(parts) => self.send_settings(&parts),
            Input::List(reply) => {
                let _ = reply.send(self.list_workers());
            }
            Input::Close => {}
        }
    }

    fn announced(&mut self, calls: Arc<Calls>, announcement: Announcement) {
        let peer = calls.link().peer();
        let name = peer.node.clone();
        if let Some(old) = self.workers.get(&name) {
            if old.calls.link().peer().incarnation > peer.incarnation {
                return;
            }
            if old.service != announcement.service {
                let former = old.service.clone();
                self.update_key_owners(&former, AgentChange::Lost { node: name.clone() });
            }
        }
        log::info!("worker {name} announced service {}", announcement.service);
        let joined = AgentChange::Joined {
            node: name.clone(),
            incarnation: peer.incarnation,
            age: Duration::from_micros(announcement.uptime_us),
        };
        self.update_key_owners(&announcement.service, joined);
        let worker = Worker {
            calls,
            service: announcement.service.clone(),
            revision: Revision(0),
        };
        self.workers.insert(name, worker);
        self.step_membership(membership::Input::Announced(announcement));
    }

    fn heartbeat(&mut self, heartbeat: Heartbeat) {
        let report = routing::Input::LoadReported {
            worker: &heartbeat.worker,
            incarnation: heartbeat.incarnation,
            load: heartbeat.load,
        };
        let now = self.clock.now();
        let mut out = Vec::new();
        self.router.step(now, report, &mut self.rng, &mut out);
        self.step_membership(membership::Input::Heartbeat(heartbeat));
    }

    fn settings_in_force(&mut self, calls: &Arc<Calls>, revision: Revision) {
        let worker = self.workers.get_mut(&calls.link().peer().node);
        if let Some(worker) = worker.filter(|worker| Arc::ptr_eq(&worker.calls, calls)) {
            worker.revision = worker.revision.max(revision);
        }
    }

    fn link_closed(&mut self, calls: &Arc<Calls>) {
        let peer = calls.link().peer();
        let known = self.workers.get(&peer.node);
        if !known.is_some_and(|worker| Arc::ptr_eq(&worker.calls, calls)) {
            return;
        }
        if let Some(worker) = self.workers.remove(&peer.node) {
            let node = peer.node.clone();
            self.update_key_owners(&worker.service, AgentChange::Lost { node });
        }
        self.step_membership(membership::Input::LinkLost {
            worker: peer.node.clone(),
            incarnation: peer.incarnation,
        });
    }

    /// Steps membership and handles its outputs.
    fn step_membership(&mut self, input: membership::Input) {
        let mut out = Vec::new();
        self.membership.step(self.clock.now(), input, &mut out);
        for output in out {
            self.handle_output(output);
        }
        let stale = self.membership.counters().stale;
        let stale = i64::try_from(stale).unwrap_or(i64::MAX);
        self.metrics.stale_updates.set(stale);
    }

    fn handle_output(&mut self, output: MembershipOutput) {
        match output {
            MembershipOutput::StateChanged { worker, from, to } => {
                self.state_changed(&worker, from, to);
            }
            MembershipOutput::OfferChanged { worker } => self.offer_endpoint(&worker),
            MembershipOutput::Refused(refusal) => {
                log::warn!("membership update is refused: {refusal}");
            }
            // Only logged: the announcement is the first frame of every link.
            MembershipOutput::RequestAnnouncement { worker } => {
                log::debug!("announcement of worker {worker} is missing");
            }
            MembershipOutput::SendDigest { peer, .. } => {
                log::debug!("digest is not sent: no link to entry {peer}");
            }
        }
    }

    fn state_changed(&mut self, worker: &NodeName, from: State, to: State) {
        log::info!("worker {worker} is {to}");
        if to == State::Leaving
            && let Some(known) = self.workers.get(worker)
        {
            let service = known.service.clone();
            let node = worker.clone();
            self.update_key_owners(&service, AgentChange::Leaving { node });
        }
        if to == State::Ready {
            self.offer_endpoint(worker);
        } else if from == State::Ready {
            self.step_router(routing::Input::Withdrawn { worker });
        }
        match (from, to) {
            (_, State::Ready) => self.metrics.endpoints.inc(),
            (State::Ready, _) => self.metrics.endpoints.dec(),
            _ => {}
        }
    }

    /// Offers a worker's endpoint to the router.
    fn offer_endpoint(&mut self, worker: &NodeName) {
        let offer = self.membership.member(worker).and_then(Member::offer);
        let Some(offer) = offer else { return };
        let offer = EndpointInfo {
            worker: offer.worker.clone(),
            incarnation: offer.incarnation,
            service: offer.service.clone(),
            zone: offer.zone.clone(),
            slots: offer.slots,
            connections: offer.connections,
        };
        self.step_router(routing::Input::Announced(offer));
    }

    fn step_router(&mut self, input: routing::Input<'_>) {
        let mut out = Vec::new();
        let now = self.clock.now();
        self.router.step(now, input, &mut self.rng, &mut out);
        for output in out {
            if let RoutingOutput::Ejected { worker, .. } = output {
                self.metrics.ejected.inc();
                log::info!("endpoint of worker {worker} is ejected");
            }
        }
    }

    pub(super) fn done(&mut self, endpoint: EndpointId, outcome: Outcome) {
        self.step_router(routing::Input::Done { endpoint, outcome });
    }

    /// Applies a change of an agent to the key owners of its service.
    fn update_key_owners(&mut self, service: &ServiceKey, change: AgentChange) {
        let key_ttl = self.key_ttl;
        let owners = self
            .key_owners
            .entry(service.clone())
            .or_insert_with(|| KeyOwners::new(key_ttl));
        owners.step(self.clock.now(), change);
    }

    pub(super) fn pick_owner(
        &mut self,
        service: &ServiceKey,
        key: KeyHash,
    ) -> Result<KeyOwner, PickError> {
        let Some(owners) = self.key_owners.get_mut(service) else {
            return Err(PickError::UnknownService);
        };
        let route = owners
            .route(self.clock.now(), key)
            .map_err(|error| match error {
                RouteError::NoAgent => PickError::NoneReady,
                RouteError::AgentLost { retry_after } => PickError::AgentLost { retry_after },
            })?;
        let calls = |node: &NodeName| {
            let worker = self.workers.get(node);
            worker.map(|worker| worker.calls.clone())
        };
        let to_fence = route.to_fence.iter().map(calls).collect::<Option<_>>();
        let to_fence = to_fence.ok_or(PickError::NoneReady)?;
        let calls = calls(&route.owner).ok_or(PickError::NoneReady)?;
        let route = match self.router.pick_worker(&route.owner) {
            Some(picked) => Route::new(calls, picked.endpoint, self.handle.clone()),
            None => Route::uncounted(calls),
        };
        Ok(KeyOwner { route, to_fence })
    }

    pub(super) fn pick(
        &mut self,
        service: &ServiceKey,
        refused: &[EndpointId],
    ) -> Result<Route, PickError> {
        loop {
            let now = self.clock.now();
            let picked = self.router.pick(now, service, refused, &mut self.rng);
            let picked = picked.map_err(|reason| self.pick_error(service, reason))?;
            let worker = self.workers.get(&picked.worker);
            let calls = worker.map(|worker| worker.calls.clone());
            match calls {
                Some(calls) if !calls.link().is_closed() => {
                    return Ok(Route::new(calls, picked.endpoint, self.handle.clone()));
                }
                closed => self.withdraw_closed(&picked, closed.as_ref()),
            }
        }
    }

    /// Withdraws a picked endpoint whose link is already removed, or closed while its
    /// [`Input::LinkClosed`] has not arrived.
    fn withdraw_closed(&mut self, picked: &routing::Picked, calls: Option<&Arc<Calls>>) {
        self.done(picked.endpoint, Outcome::Abandoned);
        if let Some(calls) = calls {
            self.link_closed(calls);
        }
        let worker = &picked.worker;
        self.step_router(routing::Input::Withdrawn { worker });
    }

    fn pick_error(&self, service: &ServiceKey, reason: NoEndpoint) -> PickError {
        match reason {
            NoEndpoint::Unknown if !self.key_owners.contains_key(service) => {
                PickError::UnknownService
            }
            NoEndpoint::Unknown | NoEndpoint::NoCapacity => PickError::NoneReady,
        }
    }

    fn send_settings(&self, parts: &[Part]) {
        for worker in self.workers.values() {
            send_parts(&worker.calls, parts);
        }
    }

    fn list_workers(&self) -> Vec<WorkerView> {
        let members = self.membership.members();
        members
            .filter(|(_, member)| member.state() != State::Down)
            .filter_map(|(name, member)| self.view(name, member))
            .collect()
    }

    fn view(&self, name: &NodeName, member: &Member) -> Option<WorkerView> {
        let offer = member.offer()?;
        let revision = self.workers.get(name).map(|worker| worker.revision);
        Some(WorkerView {
            worker: name.clone(),
            zone: offer.zone.to_string(),
            rack: offer.rack.to_string(),
            service: offer.service.to_string(),
            state: member.state().to_string(),
            busy: member.load().outstanding,
            slots: offer.slots,
            capacity: offer.capacity.to_string(),
            settings: revision.unwrap_or_default().0,
        })
    }
}

/// Sends settings to a worker, which requests a part that it misses.
fn send_parts(calls: &Calls, parts: &[Part]) {
    for part in parts {
        if let Err(error) = calls.link().send(Frame::Settings(part.clone())) {
            log::debug!("could not send settings: {error}");
            return;
        }
    }
}
