//! The duty's state: membership, routing, links by worker and owners of keys.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError};
use parsleytally::configs::{MembershipConfig, RoutingConfig};
use parsleytally::idempotency::{AgentChange, KeyHash, KeyOwners, RouteError};
use parsleytally::membership::{
    self, Announcement, Heartbeat, Member, Membership, Output as News, Peer, State,
};
use parsleytally::routing::{
    self, EndpointId, LatencyTwoChoices, NoEndpoint, Offer, Outcome, Output as Routed, Router,
};
use parsleytally::settings::Part;
use parsleytally::types::{NodeName, Revision, ServiceKey, Time};
use parsleytally_link::{Calls, Frame, Hello};
use parsleytally_platform::process::Clock;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{DirectoryRing, Input, Owner, PickError, Route, WorkerView};
use crate::metrics::Metrics;

/// Time between two looks at the deadlines of workers.
const TICK: Duration = Duration::from_millis(100);

/// A worker whose agent has a link to this entry.
struct Worker {
    calls: Arc<Calls>,
    service: ServiceKey,
    revision: Revision,
}

pub(super) struct Duty {
    ring: DirectoryRing,
    clock: Clock,
    ticked: Time,
    membership: Membership,
    router: Router,
    rng: SmallRng,
    workers: BTreeMap<NodeName, Worker>,
    owners: BTreeMap<ServiceKey, KeyOwners>,
    ttl: Duration,
    metrics: Metrics,
}

/// Takes inputs until [`Input::Close`].
pub(super) fn run(duty: &Mutex<Duty>, inputs: &Receiver<Input>) {
    loop {
        let input = inputs.recv_timeout(TICK);
        let mut duty = duty.lock().unwrap_or_else(PoisonError::into_inner);
        match input {
            Ok(Input::Close) | Err(RecvTimeoutError::Disconnected) => return,
            Ok(input) => duty.take(input),
            Err(RecvTimeoutError::Timeout) => {}
        }
        duty.tick();
    }
}

impl Duty {
    pub(super) fn new(hello: &Hello, ring: DirectoryRing, ttl: Duration, metrics: Metrics) -> Self {
        let own = Peer {
            zone: hello.zone.clone(),
            name: hello.node.clone(),
        };
        let policy = Box::new(LatencyTwoChoices);
        Self {
            ring,
            clock: Clock::start(),
            ticked: Time::ZERO,
            membership: Membership::new(MembershipConfig::default(), own, hello.incarnation),
            router: Router::new(RoutingConfig::default(), hello.zone.clone(), policy),
            rng: SmallRng::from_os_rng(),
            workers: BTreeMap::new(),
            owners: BTreeMap::new(),
            ttl,
            metrics,
        }
    }

    /// Looks at the deadlines of workers when a tick is due.
    fn tick(&mut self) {
        if self.clock.now().since(self.ticked) >= TICK {
            self.ticked = self.clock.now();
            self.hear(membership::Input::Tick);
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Up(calls, offer) => self.up(calls, offer),
            Input::Beat(beat) => self.beat(beat),
            Input::InForce(calls, revision) => self.in_force(&calls, revision),
            Input::Down(calls) => self.down(&calls),
            Input::Settings(parts) => self.tell(&parts),
            Input::List(reply) => {
                let _ = reply.send(self.list());
            }
            Input::Close => {}
        }
    }

    fn up(&mut self, calls: Arc<Calls>, offer: Announcement) {
        let peer = calls.link().peer();
        let name = peer.node.clone();
        if let Some(old) = self.workers.get(&name) {
            if old.calls.link().peer().incarnation > peer.incarnation {
                return;
            }
            if old.service != offer.service {
                let former = old.service.clone();
                self.change(&former, AgentChange::Lost { node: name.clone() });
            }
        }
        log::info!("worker {name} announced service {}", offer.service);
        let joined = AgentChange::Joined {
            node: name.clone(),
            incarnation: peer.incarnation,
            age: Duration::from_micros(offer.uptime_us),
        };
        self.change(&offer.service, joined);
        let worker = Worker {
            calls,
            service: offer.service.clone(),
            revision: Revision(0),
        };
        self.workers.insert(name, worker);
        self.hear(membership::Input::Announced(offer));
    }

    fn beat(&mut self, beat: Heartbeat) {
        let report = routing::Input::Reported {
            worker: &beat.worker,
            incarnation: beat.incarnation,
            load: beat.load,
        };
        let now = self.clock.now();
        let mut out = Vec::new();
        self.router.step(now, report, &mut self.rng, &mut out);
        self.hear(membership::Input::Heartbeat(beat));
    }

    fn in_force(&mut self, calls: &Arc<Calls>, revision: Revision) {
        let worker = self.workers.get_mut(&calls.link().peer().node);
        if let Some(worker) = worker.filter(|worker| Arc::ptr_eq(&worker.calls, calls)) {
            worker.revision = worker.revision.max(revision);
        }
    }

    fn down(&mut self, calls: &Arc<Calls>) {
        let peer = calls.link().peer();
        let known = self.workers.get(&peer.node);
        if !known.is_some_and(|worker| Arc::ptr_eq(&worker.calls, calls)) {
            return;
        }
        if let Some(worker) = self.workers.remove(&peer.node) {
            let node = peer.node.clone();
            self.change(&worker.service, AgentChange::Lost { node });
        }
        self.hear(membership::Input::LinkLost {
            worker: peer.node.clone(),
            incarnation: peer.incarnation,
        });
    }

    /// Passes `input` to membership and follows what comes of it.
    fn hear(&mut self, input: membership::Input) {
        let mut out = Vec::new();
        self.membership.step(self.clock.now(), input, &mut out);
        for news in out {
            self.follow(news);
        }
        let stale = self.membership.counters().stale;
        let stale = i64::try_from(stale).unwrap_or(i64::MAX);
        self.metrics.stale_updates.set(stale);
    }

    fn follow(&mut self, news: News) {
        match news {
            News::StateChanged { worker, from, to } => self.changed(&worker, from, to),
            News::OfferChanged { worker } => self.offer(&worker),
            News::Refused(refusal) => log::warn!("news is refused: {refusal}"),
            // The announcement is the first frame of every link.
            News::RequestAnnouncement { worker } => {
                log::debug!("{worker} has not announced itself");
            }
            News::SendDigest { peer, .. } => log::debug!("no link to entry {peer}"),
        }
    }

    fn changed(&mut self, worker: &NodeName, from: State, to: State) {
        log::info!("worker {worker} is {to}");
        if to == State::Leaving
            && let Some(known) = self.workers.get(worker)
        {
            let service = known.service.clone();
            let node = worker.clone();
            self.change(&service, AgentChange::Leaving { node });
        }
        if to == State::Ready {
            self.offer(worker);
        } else if from == State::Ready {
            self.route(routing::Input::Withdrawn { worker });
        }
        match (from, to) {
            (_, State::Ready) => self.metrics.endpoints.inc(),
            (State::Ready, _) => self.metrics.endpoints.dec(),
            _ => {}
        }
    }

    /// Lets routing choose a worker's endpoint.
    fn offer(&mut self, worker: &NodeName) {
        let offer = self.membership.member(worker).and_then(Member::offer);
        let Some(offer) = offer else { return };
        let offer = Offer {
            worker: offer.worker.clone(),
            incarnation: offer.incarnation,
            service: offer.service.clone(),
            zone: offer.zone.clone(),
            slots: offer.slots,
            connections: offer.connections,
        };
        self.route(routing::Input::Offered(offer));
    }

    fn route(&mut self, input: routing::Input<'_>) {
        let mut out = Vec::new();
        let now = self.clock.now();
        self.router.step(now, input, &mut self.rng, &mut out);
        for output in out {
            if let Routed::Ejected { worker, .. } = output {
                self.metrics.ejected.inc();
                log::info!("endpoint of worker {worker} is ejected");
            }
        }
    }

    pub(super) fn done(&mut self, endpoint: EndpointId, outcome: Outcome) {
        self.route(routing::Input::Done { endpoint, outcome });
    }

    /// Tells a service's owners of keys about a change.
    fn change(&mut self, service: &ServiceKey, change: AgentChange) {
        let ttl = self.ttl;
        let owners = self
            .owners
            .entry(service.clone())
            .or_insert_with(|| KeyOwners::new(ttl));
        owners.step(self.clock.now(), change);
    }

    pub(super) fn pick_owner(
        &mut self,
        service: &ServiceKey,
        key: KeyHash,
    ) -> Result<Owner, PickError> {
        let Some(owners) = self.owners.get_mut(service) else {
            return Err(PickError::UnknownService);
        };
        let route = owners
            .route(self.clock.now(), key)
            .map_err(|error| match error {
                RouteError::NoAgent => PickError::NoneReady,
                RouteError::AgentLost { retry_after } => PickError::KeyLost { retry_after },
            })?;
        let calls = |node: &NodeName| {
            let worker = self.workers.get(node);
            worker.map(|worker| worker.calls.clone())
        };
        let fences = route.to_fence.iter().map(calls).collect::<Option<_>>();
        let fences = fences.ok_or(PickError::NoneReady)?;
        let calls = calls(&route.owner).ok_or(PickError::NoneReady)?;
        let route = match self.router.claim(&route.owner) {
            Some(picked) => Route::new(calls, picked.endpoint, self.ring.clone()),
            None => Route::uncounted(calls),
        };
        Ok(Owner { route, fences })
    }

    pub(super) fn pick(
        &mut self,
        service: &ServiceKey,
        refused: &[EndpointId],
    ) -> Result<Route, PickError> {
        loop {
            let now = self.clock.now();
            let picked = self.router.pick(now, service, refused, &mut self.rng);
            let picked = picked.map_err(|reason| self.refuse(service, reason))?;
            let worker = self.workers.get(&picked.worker);
            let calls = worker.map(|worker| worker.calls.clone());
            match calls {
                Some(calls) if !calls.link().is_closed() => {
                    return Ok(Route::new(calls, picked.endpoint, self.ring.clone()));
                }
                lost => self.lost(&picked, lost.as_ref()),
            }
        }
    }

    /// Notes that the link of a picked endpoint is closed, before it was reported.
    fn lost(&mut self, picked: &routing::Picked, calls: Option<&Arc<Calls>>) {
        self.done(picked.endpoint, Outcome::Abandoned);
        if let Some(calls) = calls {
            self.down(calls);
        }
        let worker = &picked.worker;
        self.route(routing::Input::Withdrawn { worker });
    }

    fn refuse(&self, service: &ServiceKey, reason: NoEndpoint) -> PickError {
        match reason {
            NoEndpoint::Unknown if !self.owners.contains_key(service) => PickError::UnknownService,
            NoEndpoint::Unknown | NoEndpoint::NoRoom => PickError::NoneReady,
        }
    }

    fn tell(&self, parts: &[Part]) {
        for worker in self.workers.values() {
            tell_worker(&worker.calls, parts);
        }
    }

    fn list(&self) -> Vec<WorkerView> {
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

/// Passes settings on; a worker that misses a part asks for it.
fn tell_worker(calls: &Calls, parts: &[Part]) {
    for part in parts {
        if let Err(error) = calls.link().send(Frame::Settings(part.clone())) {
            log::debug!("settings were not sent: {error}");
            return;
        }
    }
}
