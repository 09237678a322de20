//! The duty that decides about batch tasks.
//!
//! A thread drives the library's holder of shards and an owner for each shard
//! that this entry holds; the store is called by tasks whose answers come back
//! through the same ring as everything else. [`Placer`](placer::Placer) chooses
//! the worker of a task.

mod duty;
mod placer;
mod store;
#[cfg(test)]
mod tests;
mod view;

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Sender, bounded};
use parsleytally::configs::{BatchConfig, OwnershipConfig, QuotaConfig};
use parsleytally::leases::Report;
use parsleytally::types::{Incarnation, NodeName, Resources, TaskKey, TeamName};
use parsleytally_link::{Link, RunHeartbeat};
use parsleytally_platform::store::Store;
use serde::Serialize;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

use crate::metrics::Metrics;
use duty::Duty;
use placer::Balanced;
use store::{Answer, Calls};

/// Inputs that wait for the duty; a full ring holds their senders back.
const INPUT_RING: usize = 4_096;
/// Longest wait at shutdown until every shard is given up.
const RELEASE_LIMIT: Duration = Duration::from_secs(5);

/// A task as operators see it.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct TaskView {
    pub(crate) task: String,
    pub(crate) state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) worker: Option<NodeName>,
    pub(crate) run: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) reason: Option<String>,
}

pub(crate) enum Input {
    /// A task was declared or changed.
    Declared(TaskKey, BatchConfig),
    /// A task was deleted from the settings.
    Deleted(TaskKey),
    /// A team's quota is in force.
    Quota(TeamName, QuotaConfig),
    /// Every task of the settings has been declared, as the store has them.
    Complete,
    /// A worker can run tasks.
    Up(Link, Resources),
    /// A worker's link is gone.
    Down(NodeName),
    /// A worker reports the runs of a shard.
    Report(Report),
    /// A worker tells its time.
    Beat(NodeName, RunHeartbeat),
    /// The store answers.
    Store(Answer),
    /// Operators ask for the tasks of a team.
    List(TeamName, oneshot::Sender<Vec<TaskView>>),
    /// Give up every shard and end.
    Close,
}

/// What the duty is started with.
pub(crate) struct Parts {
    pub(crate) node: NodeName,
    pub(crate) life: Incarnation,
    pub(crate) config: OwnershipConfig,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) metrics: Metrics,
}

/// Passes inputs to the duty.
#[derive(Clone)]
pub(crate) struct SchedulerRing(Sender<Input>);

impl SchedulerRing {
    /// A ring whose duty has ended.
    #[cfg(test)]
    pub(crate) fn detached() -> Self {
        Self(bounded(1).0)
    }

    /// Passes `input` on and waits while the ring is full.
    pub(crate) fn send(&self, input: Input) {
        if self.0.send(input).is_err() {
            log::debug!("scheduler has ended");
        }
    }

    /// The tasks of `team` as operators see them.
    pub(crate) async fn tasks(&self, team: &TeamName) -> Vec<TaskView> {
        let (sender, receiver) = oneshot::channel();
        self.send(Input::List(team.clone(), sender));
        receiver.await.unwrap_or_default()
    }
}

/// The duty and its ring.
pub(crate) struct Scheduler {
    node: NodeName,
    calls: Calls,
    inputs: Sender<Input>,
    thread: thread::JoinHandle<()>,
}

impl Scheduler {
    /// Starts the duty; its calls to the store run on the current runtime.
    pub(crate) fn start(parts: Parts) -> std::io::Result<Self> {
        let (inputs, receiver) = bounded(INPUT_RING);
        let calls = Calls::new(parts.store.clone(), Handle::current(), inputs.clone());
        let node = parts.node.clone();
        let seed = parts.life.0;
        let mut duty = Duty::new(parts, calls.clone(), Box::new(Balanced::new(seed)));
        let thread = thread::Builder::new()
            .name("scheduler".to_owned())
            .spawn(move || duty.run(&receiver))?;
        Ok(Self {
            node,
            calls,
            inputs,
            thread,
        })
    }

    pub(crate) fn ring(&self) -> SchedulerRing {
        SchedulerRing(self.inputs.clone())
    }

    /// Gives up every shard and ends the duty.
    pub(crate) async fn close(self) {
        let _ = self.inputs.send(Input::Close);
        let thread = self.thread;
        let joined = tokio::task::spawn_blocking(move || thread.join());
        let _ = joined.await;
        self.calls.leave(&self.node).await;
    }
}
