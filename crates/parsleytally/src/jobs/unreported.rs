//! Agents of the predecessor whose runs a new owner does not know, and which tasks they may run.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::TaskId;
use crate::types::{NodeName, Time};

/// An agent of the predecessor that has not listed its runs.
#[derive(Debug, Clone)]
pub(super) struct Unreported {
    /// When runs there have certainly ended.
    pub(super) until: Time,
    /// Since when this owner has expected it.
    pub(super) since: Time,
    /// Number of links to it that this owner has opened.
    pub(super) links: u32,
    /// Tasks that it may run; none if it may run any.
    tasks: Option<BTreeSet<TaskId>>,
}

impl Unreported {
    /// An agent that may run any task.
    pub(super) fn new(now: Time, until: Time) -> Self {
        Self {
            until,
            since: now,
            links: 0,
            tasks: None,
        }
    }

    /// Whether it may run a task.
    pub(super) fn may_run(&self, task: TaskId) -> bool {
        let tasks = self.tasks.as_ref();
        tasks.is_none_or(|tasks| tasks.contains(&task))
    }
}

/// Longest times for which an owner has waited for agents of its predecessor.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UnreportedWaits {
    /// For one that held back all jobs that were accepted before the ownership.
    pub all: Duration,
    /// For one that held back only tasks that it had named.
    pub named: Duration,
}

/// The agents that have not listed their runs.
#[derive(Debug, Default)]
pub(super) struct UnreportedAgents {
    agents: BTreeMap<NodeName, Unreported>,
    /// Number of agents that may run any task.
    unknown: usize,
    /// Tasks that the others may run, each with the number of these agents.
    named: HashMap<TaskId, usize>,
    waits: UnreportedWaits,
}

impl UnreportedAgents {
    /// Adds an agent that may run any task.
    pub(super) fn insert(&mut self, node: NodeName, agent: Unreported) {
        self.remove(&node);
        self.unknown += 1;
        self.agents.insert(node, agent);
    }

    /// Notes that an agent may run these tasks and no others; returns false if it is none of these agents.
    pub(super) fn set_tasks(&mut self, node: &NodeName, tasks: BTreeSet<TaskId>) -> bool {
        let Some(mut agent) = self.remove(node) else {
            return false;
        };
        for task in &tasks {
            *self.named.entry(*task).or_default() += 1;
        }
        agent.tasks = Some(tasks);
        self.agents.insert(node.clone(), agent);
        true
    }

    /// Removes an agent.
    pub(super) fn remove(&mut self, node: &NodeName) -> Option<Unreported> {
        let agent = self.agents.remove(node)?;
        let Some(tasks) = &agent.tasks else {
            self.unknown -= 1;
            return Some(agent);
        };
        for task in tasks {
            if let Some(agents) = self.named.get_mut(task) {
                *agents -= 1;
                if *agents == 0 {
                    self.named.remove(task);
                }
            }
        }
        Some(agent)
    }

    pub(super) fn get(&self, node: &NodeName) -> Option<&Unreported> {
        self.agents.get(node)
    }

    /// Counts a link to an agent.
    pub(super) fn count_link(&mut self, node: &NodeName) {
        if let Some(agent) = self.agents.get_mut(node) {
            agent.links += 1;
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&NodeName, &Unreported)> {
        self.agents.iter()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.agents.is_empty()
    }

    /// Notes how long these agents have been waited for.
    pub(super) fn note_waits(&mut self, now: Time) {
        for agent in self.agents.values() {
            let waited = now.since(agent.since);
            let longest = match agent.tasks {
                None => &mut self.waits.all,
                Some(_) => &mut self.waits.named,
            };
            *longest = waited.max(*longest);
        }
    }

    pub(super) fn waits(&self) -> UnreportedWaits {
        self.waits
    }

    /// Whether an agent may run any task.
    pub(super) fn may_run_any(&self) -> bool {
        self.unknown > 0
    }

    /// Whether an agent other than that of `node` has named this task.
    pub(super) fn is_named_beside(&self, node: &NodeName, task: TaskId) -> bool {
        let Some(agents) = self.named.get(&task) else {
            return false;
        };
        let tasks = self.agents.get(node).and_then(|agent| agent.tasks.as_ref());
        let own = tasks.is_some_and(|tasks| tasks.contains(&task));
        *agents > usize::from(own)
    }

    /// Whether an agent has named this task.
    pub(super) fn is_named(&self, task: TaskId) -> bool {
        self.named.contains_key(&task)
    }
}
