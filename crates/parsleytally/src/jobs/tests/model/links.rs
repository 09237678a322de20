//! Links between owners and agents: dialing, delivery and loss.

use super::*;

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
        let fencing_token = (self.owners[owner].epoch + 1) << 32 | number << 12;
        self.send_to_agent(link, OrderMessage::Begin { fencing_token });
        self.step_owner(owner, Input::Linked(node(at)));
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
        let links: Vec<Link> = self.agents[at].links.iter().copied().collect();
        // The newest owner has the highest fencing token, so the agent follows it.
        let Some(link) = links
            .into_iter()
            .max_by_key(|link| (link.owner, link.number))
        else {
            return;
        };
        if self.delivers(link) {
            self.push(1, Event::ToOwner(link.owner, link, message));
        }
    }

    pub(super) fn link_lost(&mut self, link: Link) {
        if self.agents[link.agent].links.remove(&link) && self.agents[link.agent].up {
            self.step_agent(link.agent, AgentInput::OwnerLost(OwnerLink(link.number)));
        }
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
