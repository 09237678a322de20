//! The duty that places batch tasks on workers.
//!
//! First version: the first worker with room by declared sizes takes the task.

use std::collections::BTreeMap;
use std::thread;

use crossbeam_channel::{Receiver, Sender, bounded};
use parsleytally::configs::BatchConfig;
use parsleytally::types::{NodeName, Resources, RunId, RunNumber, TaskKey, TeamName};
use parsleytally_link::{Frame, Link, TaskCommand, TaskReport};
use serde::Serialize;
use tokio::sync::oneshot;

use crate::metrics::Metrics;

/// Inputs that wait for the duty; a full ring holds their senders back.
const INPUT_RING: usize = 4_096;

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
    /// A worker can run tasks.
    Up(Link, Resources),
    /// A worker's link is gone.
    Down(NodeName),
    /// A worker reports about a run.
    Report(NodeName, TaskReport),
    /// Operators ask for the tasks of a team.
    List(TeamName, oneshot::Sender<Vec<TaskView>>),
    Close,
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
#[derive(Debug)]
pub(crate) struct Scheduler {
    inputs: Sender<Input>,
    thread: thread::JoinHandle<()>,
}

impl Scheduler {
    pub(crate) fn start(metrics: Metrics) -> std::io::Result<Self> {
        let (inputs, receiver) = bounded(INPUT_RING);
        let mut duty = Duty {
            tasks: BTreeMap::new(),
            workers: BTreeMap::new(),
            metrics,
        };
        let thread = thread::Builder::new()
            .name("scheduler".to_owned())
            .spawn(move || duty.run(&receiver))?;
        Ok(Self { inputs, thread })
    }

    pub(crate) fn ring(&self) -> SchedulerRing {
        SchedulerRing(self.inputs.clone())
    }

    /// Ends the duty.
    pub(crate) fn close(self) {
        let _ = self.inputs.send(Input::Close);
        let _ = self.thread.join();
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Waiting { reason: String },
    Starting { worker: NodeName },
    Running { worker: NodeName },
    Finished,
}

struct Task {
    config: BatchConfig,
    run: RunNumber,
    state: State,
}

struct Worker {
    link: Link,
    free: Resources,
}

struct Duty {
    tasks: BTreeMap<TaskKey, Task>,
    workers: BTreeMap<NodeName, Worker>,
    metrics: Metrics,
}

impl Duty {
    fn run(&mut self, inputs: &Receiver<Input>) {
        for input in inputs {
            match input {
                Input::Declared(key, config) => self.declare(key, config),
                Input::Deleted(key) => self.delete(&key),
                Input::Up(link, capacity) => self.up(link, capacity),
                Input::Down(worker) => drop(self.workers.remove(&worker)),
                Input::Report(worker, report) => self.report(&worker, report),
                Input::List(team, reply) => {
                    let _ = reply.send(self.list(&team));
                }
                Input::Close => return,
            }
            self.place();
        }
    }

    fn declare(&mut self, key: TaskKey, config: BatchConfig) {
        if let Some(task) = self.tasks.get_mut(&key) {
            task.config = config;
            return;
        }
        self.count("declared");
        let state = waiting("no worker has been tried");
        self.tasks.insert(
            key,
            Task {
                config,
                run: RunNumber(0),
                state,
            },
        );
    }

    fn delete(&mut self, key: &TaskKey) {
        let Some(task) = self.tasks.remove(key) else {
            return;
        };
        self.count("deleted");
        let (State::Starting { worker } | State::Running { worker }) = &task.state else {
            return;
        };
        let run = RunId {
            task: key.clone(),
            run: task.run,
        };
        if let Some(worker) = self.workers.get_mut(worker) {
            command(&worker.link, TaskCommand::Stop { run });
            give_back(worker, &task.config.need);
        }
    }

    fn up(&mut self, link: Link, capacity: Resources) {
        let name = link.peer().node.clone();
        self.workers.insert(
            name,
            Worker {
                link,
                free: capacity,
            },
        );
    }

    fn report(&mut self, from: &NodeName, report: TaskReport) {
        let (TaskReport::Started { run }
        | TaskReport::Refused { run, .. }
        | TaskReport::Finished { run }
        | TaskReport::Stopped { run }) = &report;
        let Some(task) = self
            .tasks
            .get_mut(&run.task)
            .filter(|task| task.run == run.run)
        else {
            return;
        };
        let (event, state) = match report {
            TaskReport::Started { .. } => (
                "started",
                State::Running {
                    worker: from.clone(),
                },
            ),
            TaskReport::Finished { .. } => ("finished", State::Finished),
            TaskReport::Refused { reason, .. } => ("refused", waiting(&reason)),
            TaskReport::Stopped { .. } => ("stopped", waiting("run was stopped")),
        };
        let ended = !matches!(state, State::Running { .. });
        task.state = state;
        let need = task.config.need;
        if let Some(worker) = self.workers.get_mut(from).filter(|_| ended) {
            give_back(worker, &need);
        }
        self.count(event);
    }

    fn place(&mut self) {
        for (key, task) in &mut self.tasks {
            if !matches!(task.state, State::Waiting { .. }) {
                continue;
            }
            let need = task.config.need;
            let found = self
                .workers
                .iter_mut()
                .find(|(_, worker)| need.fits(&worker.free));
            let Some((name, worker)) = found else {
                task.state = waiting("no worker has room");
                continue;
            };
            task.run = task.run.next();
            let run = RunId {
                task: key.clone(),
                run: task.run,
            };
            let config = task.config.clone();
            if !command(&worker.link, TaskCommand::Start { run, config }) {
                task.state = waiting("link to the worker takes no command");
                continue;
            }
            worker.free = worker.free.checked_sub(&need).unwrap_or(Resources::NONE);
            task.state = State::Starting {
                worker: name.clone(),
            };
        }
    }

    fn list(&self, team: &TeamName) -> Vec<TaskView> {
        self.tasks
            .iter()
            .filter(|(key, _)| key.team == *team)
            .map(|(key, task)| view(key, task))
            .collect()
    }

    fn count(&self, event: &str) {
        self.metrics.tasks.with_label_values(&[event]).inc();
    }
}

fn waiting(reason: &str) -> State {
    State::Waiting {
        reason: reason.to_owned(),
    }
}

fn give_back(worker: &mut Worker, need: &Resources) {
    worker.free = worker.free.checked_add(need).unwrap_or(worker.free);
}

fn command(link: &Link, command: TaskCommand) -> bool {
    link.send(Frame::Command(command)).is_ok()
}

fn view(key: &TaskKey, task: &Task) -> TaskView {
    let (state, worker, reason) = match &task.state {
        State::Waiting { reason } => ("waiting", None, Some(reason.clone())),
        State::Starting { worker } => ("starting", Some(worker.clone()), None),
        State::Running { worker } => ("running", Some(worker.clone()), None),
        State::Finished => ("finished", None, None),
    };
    TaskView {
        task: key.task.to_string(),
        state,
        worker,
        run: task.run.0,
        reason,
    }
}
