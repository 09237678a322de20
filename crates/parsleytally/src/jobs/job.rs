//! A job in memory: rounds of steps of tasks.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::fleet::{FULL_PACE, Load};
use super::progress::{StepProgress, TaskProgress};
use super::{JobId, JobProgress, JobSpec, QueuePolicy, StepSpec, TaskId};
use crate::types::{NodeName, Revision, Time};

/// Thousandths in one.
pub(super) const MILLI: f64 = 1_000.0;

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    #[display("queued")]
    Queued,
    /// A task has started.
    #[display("running")]
    Running,
    /// All tasks are done.
    #[display("completed")]
    Completed,
    /// A task has failed as often as it may.
    #[display("failed")]
    Failed,
    /// The client cancelled it.
    #[display("cancelled")]
    Cancelled,
}

impl JobState {
    /// Whether nothing starts any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// A run that may go on.
#[derive(Debug, Clone)]
pub(super) struct LiveRun {
    pub(super) node: NodeName,
    pub(super) run: u32,
    pub(super) stopping: bool,
}

/// A task in memory.
#[derive(Debug, Clone, Default)]
pub(super) struct Task {
    pub(super) done: bool,
    /// Numbers of the runs that failed.
    pub(super) failed: Vec<u32>,
    /// Highest number of a run so far; 0 before the first.
    pub(super) last_run: u32,
    pub(super) checkpoint: String,
    pub(super) runs: Vec<LiveRun>,
    /// Worker on which it failed last.
    pub(super) failed_on: Option<NodeName>,
}

impl Task {
    /// Whether a run is wanted.
    pub(super) fn waits(&self) -> bool {
        !self.done && self.runs.is_empty()
    }
}

/// A step of one round.
#[derive(Debug)]
pub(super) struct StepRun {
    pub(super) tasks: Vec<Task>,
    /// Tasks that are not done.
    pub(super) left: usize,
    /// Times that its tasks worked.
    pub(super) worked: WorkTimes,
}

impl StepRun {
    /// Whether a task of it wants a run.
    fn waits(&self) -> bool {
        self.left > 0 && self.tasks.iter().any(Task::waits)
    }
}

/// Times that tasks of a step worked until they were done.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct WorkTimes {
    count: u32,
    sum: Duration,
}

impl WorkTimes {
    pub(super) fn add(&mut self, taken: Duration) {
        self.count += 1;
        self.sum += taken;
    }

    /// Their mean, in milliseconds; none before the first.
    pub(super) fn mean_ms(&self) -> Option<u64> {
        let mean = self.sum.checked_div(self.count)?;
        u64::try_from(mean.as_millis()).ok()
    }
}

/// A round of a job.
#[derive(Debug)]
pub(super) struct Round {
    pub(super) number: u32,
    pub(super) steps: Vec<StepRun>,
}

impl Round {
    fn new(number: u32, spec: &JobSpec) -> Self {
        let step = |step: &StepSpec| {
            let count = usize::try_from(step.count).unwrap_or(usize::MAX);
            StepRun {
                tasks: vec![Task::default(); count],
                left: count,
                worked: WorkTimes::default(),
            }
        };
        Self {
            number,
            steps: spec.steps.iter().map(step).collect(),
        }
    }

    pub(super) fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.left == 0)
    }

    /// Whether all steps that `step` waits for are done.
    pub(super) fn is_ready(&self, spec: &StepSpec) -> bool {
        let done = |after: &u16| self.steps[usize::from(*after)].left == 0;
        spec.after.iter().all(done)
    }
}

/// A job in memory.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) spec: Arc<JobSpec>,
    pub(super) policy: Arc<QueuePolicy>,
    /// Revision at which it was accepted.
    pub(super) accepted: Revision,
    /// State as decided; shown once it is saved.
    pub(super) state: JobState,
    /// Rounds that are due; empty once the job has ended.
    pub(super) rounds: Vec<Round>,
    /// Rounds that are done.
    pub(super) rounds_done: u32,
    /// Version of the record; raised with each change.
    pub(super) version: u64,
    /// Version that the store has.
    pub(super) saved: u64,
    /// When it ended.
    pub(super) ended: Option<Time>,
}

impl Job {
    pub(super) fn new(spec: JobSpec, policy: Arc<QueuePolicy>, accepted: Revision) -> Self {
        Self {
            spec: Arc::new(spec),
            policy,
            accepted,
            state: JobState::Queued,
            rounds: Vec::new(),
            rounds_done: 0,
            version: 0,
            saved: 0,
            ended: None,
        }
    }

    /// When a round was due, in milliseconds since 1970: the submission, or its time.
    pub(super) fn due_ms(&self, round: usize) -> u64 {
        let round = round as u64;
        match self.spec.repeat {
            Some(repeat) => repeat.start_ms + round * repeat.interval_ms,
            None => self.spec.submitted_ms,
        }
    }

    /// Steps whose turn has come and that have tasks without a run, each with its round
    /// and number.
    pub(super) fn waiting_steps(&self) -> impl Iterator<Item = (usize, usize, &StepRun)> {
        self.rounds.iter().enumerate().flat_map(|(number, round)| {
            let steps = self.spec.steps.iter().zip(&round.steps).enumerate();
            let waiting = steps.filter(|(_, (spec, run))| run.waits() && round.is_ready(spec));
            waiting.map(move |(step, (_, run))| (number, step, run))
        })
    }

    /// Number of tasks without a run whose turn has come.
    pub(super) fn waiting_tasks(&self) -> usize {
        let waiting = |run: &StepRun| run.tasks.iter().filter(|task| task.waits()).count();
        self.waiting_steps().map(|(_, _, run)| waiting(run)).sum()
    }

    /// State that clients may see.
    pub(super) fn shown(&self) -> JobState {
        if self.state.is_final() && self.saved < self.version {
            return JobState::Running;
        }
        self.state
    }

    /// Adds the rounds that are due by `wall_ms`; returns whether there are new ones.
    pub(super) fn open_rounds(&mut self, wall_ms: u64) -> bool {
        if self.state.is_final() {
            return false;
        }
        let opened = self.rounds.len();
        while let Some(round) = self.next_due(wall_ms) {
            self.rounds.push(Round::new(round, &self.spec));
        }
        self.rounds.len() > opened
    }

    fn next_due(&self, wall_ms: u64) -> Option<u32> {
        let next = u32::try_from(self.rounds.len()).ok()?;
        let Some(repeat) = self.spec.repeat else {
            return (next == 0).then_some(0);
        };
        let due = repeat.start_ms + u64::from(next) * repeat.interval_ms;
        (next < repeat.count && due <= wall_ms).then_some(next)
    }

    /// The task called `id`; a round that a worker knows of was due.
    pub(super) fn task(&mut self, id: TaskId) -> Option<&mut Task> {
        if self.state.is_final() || id.round >= self.spec.rounds() {
            return None;
        }
        while self.rounds.len() <= id.round as usize {
            let number = self.rounds.len() as u32;
            self.rounds.push(Round::new(number, &self.spec));
        }
        let round = self.rounds.get_mut(usize::try_from(id.round).ok()?)?;
        let step = round.steps.get_mut(usize::from(id.step))?;
        step.tasks.get_mut(usize::try_from(id.index).ok()?)
    }

    /// What the store said of the job's tasks.
    pub(super) fn restore(&mut self, progress: &JobProgress) {
        self.state = progress.state;
        if self.state.is_final() {
            return;
        }
        for step in &progress.steps {
            while self.rounds.len() <= step.round as usize {
                let number = self.rounds.len() as u32;
                self.rounds.push(Round::new(number, &self.spec));
            }
            self.restore_step(step);
        }
        self.rounds_done = self.rounds.iter().filter(|round| round.is_done()).count() as u32;
    }

    fn restore_step(&mut self, progress: &StepProgress) {
        let round = &mut self.rounds[progress.round as usize];
        let Some(step) = round.steps.get_mut(usize::from(progress.step)) else {
            return;
        };
        for (first, last) in &progress.done {
            for task in step
                .tasks
                .iter_mut()
                .take(*last as usize + 1)
                .skip(*first as usize)
            {
                if !task.done {
                    task.done = true;
                    step.left -= 1;
                }
            }
        }
        for kept in &progress.tasks {
            if let Some(task) = step.tasks.get_mut(kept.index as usize) {
                task.failed.clone_from(&kept.failed);
                task.checkpoint.clone_from(&kept.checkpoint);
                task.last_run = kept.failed.iter().copied().max().unwrap_or(0);
            }
        }
    }

    /// The job's record for the store.
    pub(super) fn progress(&self) -> JobProgress {
        let mut steps = Vec::new();
        if !self.state.is_final() {
            for round in &self.rounds {
                for (number, step) in round.steps.iter().enumerate() {
                    steps.extend(step_progress(round.number, number as u16, step));
                }
            }
        }
        JobProgress {
            state: self.state,
            steps,
        }
    }

    /// What a task of `step` takes from its worker.
    pub(super) fn load(&self, step: u16) -> Option<Load> {
        let step = self.spec.steps.get(usize::from(step))?;
        Some(Load {
            need: step.need,
            filler: step.best_effort,
            target_ms: step.target_ms,
            image: step.image.clone().unwrap_or_default(),
            pace: Some(FULL_PACE),
            cores: step.need.cpu.0 as f64 / MILLI,
            percent: 0,
            worked: None,
        })
    }
}

fn step_progress(round: u32, number: u16, step: &StepRun) -> Option<StepProgress> {
    let mut progress = StepProgress {
        round,
        step: number,
        ..StepProgress::default()
    };
    for (index, task) in step.tasks.iter().enumerate() {
        let index = index as u32;
        if task.done {
            progress.push_done(index);
        } else if !task.failed.is_empty() || !task.checkpoint.is_empty() {
            progress.tasks.push(TaskProgress {
                index,
                failed: task.failed.clone(),
                checkpoint: task.checkpoint.clone(),
            });
        }
    }
    let empty = progress.done.is_empty() && progress.tasks.is_empty();
    (!empty).then_some(progress)
}

/// A step of one round of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct StepAt {
    pub(super) job: JobId,
    pub(super) round: usize,
    pub(super) step: usize,
}

impl StepAt {
    /// The task `index` of the step.
    pub(super) fn task(self, index: usize) -> TaskId {
        TaskId {
            job: self.job,
            round: self.round as u32,
            step: self.step as u16,
            index: index as u32,
        }
    }
}
