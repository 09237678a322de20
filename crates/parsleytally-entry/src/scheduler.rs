//! The actor that schedules batch tasks.
//!
//! A thread drives the library's shard elector and one owner for each shard that
//! this entry owns. Calls to the store run on the async runtime, and their answers
//! arrive on the same channel as all other inputs. [`Placer`](placer::Placer) chooses
//! the worker of a task.

mod actor;
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
use actor::SchedulerActor;
use placer::BalancedPlacer;
use store::{StoreAnswer, StoreClient};

/// Capacity of the actor's channel; senders wait while it is full.
const INPUT_CAPACITY: usize = 4_096;
/// Longest wait at shutdown for the release of every shard.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// A task as the operators' API shows it.
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

/// An input of the scheduler's actor.
pub(crate) enum Input {
    /// A task was declared or changed.
    Declared(TaskKey, BatchConfig),
    /// A task was deleted from the settings.
    Deleted(TaskKey),
    /// A team's quota came into force.
    Quota(TeamName, QuotaConfig),
    /// The store has confirmed the settings, and all their tasks are declared.
    AllDeclared,
    /// A worker announced its capacity on this link.
    WorkerUp(Link, Resources),
    /// A worker's link was closed.
    LinkClosed(NodeName),
    /// A worker reported its runs of a shard.
    Report(Report),
    /// A worker sent a heartbeat with the time on its clock.
    Heartbeat(NodeName, RunHeartbeat),
    /// The store answered a call.
    Store(StoreAnswer),
    /// List the tasks of a team.
    List(TeamName, oneshot::Sender<Vec<TaskView>>),
    /// Release every shard and stop.
    Close,
}

/// Parameters of [`Scheduler::start`].
pub(crate) struct SchedulerParams {
    pub(crate) node: NodeName,
    pub(crate) incarnation: Incarnation,
    pub(crate) config: OwnershipConfig,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) metrics: Metrics,
}

/// Sends inputs to the actor.
#[derive(Clone)]
pub(crate) struct SchedulerHandle(Sender<Input>);

impl SchedulerHandle {
    /// A handle whose actor has stopped.
    #[cfg(test)]
    pub(crate) fn detached() -> Self {
        Self(bounded(1).0)
    }

    /// Sends `input` and blocks while the channel is full.
    pub(crate) fn send(&self, input: Input) {
        if self.0.send(input).is_err() {
            log::debug!("input is dropped: scheduler has stopped");
        }
    }

    /// The tasks of `team` as the operators' API shows them.
    pub(crate) async fn tasks(&self, team: &TeamName) -> Vec<TaskView> {
        let (sender, receiver) = oneshot::channel();
        self.send(Input::List(team.clone(), sender));
        receiver.await.unwrap_or_default()
    }
}

/// The running actor.
pub(crate) struct Scheduler {
    node: NodeName,
    store: StoreClient,
    inputs: Sender<Input>,
    thread: thread::JoinHandle<()>,
}

impl Scheduler {
    /// Starts the actor; its calls to the store run on the current runtime.
    pub(crate) fn start(params: SchedulerParams) -> std::io::Result<Self> {
        let (inputs, receiver) = bounded(INPUT_CAPACITY);
        let store = StoreClient::new(params.store.clone(), Handle::current(), inputs.clone());
        let node = params.node.clone();
        let seed = params.incarnation.0;
        let mut actor =
            SchedulerActor::new(params, store.clone(), Box::new(BalancedPlacer::new(seed)));
        let thread = thread::Builder::new()
            .name("scheduler".to_owned())
            .spawn(move || actor.run(&receiver))?;
        Ok(Self {
            node,
            store,
            inputs,
            thread,
        })
    }

    pub(crate) fn handle(&self) -> SchedulerHandle {
        SchedulerHandle(self.inputs.clone())
    }

    /// Releases every shard and stops the actor.
    pub(crate) async fn close(self) {
        let _ = self.inputs.send(Input::Close);
        let thread = self.thread;
        let joined = tokio::task::spawn_blocking(move || thread.join());
        let _ = joined.await;
        self.store.delete_counter(&self.node).await;
    }
}
