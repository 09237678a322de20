//! Which agent owns a key, as one entry sees it.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::KeyHash;
use crate::types::{Incarnation, NodeName, Time};

/// Longest time between two entries' news of the same change.
const NEWS_DELAY: Duration = Duration::from_secs(5);

/// A change of one service's agents.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentChange {
    /// An agent serves from now on, or is known again.
    Joined {
        /// The agent's worker.
        node: NodeName,
        /// Number of its life.
        incarnation: Incarnation,
        /// How long this life has served already; counts only before the first key is routed.
        age: Duration,
    },
    /// An agent takes no new keys but still answers for those it knows.
    Leaving {
        /// The agent's worker.
        node: NodeName,
    },
    /// An agent is gone, and with it what it knew.
    Lost {
        /// The agent's worker.
        node: NodeName,
    },
}

/// Where a keyed request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The agent that runs it.
    pub owner: NodeName,
    /// Agents that may know the key and must be fenced before it runs.
    pub to_fence: Vec<NodeName>,
}

/// Why no agent may run a keyed request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum RouteError {
    /// The service has no agent.
    #[display("no endpoint serves this service")]
    NoAgent,
    /// An agent that may have run the key is gone.
    #[display("an endpoint that may have run this key is gone")]
    AgentLost {
        /// When the key counts as forgotten.
        retry_after: Duration,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Member {
    incarnation: Incarnation,
    since: Option<Time>,
    leaving: bool,
    lost: Option<Time>,
}

/// The agents of one service, with those gone within the time keys are remembered.
#[derive(Debug)]
pub struct KeyOwners {
    ttl: Duration,
    routed: bool,
    members: BTreeMap<NodeName, Member>,
}

impl KeyOwners {
    /// Creates the view of a service without agents; `ttl` is how long keys are remembered.
    pub fn new(ttl: Duration) -> Self {
        Self {
            ttl,
            routed: false,
            members: BTreeMap::new(),
        }
    }

    /// Takes a change that was noticed at `now`.
    pub fn step(&mut self, now: Time, change: AgentChange) {
        match change {
            AgentChange::Joined {
                node,
                incarnation,
                age,
            } => self.join(now, node, incarnation, age),
            AgentChange::Leaving { node } => {
                if let Some(member) = self.members.get_mut(&node) {
                    member.leaving = true;
                }
            }
            AgentChange::Lost { node } => {
                if let Some(member) = self.members.get_mut(&node) {
                    member.lost = Some(now);
                    member.leaving = true;
                }
            }
        }
        self.forget_expired(now);
    }

    /// Agents that may run new keys.
    pub fn active_agents(&self) -> usize {
        self.members.values().filter(|m| !m.leaving).count()
    }

    /// Picks the owner of `key`.
    ///
    /// An agent may have owned the key before only while all that rank above it
    /// were away, so one that joined after any of them is not asked.
    ///
    /// # Errors
    ///
    /// Returns [`NoOwner`] when there is no agent, or when one that may have run
    /// the key is gone for less than the time keys are remembered.
    pub fn route(&mut self, now: Time, key: KeyHash) -> Result<Route, RouteError> {
        self.routed = true;
        let mut owner = None;
        let mut fences = Vec::new();
        let mut earliest = None;
        for (node, member) in self.ranking(key) {
            if let Some(since) = earliest
                && (self.is_settled(now, since) || member.came_after(since))
            {
                continue;
            }
            if let Some(retry_after) = self.loss_to_wait_out(now, member) {
                return Err(RouteError::AgentLost { retry_after });
            }
            if owner.is_none() && !member.leaving {
                owner = Some(node.clone());
            } else if member.is_present() {
                fences.push(node.clone());
            }
            if !member.leaving {
                earliest = Some(earliest.unwrap_or(member.since).min(member.since));
            }
        }
        let owner = owner.ok_or(RouteError::NoAgent)?;
        Ok(Route {
            owner,
            to_fence: fences,
        })
    }

    fn join(&mut self, now: Time, node: NodeName, incarnation: Incarnation, age: Duration) {
        let fresh = Member {
            incarnation,
            since: self.owner_since(now, age),
            leaving: false,
            lost: None,
        };
        let member = match self.members.get(&node) {
            None => fresh,
            Some(known) if known.incarnation > incarnation => return,
            Some(known) if known.incarnation < incarnation => Member {
                lost: Some(known.lost.unwrap_or(now)),
                ..fresh
            },
            Some(known) if known.leaving => fresh,
            Some(_) => return,
        };
        self.members.insert(node, member);
    }

    /// Since when an agent that joins now counts as an owner; `None` is before the clock's origin.
    ///
    /// Before the first key is routed its age counts. After that, other agents may
    /// have got its keys until now.
    fn owner_since(&self, now: Time, age: Duration) -> Option<Time> {
        if self.routed {
            return Some(now);
        }
        now.as_micros()
            .checked_sub(micros(age))
            .map(Time::from_micros)
    }

    /// Whether an owner since `since` has been one for as long as keys are remembered.
    fn is_settled(&self, now: Time, since: Option<Time>) -> bool {
        since.is_none_or(|since| now.since(since) >= self.ttl + NEWS_DELAY)
    }

    fn loss_to_wait_out(&self, now: Time, member: &Member) -> Option<Duration> {
        let rest = self.ttl.checked_sub(now.since(member.lost?))?;
        (!rest.is_zero()).then_some(rest)
    }

    /// Members by falling rendezvous score of `key`.
    fn ranking(&self, key: KeyHash) -> Vec<(&NodeName, &Member)> {
        let mut ranked: Vec<_> = self.members.iter().collect();
        ranked.sort_by_cached_key(|(node, _)| std::cmp::Reverse(score(node, key)));
        ranked
    }

    fn forget_expired(&mut self, now: Time) {
        let ttl = self.ttl;
        for member in self.members.values_mut() {
            if !member.leaving && member.lost.is_some_and(|lost| now.since(lost) >= ttl) {
                member.lost = None;
            }
        }
        self.members
            .retain(|_, member| member.lost.is_none_or(|lost| now.since(lost) < ttl));
    }
}

impl Member {
    /// Whether every entry knew an owner since `since` before it knew this agent.
    fn came_after(&self, since: Option<Time>) -> bool {
        let came = match (self.lost, self.leaving) {
            // The life that was lost is older than the one that serves.
            (Some(_), false) => None,
            _ => self.since,
        };
        came >= since.map(|since| since.after(NEWS_DELAY)) && came.is_some()
    }

    /// Whether the agent can be asked.
    fn is_present(&self) -> bool {
        !self.leaving || self.lost.is_none()
    }
}

fn score(node: &NodeName, key: KeyHash) -> u64 {
    let seed = (key.0 >> 64) as u64 ^ key.0 as u64;
    xxh3_64_with_seed(node.as_str().as_bytes(), seed)
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
