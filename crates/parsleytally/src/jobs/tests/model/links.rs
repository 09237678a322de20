//! Links between owners and agents: dialing, delivery and loss.

use super::*;

/// Share of links that end before their first message arrives, while that fault is active.
const LOST_BEGINS: f64 = 0.7;
/// Share of such links after which no further one is opened until the fault ends.
const CUT_AFTER_LOST_BEGIN: f64 = 0.3;

/// A link from an owner to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Link {
    pub(super) owner: usize,
    pub(super) agent: usize,
    pub(super) number: u64,
}

impl Simulation {
    pub(super) fn dial(&mut self, owner: usize, at: usize) {
        let dialing = &self.owners[owner];
        if !dialing.up || !dialing.known.contains(&at) || dialing.links.contains_key(&at) {
            return;
        }
        if !self.agents[at].up || self.partitions.contains(&(owner, at)) {
            self.push(200, Event::Dial(owner, at));
            return;
        }
        self.links += 1;
        let number = self.links;
        let link = Link {
            owner,
            agent: at,
            number,
        };
        self.owners[owner].links.insert(at, link);
        self.agents[at].links.insert(link);
        if self.loses_begin(owner) {
            self.lose_link(link);
        }
        let fencing_token = (self.owners[owner].epoch + 1) << 32 | number << 12;
        self.send_to_agent(link, OrderMessage::Begin { fencing_token });
        self.step_owner(owner, Input::Linked(node(at)));
    }

    /// Whether a link of the newest owner ends before its first message arrives.
    fn loses_begin(&mut self, owner: usize) -> bool {
        self.now < self.begins_lost_until
            && self.is_current(owner)
            && self.rng.random_bool(LOST_BEGINS)
    }

    /// Breaks a link, at times until the fault ends; its ends detect that up to 2 s later.
    fn lose_link(&mut self, link: Link) {
        self.broken_links.insert(link);
        if self.rng.random_bool(CUT_AFTER_LOST_BEGIN) {
            self.partitions.insert((link.owner, link.agent));
        }
        let detected = self.rng.random_range(5..2_000);
        self.push(detected, Event::LinkLost(link));
    }

    /// Whether a message on `link` arrives; a lost message breaks the link.
    pub(super) fn delivers(&mut self, link: Link) -> bool {
        if self.partitions.contains(&(link.owner, link.agent)) && self.broken_links.insert(link) {
            self.push(2_000, Event::LinkLost(link));
        }
        !self.broken_links.contains(&link)
    }

    pub(super) fn send_to_agent(&mut self, link: Link, message: OrderMessage) {
        if self.delivers(link) {
            self.push(1, Event::ToAgent(link.agent, link, message));
        }
    }

    pub(super) fn send_to_owner(&mut self, at: usize, message: AgentMessage) {
        let Some(owner) = self.agents[at].state.owner() else {
            return;
        };
        let mut links = self.agents[at].links.iter().copied();
        let Some(link) = links.find(|link| link.number == owner.0) else {
            return;
        };
        if self.delivers(link) {
            self.push(1, Event::ToOwner(link.owner, link, message));
        }
    }

    /// An agent loses a link.
    pub(super) fn owner_lost(&mut self, link: Link) {
        if self.agents[link.agent].links.remove(&link) && self.agents[link.agent].up {
            self.step_agent(link.agent, AgentInput::OwnerLost(OwnerLink(link.number)));
        }
    }

    pub(super) fn link_lost(&mut self, link: Link) {
        self.handle(Event::OwnerLost(link));
        let owner = &mut self.owners[link.owner];
        if owner.links.get(&link.agent) == Some(&link) {
            owner.links.remove(&link.agent);
            if owner.up {
                self.step_owner(link.owner, Input::Unlinked(node(link.agent)));
                self.push(200, Event::Dial(link.owner, link.agent));
            }
        }
    }
}
