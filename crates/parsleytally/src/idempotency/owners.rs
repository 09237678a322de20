//! Which agent owns an idempotency key, in the view of one entry.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::KeyHash;
use crate::types::{Incarnation, NodeName, Time};

/// Longest delay between two entries' updates about the same change.
const MAX_UPDATE_DELAY: Duration = Duration::from_secs(5);

/// A change of one service's agents.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentChange {
    /// An agent serves from now on, for the first time or again.
    Joined {
        /// The agent's worker.
        node: NodeName,
        /// Incarnation of the agent.
        incarnation: Incarnation,
        /// How long this incarnation has served; used only until the first key is routed.
        age: Duration,
    },
    /// An agent accepts no new keys but still answers for the keys it knows.
    Leaving {
        /// The agent's worker.
        node: NodeName,
    },
    /// An agent was lost, and its remembered keys with it.
    Lost {
        /// The agent's worker.
        node: NodeName,
    },
}

/// Route of a keyed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The agent that runs the request.
    pub owner: NodeName,
    /// Agents that may have run the key and must be fenced before the owner runs it.
    pub to_fence: Vec<NodeName>,
}

/// Why a keyed request can't be routed now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum RouteError {
    /// The service has no agent.
    #[display("no endpoint serves this service")]
    NoAgent,
    /// An agent that may have run the key was lost.
    #[display("an endpoint that may have run this key was lost")]
    AgentLost {
        /// Time until the lost agent would have forgotten the key.
        retry_after: Duration,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Member {
    incarnation: Incarnation,
    /// Since when it counts as an owner; `None` is before the clock's origin.
    owner_since: Option<Time>,
    leaving: bool,
    /// When it or its previous incarnation was lost.
    lost_at: Option<Time>,
}

/// The agents of one service, including those lost within the last `ttl`.
#[derive(Debug)]
pub struct KeyOwners {
    ttl: Duration,
    /// Whether a key has been routed.
    routed: bool,
    members: BTreeMap<NodeName, Member>,
}

impl KeyOwners {
    /// Creates the view of a service without agents; keys are remembered for `ttl`.
    pub fn new(ttl: Duration) -> Self {
        Self {
            ttl,
            routed: false,
            members: BTreeMap::new(),
        }
    }

    /// Applies a change that was detected at `now`.
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
                    member.lost_at = Some(now);
                    member.leaving = true;
                }
            }
        }
        self.remove_expired(now);
    }

    /// Number of agents that may run new keys.
    pub fn active_agents(&self) -> usize {
        self.members.values().filter(|m| !m.leaving).count()
    }

    /// Picks the owner of `key`.
    ///
    /// An agent can have owned the key only while every agent ranked above it was
    /// absent, so an agent that joined after one of those is not fenced.
    ///
    /// # Errors
    ///
    /// Returns [`RouteError`] when there is no agent, or when an agent that may have
    /// run the key was lost less than `ttl` ago.
    pub fn route(&mut self, now: Time, key: KeyHash) -> Result<Route, RouteError> {
        self.routed = true;
        let mut owner = None;
        let mut to_fence = Vec::new();
        let mut earliest = None;
        for (node, member) in self.ranking(key) {
            if let Some(since) = earliest
                && (self.has_owned_for_ttl(now, since) || member.joined_after(since))
            {
                continue;
            }
            if let Some(retry_after) = self.time_until_forgotten(now, member) {
                return Err(RouteError::AgentLost { retry_after });
            }
            if owner.is_none() && !member.leaving {
                owner = Some(node.clone());
            } else if member.is_reachable() {
                to_fence.push(node.clone());
            }
            if !member.leaving {
                earliest = Some(
                    earliest
                        .unwrap_or(member.owner_since)
                        .min(member.owner_since),
                );
            }
        }
        let owner = owner.ok_or(RouteError::NoAgent)?;
        Ok(Route { owner, to_fence })
    }

    fn join(&mut self, now: Time, node: NodeName, incarnation: Incarnation, age: Duration) {
        let joined = Member {
            incarnation,
            owner_since: self.owner_since(now, age),
            leaving: false,
            lost_at: None,
        };
        let member = match self.members.get(&node) {
            None => joined,
            Some(known) if known.incarnation > incarnation => return,
            Some(known) if known.incarnation < incarnation => Member {
                lost_at: Some(known.lost_at.unwrap_or(now)),
                ..joined
            },
            Some(known) if known.leaving => joined,
            Some(_) => return,
        };
        self.members.insert(node, member);
    }

    /// Since when an agent that joins now counts as an owner; `None` is before the clock's origin.
    ///
    /// Before the first key is routed, it is an owner since it began to serve. After
    /// that, keys that it owns from now on may have been routed to other agents.
    fn owner_since(&self, now: Time, age: Duration) -> Option<Time> {
        if self.routed {
            return Some(now);
        }
        now.as_micros()
            .checked_sub(micros(age))
            .map(Time::from_micros)
    }

    /// Whether an owner since `since` has been one for `ttl` in the view of every entry.
    fn has_owned_for_ttl(&self, now: Time, since: Option<Time>) -> bool {
        since.is_none_or(|since| now.since(since) >= self.ttl + MAX_UPDATE_DELAY)
    }

    /// How much longer a lost agent could have remembered a key; `None` if not at all.
    fn time_until_forgotten(&self, now: Time, member: &Member) -> Option<Duration> {
        let remaining = self.ttl.checked_sub(now.since(member.lost_at?))?;
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Members by descending rendezvous score for `key`.
    fn ranking(&self, key: KeyHash) -> Vec<(&NodeName, &Member)> {
        let mut ranked: Vec<_> = self.members.iter().collect();
        ranked.sort_by_cached_key(|(node, _)| std::cmp::Reverse(score(node, key)));
        ranked
    }

    fn remove_expired(&mut self, now: Time) {
        let ttl = self.ttl;
        for member in self.members.values_mut() {
            if !member.leaving
                && member
                    .lost_at
                    .is_some_and(|lost_at| now.since(lost_at) >= ttl)
            {
                member.lost_at = None;
            }
        }
        self.members.retain(|_, member| {
            member
                .lost_at
                .is_none_or(|lost_at| now.since(lost_at) < ttl)
        });
    }
}

impl Member {
    /// Whether every entry learned of an owner since `since` before it learned of this agent.
    fn joined_after(&self, since: Option<Time>) -> bool {
        let joined = match (self.lost_at, self.leaving) {
            // The lost incarnation is older than the one that serves.
            (Some(_), false) => None,
            _ => self.owner_since,
        };
        joined >= since.map(|since| since.after(MAX_UPDATE_DELAY)) && joined.is_some()
    }

    /// Whether the agent can be fenced.
    fn is_reachable(&self) -> bool {
        !self.leaving || self.lost_at.is_none()
    }
}

fn score(node: &NodeName, key: KeyHash) -> u64 {
    let seed = (key.0 >> 64) as u64 ^ key.0 as u64;
    xxh3_64_with_seed(node.as_str().as_bytes(), seed)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
