//! The state machine of membership.

use std::collections::{BTreeMap, BTreeSet};

use super::digest::{Remotes, cut_page};
use super::{
    Announcement, Digest, Heartbeat, Input, MAX_PEERS, Member, Output, Peer, Refusal,
    ServiceCapacity, State, service_hash,
};
use crate::configs::MembershipConfig;
use crate::types::{Incarnation, NodeName, ServiceKey, Time, ZoneName};

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages that were doubled, late or of an earlier life.
    pub stale: u64,
    /// Messages that were refused.
    pub refused: u64,
}

/// What one entry knows of workers and of other zones.
#[derive(Debug)]
pub struct Membership {
    config: MembershipConfig,
    own: Peer,
    incarnation: Incarnation,
    members: BTreeMap<NodeName, Member>,
    peers: BTreeSet<Peer>,
    remotes: Remotes,
    cursors: BTreeMap<ZoneName, u64>,
    version: u64,
    rounds: usize,
    sent: Time,
    counters: Counters,
}

impl Membership {
    /// Creates the membership of the entry `own` in its life `incarnation`.
    pub fn new(config: MembershipConfig, own: Peer, incarnation: Incarnation) -> Self {
        Self {
            config,
            own,
            incarnation,
            members: BTreeMap::new(),
            peers: BTreeSet::new(),
            remotes: Remotes::default(),
            cursors: BTreeMap::new(),
            version: 0,
            rounds: 0,
            sent: Time::ZERO,
            counters: Counters::default(),
        }
    }

    /// The record of a worker.
    pub fn member(&self, worker: &NodeName) -> Option<&Member> {
        self.members.get(worker)
    }

    /// All records, in the order of names.
    pub fn members(&self) -> impl Iterator<Item = (&NodeName, &Member)> {
        self.members.iter()
    }

    /// The entry of another zone with most free slots for a service.
    pub fn remote_with_most_free_slots(
        &self,
        key: &ServiceKey,
    ) -> Option<(&NodeName, &ZoneName, ServiceCapacity)> {
        self.remotes.best(service_hash(key))
    }

    /// Counts since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Takes one input in and appends what follows from it.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Announced(offer) => self.announced(now, &offer, out),
            Input::Heartbeat(beat) => self.heartbeat(now, &beat, out),
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
        let news = member.announce(now, offer);
        let state = member.state;
        self.counters.stale += u64::from(!news);
        self.publish(now, &offer.worker, out);
        let state_now = self.members[&offer.worker].state;
        if news && state == State::Ready && state_now == State::Ready {
            out.push(Output::OfferChanged {
                worker: offer.worker.clone(),
            });
        }
    }

    fn heartbeat(&mut self, now: Time, beat: &Heartbeat, out: &mut Vec<Output>) {
        let Some(member) = self.find_or_add(now, &beat.worker, beat.incarnation, out) else {
            return;
        };
        let news = member.hear(now, beat);
        if news && member.offer().is_none() {
            out.push(Output::RequestAnnouncement {
                worker: beat.worker.clone(),
            });
        }
        self.counters.stale += u64::from(!news);
        self.publish(now, &beat.worker, out);
    }

    fn link_lost(
        &mut self,
        now: Time,
        worker: &NodeName,
        incarnation: Incarnation,
        out: &mut Vec<Output>,
    ) {
        if let Some(member) = self.members.get_mut(worker) {
            member.lose_link(incarnation);
            self.publish(now, worker, out);
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

    /// Brings a worker's state up to date and reports a change.
    fn publish(&mut self, now: Time, worker: &NodeName, out: &mut Vec<Output>) {
        if let Some(member) = self.members.get_mut(worker) {
            rejudge(now, &self.config, worker, member, out);
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
        match self.remotes.accept(now, &digest) {
            Ok(true) => self.relay(digest, out),
            Ok(false) => self.counters.stale += 1,
            Err(refusal) => self.refuse(refusal, out),
        }
    }

    /// Passes a digest that came from its zone on to the entries of this one.
    fn relay(&self, mut digest: Digest, out: &mut Vec<Output>) {
        if digest.relayed_in_zone {
            return;
        }
        digest.relayed_in_zone = true;
        let mates = self.peers.iter().filter(|peer| peer.zone == self.own.zone);
        out.extend(mates.map(|peer| Output::SendDigest {
            peer: peer.name.clone(),
            digest: digest.clone(),
        }));
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        for (worker, member) in &mut self.members {
            rejudge(now, &self.config, worker, member, out);
        }
        let forget = self.config.forget_after;
        let keep = |m: &Member| m.state != State::Down || now.since(m.last_message_at()) < forget;
        self.members.retain(|_, member| keep(member));
        self.remotes.expire(now, &self.config);
        if now.since(self.sent) >= self.config.digest_every {
            self.sent = now;
            self.send_digests(out);
        }
    }

    /// Sends this zone's digest to the next few zones, if this entry speaks for it.
    fn send_digests(&mut self, out: &mut Vec<Output>) {
        if !self.speaks() {
            return;
        }
        let targets = self.next_targets();
        if targets.is_empty() {
            return;
        }
        let zone = self.summary();
        for peer in targets {
            let cursor = self.cursors.entry(peer.zone).or_default();
            let (range, rows, next) = cut_page(&zone, *cursor);
            *cursor = next;
            self.version += 1;
            let digest = Digest {
                origin: self.own.clone(),
                incarnation: self.incarnation,
                version: self.version,
                relayed_in_zone: false,
                hash_range: range,
                rows,
            };
            out.push(Output::SendDigest {
                peer: peer.name,
                digest,
            });
        }
    }

    /// Whether this entry has the lowest name of its zone's reachable entries.
    fn speaks(&self) -> bool {
        let mut mates = self.peers.iter().filter(|peer| peer.zone == self.own.zone);
        mates.all(|peer| self.own.name < peer.name)
    }

    /// One entry of each zone whose turn it is.
    fn next_targets(&mut self) -> Vec<Peer> {
        let mut zones = BTreeMap::<&ZoneName, Vec<&Peer>>::new();
        for peer in &self.peers {
            if peer.zone != self.own.zone {
                zones.entry(&peer.zone).or_default().push(peer);
            }
        }
        let fanout = self.config.fanout.min(zones.len());
        let start = self.rounds;
        self.rounds = self.rounds.wrapping_add(fanout);
        let zones: Vec<_> = zones.into_values().collect();
        (start..start + fanout)
            .map(|turn| {
                let entries = &zones[turn % zones.len()];
                entries[turn / zones.len() % entries.len()].clone()
            })
            .collect()
    }

    /// What the ready workers of this zone offer, by service.
    fn summary(&self) -> BTreeMap<u64, ServiceCapacity> {
        let mut zone = BTreeMap::<u64, ServiceCapacity>::new();
        let ready = self.members.values().filter(|m| m.state == State::Ready);
        for member in ready {
            let Some(offer) = member.offer() else {
                continue;
            };
            if offer.zone != self.own.zone {
                continue;
            }
            let room = zone.entry(service_hash(&offer.service)).or_default();
            room.ready_endpoints = room.ready_endpoints.saturating_add(1);
            let free = offer.slots.saturating_sub(member.load().outstanding);
            room.free_slots = room.free_slots.saturating_add(free);
        }
        zone
    }
}

fn rejudge(
    now: Time,
    config: &MembershipConfig,
    worker: &NodeName,
    member: &mut Member,
    out: &mut Vec<Output>,
) {
    let from = member.state;
    let to = member.judge(now, config);
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
