//! The membership state machine of one entry.

use std::collections::{BTreeMap, BTreeSet};

use super::digest::{RemoteEntries, build_page};
use super::{
    Announcement, Digest, Heartbeat, Input, MAX_PEERS, Member, Output, Peer, Refusal,
    ServiceCapacity, State, service_hash,
};
use crate::configs::MembershipConfig;
use crate::types::{Incarnation, NodeName, ServiceKey, Time, ZoneName};

/// Message counts since the start of the entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Duplicate or late messages, messages of an earlier incarnation and digests of this
    /// entry's own zone.
    pub stale: u64,
    /// Messages and peers that were refused.
    pub refused: u64,
}

/// Workers known to one entry, and the services of other zones.
#[derive(Debug)]
pub struct Membership {
    config: MembershipConfig,
    own: Peer,
    incarnation: Incarnation,
    members: BTreeMap<NodeName, Member>,
    peers: BTreeSet<Peer>,
    remote_entries: RemoteEntries,
    /// Hash at which the next digest page for each zone starts.
    next_pages: BTreeMap<ZoneName, u64>,
    digest_version: u64,
    /// Round-robin position over the other zones and their entries.
    next_target: usize,
    digests_sent_at: Time,
    counters: Counters,
}

impl Membership {
    /// Creates the empty membership of the entry `own` with the given incarnation.
    pub fn new(config: MembershipConfig, own: Peer, incarnation: Incarnation) -> Self {
        Self {
            config,
            own,
            incarnation,
            members: BTreeMap::new(),
            peers: BTreeSet::new(),
            remote_entries: RemoteEntries::default(),
            next_pages: BTreeMap::new(),
            digest_version: 0,
            next_target: 0,
            digests_sent_at: Time::ZERO,
            counters: Counters::default(),
        }
    }

    /// The record of a worker.
    pub fn member(&self, worker: &NodeName) -> Option<&Member> {
        self.members.get(worker)
    }

    /// All records, ordered by worker name.
    pub fn members(&self) -> impl Iterator<Item = (&NodeName, &Member)> {
        self.members.iter()
    }

    /// The entry of another zone that reports the most free slots for a service, its zone and
    /// the reported capacity; `None` if no zone reports a ready endpoint.
    pub fn remote_with_most_free_slots(
        &self,
        key: &ServiceKey,
    ) -> Option<(&NodeName, &ZoneName, ServiceCapacity)> {
        self.remote_entries.with_most_free_slots(service_hash(key))
    }

    /// Message counts since the start of the entry.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Processes one event and appends its effects to `out`.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Announced(offer) => self.announced(now, &offer, out),
            Input::Heartbeat(heartbeat) => self.heartbeat(now, &heartbeat, out),
            Input::LinkLost {
                worker,
                incarnation,
            } => self.link_lost(now, &worker, incarnation, out),
            Input::PeerUp(peer) => self.peer_up(peer, out),
            Input::PeerLost(peer) => {
                self.peers.remove(&peer);
            }
            Input::Digest(digest) => self.digest(now, digest, out),
            Input::Tick => self.tick(now, out),
        }
    }

    fn announced(&mut self, now: Time, offer: &Announcement, out: &mut Vec<Output>) {
        let Some(member) = self.find_or_add(now, &offer.worker, offer.incarnation, out) else {
            return;
        };
        let is_newer = member.apply_announcement(now, offer);
        let previous = member.state;
        self.counters.stale += u64::from(!is_newer);
        self.refresh_state(now, &offer.worker, out);
        let current = self.members[&offer.worker].state;
        if is_newer && previous == State::Ready && current == State::Ready {
            out.push(Output::OfferChanged {
                worker: offer.worker.clone(),
            });
        }
    }

    fn heartbeat(&mut self, now: Time, heartbeat: &Heartbeat, out: &mut Vec<Output>) {
        let Some(member) = self.find_or_add(now, &heartbeat.worker, heartbeat.incarnation, out)
        else {
            return;
        };
        let is_newer = member.apply_heartbeat(now, heartbeat);
        if is_newer && member.offer().is_none() {
            out.push(Output::RequestAnnouncement {
                worker: heartbeat.worker.clone(),
            });
        }
        self.counters.stale += u64::from(!is_newer);
        self.refresh_state(now, &heartbeat.worker, out);
    }

    fn link_lost(
        &mut self,
        now: Time,
        worker: &NodeName,
        incarnation: Incarnation,
        out: &mut Vec<Output>,
    ) {
        if let Some(member) = self.members.get_mut(worker) {
            member.mark_link_lost(incarnation);
            self.refresh_state(now, worker, out);
        }
    }

    fn find_or_add(
        &mut self,
        now: Time,
        worker: &NodeName,
        incarnation: Incarnation,
        out: &mut Vec<Output>,
    ) -> Option<&mut Member> {
        let limit = self.config.max_members;
        if !self.members.contains_key(worker) && self.members.len() >= limit {
            self.refuse(Refusal::TooManyMembers { limit }, out);
            return None;
        }
        let member = self.members.entry(worker.clone());
        Some(member.or_insert_with(|| Member::new(incarnation, now)))
    }

    /// Updates a worker's state and reports a change.
    fn refresh_state(&mut self, now: Time, worker: &NodeName, out: &mut Vec<Output>) {
        if let Some(member) = self.members.get_mut(worker) {
            update_state(now, &self.config, worker, member, out);
        }
    }

    fn peer_up(&mut self, peer: Peer, out: &mut Vec<Output>) {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains(&peer) {
            self.refuse(Refusal::TooManyPeers { limit: MAX_PEERS }, out);
            return;
        }
        if peer != self.own {
            self.peers.insert(peer);
        }
    }

    fn refuse(&mut self, refusal: Refusal, out: &mut Vec<Output>) {
        self.counters.refused += 1;
        out.push(Output::Refused(refusal));
    }

    fn digest(&mut self, now: Time, digest: Digest, out: &mut Vec<Output>) {
        if digest.origin.zone == self.own.zone {
            self.counters.stale += 1;
            return;
        }
        match self.remote_entries.accept(now, &digest) {
            Ok(true) => self.relay(digest, out),
            Ok(false) => self.counters.stale += 1,
            Err(refusal) => self.refuse(refusal, out),
        }
    }

    /// Forwards a digest that came directly from another zone to the entries of this zone.
    fn relay(&self, mut digest: Digest, out: &mut Vec<Output>) {
        if digest.relayed_in_zone {
            return;
        }
        digest.relayed_in_zone = true;
        let zone_peers = self.peers.iter().filter(|peer| peer.zone == self.own.zone);
        out.extend(zone_peers.map(|peer| Output::SendDigest {
            peer: peer.name.clone(),
            digest: digest.clone(),
        }));
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        for (worker, member) in &mut self.members {
            update_state(now, &self.config, worker, member, out);
        }
        let forget_after = self.config.forget_after;
        let is_kept =
            |m: &Member| m.state != State::Down || now.since(m.last_message_at()) < forget_after;
        self.members.retain(|_, member| is_kept(member));
        self.remote_entries.expire(now, &self.config);
        if now.since(self.digests_sent_at) >= self.config.digest_every {
            self.digests_sent_at = now;
            self.send_digests(out);
        }
    }

    /// Sends one page of this zone's services to each of the next `fanout` zones, if this entry
    /// is its zone's sender.
    fn send_digests(&mut self, out: &mut Vec<Output>) {
        if !self.is_digest_sender() {
            return;
        }
        let targets = self.next_targets();
        if targets.is_empty() {
            return;
        }
        let services = self.capacity_by_service();
        for peer in targets {
            let next_page = self.next_pages.entry(peer.zone).or_default();
            let (hash_range, rows, next) = build_page(&services, *next_page);
            *next_page = next;
            self.digest_version += 1;
            let digest = Digest {
                origin: self.own.clone(),
                incarnation: self.incarnation,
                version: self.digest_version,
                relayed_in_zone: false,
                hash_range,
                rows,
            };
            out.push(Output::SendDigest {
                peer: peer.name,
                digest,
            });
        }
    }

    /// Whether this entry sends its zone's digests: it has the lowest name of the zone's
    /// reachable entries.
    fn is_digest_sender(&self) -> bool {
        let mut zone_peers = self.peers.iter().filter(|peer| peer.zone == self.own.zone);
        zone_peers.all(|peer| self.own.name < peer.name)
    }

    /// Selects the next `fanout` zones in round-robin order and one entry of each, which also
    /// rotates.
    fn next_targets(&mut self) -> Vec<Peer> {
        let mut zones = BTreeMap::<&ZoneName, Vec<&Peer>>::new();
        for peer in &self.peers {
            if peer.zone != self.own.zone {
                zones.entry(&peer.zone).or_default().push(peer);
            }
        }
        let fanout = self.config.fanout.min(zones.len());
        let start = self.next_target;
        self.next_target = self.next_target.wrapping_add(fanout);
        let zones: Vec<_> = zones.into_values().collect();
        (start..start + fanout)
            .map(|target| {
                let entries = &zones[target % zones.len()];
                entries[target / zones.len() % entries.len()].clone()
            })
            .collect()
    }

    /// Capacity of this zone's ready workers by the hash of their service.
    fn capacity_by_service(&self) -> BTreeMap<u64, ServiceCapacity> {
        let mut services = BTreeMap::<u64, ServiceCapacity>::new();
        let ready = self.members.values().filter(|m| m.state == State::Ready);
        for member in ready {
            let Some(offer) = member.offer() else {
                continue;
            };
            if offer.zone != self.own.zone {
                continue;
            }
            let capacity = services.entry(service_hash(&offer.service)).or_default();
            capacity.ready_endpoints = capacity.ready_endpoints.saturating_add(1);
            let free = offer.slots.saturating_sub(member.load().outstanding);
            capacity.free_slots = capacity.free_slots.saturating_add(free);
        }
        services
    }
}

/// Sets the member's state as of `now` and reports a change.
fn update_state(
    now: Time,
    config: &MembershipConfig,
    worker: &NodeName,
    member: &mut Member,
    out: &mut Vec<Output>,
) {
    let from = member.state;
    let to = member.state_at(now, config);
    if from == to {
        return;
    }
    member.state = to;
    out.push(Output::StateChanged {
        worker: worker.clone(),
        from,
        to,
    });
}
