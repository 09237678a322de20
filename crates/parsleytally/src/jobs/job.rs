//! In-memory state of a job: its rounds, their steps and tasks.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::fleet::{FULL_CPU_SHARE, Load};
use super::losses::{Losses, StepTimes};
use super::measured::RunTimeline;
use super::progress::{StepProgress, TaskProgress};
use super::waiting::Wait;
use super::{
    CrashMark, JobId, JobProgress, JobSpec, LastEnd, QueuePolicy, RunRef, StepSpec, TaskId,
};
use crate::types::{NodeName, Revision, Time};

/// Factor from whole units to thousandths, such as from processors to millicores.
pub(super) const MILLI: f64 = 1_000.0;

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum JobState {
    /// No worker is known to have begun a task.
    #[display("queued")]
    Queued,
    /// A worker has begun a task.
    #[display("running")]
    Running,
    /// All tasks are done.
    #[display("completed")]
    Completed,
    /// A task has used up its attempts.
    #[display("failed")]
    Failed,
    /// The client cancelled it.
    #[display("cancelled")]
    Cancelled,
}

impl JobState {
    /// Whether the job has ended, so that no task of it starts again.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// A run that may still be in progress.
#[derive(Debug, Clone)]
pub(super) struct LiveRun {
    pub(super) node: NodeName,
    pub(super) run: u32,
    pub(super) stopping: bool,
}

/// In-memory state of a task.
#[derive(Debug, Clone, Default)]
pub(super) struct Task {
    pub(super) done: bool,
    /// Numbers of the runs that failed.
    pub(super) failed: Vec<u32>,
    /// Number of the last run; 0 before the first.
    pub(super) last_run: u32,
    pub(super) checkpoint: String,
    pub(super) runs: Vec<LiveRun>,
    /// Worker of the last failed run.
    pub(super) failed_on: Option<NodeName>,
    /// Since when it waits for room in its preferred rack.
    pub(super) waiting_since: Option<Time>,
    /// For a task that lasts, since when no worker has been seen to have a run of it; none if one has, or
    /// if it was not noted yet.
    pub(super) idle_since: Option<Time>,
    /// Number of starts that came to nothing since a worker last had a run of it.
    pub(super) vain_starts: u32,
    /// Number of its runs that were stopped since they made no progress.
    pub(super) stalls: u8,
    /// How its last run ended; none if this owner does not know.
    pub(super) last_end: Option<LastEnd>,
    /// Highest number of a run whose end this owner has seen; 0 before the first.
    pub(super) last_ended: u32,
    /// Crashes of workers with its runs, unless a later run has cleared it.
    pub(super) crashes: Vec<CrashMark>,
    /// Version of the progress record that has the last of them.
    pub(super) marked_version: u64,
    /// Since when it waits for a worker on which it can be isolated.
    pub(super) isolation_due: Option<Time>,
}

impl Task {
    /// Its run of this number on the worker of `node`; none if it has no such run.
    pub(super) fn run_on(&self, node: &NodeName, run: u32) -> Option<&LiveRun> {
        let mut runs = self.runs.iter();
        runs.find(|live| live.run == run && live.node == *node)
    }

    /// Worker on which a run last failed, or that crashed with one.
    pub(super) fn last_failed_on(&self) -> Option<&NodeName> {
        let crashed = self.crashes.last().map(|mark| &mark.node);
        crashed.or(self.failed_on.as_ref())
    }

    /// Whether the checkpoint of a run is newer than the known one: the task counts no later run
    /// instead of it.
    fn takes_checkpoint(&self, run: u32, checkpoint: &str) -> bool {
        let is_counted = self.runs.iter().any(|live| live.run == run);
        let is_last = self.runs.is_empty() && run >= self.last_run;
        let is_other = !checkpoint.is_empty() && checkpoint != self.checkpoint;
        !self.done && is_other && (is_counted || is_last)
    }

    /// Whether the task is neither done nor running.
    pub(super) fn needs_run(&self) -> bool {
        !self.done && self.runs.is_empty()
    }
}

/// In-memory state of a step in one round.
#[derive(Debug)]
pub(super) struct StepRun {
    pub(super) tasks: Vec<Task>,
    /// Number of tasks that are not done.
    pub(super) remaining: usize,
    /// Run times of its tasks.
    pub(super) run_times: RunTimes,
    /// Whether no worker could take its waiting tasks when all were last considered.
    pub(super) blocked: bool,
    /// Its wait for workers; none while no task of it waits. It goes on until a worker is seen to have
    /// a run of one.
    pub(super) wait: Option<Wait>,
    pub(super) times: StepTimes,
}

impl StepRun {
    /// Whether any task is neither done nor running.
    fn needs_run(&self) -> bool {
        self.remaining > 0 && self.tasks.iter().any(Task::needs_run)
    }

    /// Notes the begin of waits at `now`, for each waiting task if the tasks last.
    pub(super) fn note_wait(&mut self, now: Time, long_running: bool) -> &mut Wait {
        let mut since = now;
        if long_running {
            let waiting = self.tasks.iter_mut().filter(|task| task.needs_run());
            let noted = waiting.map(|task| *task.idle_since.get_or_insert(now));
            since = noted.min().unwrap_or(now);
        }
        self.wait.get_or_insert_with(|| Wait::since(since))
    }

    /// Indexes of the tasks that are neither done nor running.
    pub(super) fn waiting_tasks(&self) -> impl Iterator<Item = usize> {
        let tasks = self.tasks.iter().enumerate();
        let waiting = tasks.filter(|(_, task)| task.needs_run());
        waiting.map(|(index, _)| index)
    }

    /// Time of its tasks that are not done since it was ready at `ready`.
    pub(super) fn open_time(&self, now: Time, ready: Option<Time>) -> Duration {
        let remaining = u32::try_from(self.remaining).unwrap_or(u32::MAX);
        ready.map_or(Duration::ZERO, |ready| now.since(ready) * remaining)
    }
}

/// Sum and number of the run times of a step's completed tasks.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RunTimes {
    count: u32,
    sum: Duration,
}

impl RunTimes {
    pub(super) fn add(&mut self, run_time: Duration) {
        self.count += 1;
        self.sum += run_time;
    }

    /// Mean run time in milliseconds; none before the first.
    pub(super) fn mean_ms(&self) -> Option<u64> {
        let mean = self.sum.checked_div(self.count)?;
        u64::try_from(mean.as_millis()).ok()
    }
}

/// In-memory state of one round of a job.
#[derive(Debug)]
pub(super) struct Round {
    pub(super) number: u32,
    pub(super) steps: Vec<StepRun>,
    /// When this owner opened it; none if an earlier owner may have.
    pub(super) opened: Option<Time>,
}

impl Round {
    fn new(number: u32, spec: &JobSpec, opened: Option<Time>) -> Self {
        let step = |step: &StepSpec| {
            let count = usize::try_from(step.count).unwrap_or(usize::MAX);
            StepRun {
                tasks: vec![Task::default(); count],
                remaining: count,
                run_times: RunTimes::default(),
                blocked: false,
                wait: None,
                times: StepTimes::default(),
            }
        };
        Self {
            number,
            steps: spec.steps.iter().map(step).collect(),
            opened,
        }
    }

    pub(super) fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.remaining == 0)
    }

    /// Whether all steps that the step of `spec` depends on are done.
    pub(super) fn is_ready(&self, spec: &StepSpec) -> bool {
        let is_done = |after: &u16| self.steps[usize::from(*after)].remaining == 0;
        spec.after.iter().all(is_done)
    }

    /// When the step of `spec` was ready; none if an earlier owner may have known it.
    pub(super) fn ready_at(&self, spec: &StepSpec) -> Option<Time> {
        let done = |after: &u16| self.steps[usize::from(*after)].times.done;
        let last = spec.after.iter().map(done).collect::<Option<Vec<Time>>>()?;
        last.into_iter().max().or(self.opened)
    }
}

/// In-memory state of a job.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) spec: Arc<JobSpec>,
    pub(super) policy: Arc<QueuePolicy>,
    /// Revision of the store at which the job was accepted.
    pub(super) accepted: Revision,
    /// Current state; clients receive a final state only once it is saved, see
    /// [`Self::visible_state`].
    pub(super) state: JobState,
    /// Rounds that have become due; empty once the job has ended.
    pub(super) rounds: Vec<Round>,
    /// Number of rounds that are done.
    pub(super) rounds_done: u32,
    /// Version of the progress record; raised with each change.
    pub(super) version: u64,
    /// Last version that is saved in the store.
    pub(super) saved_version: u64,
    /// What its time was lost to.
    pub(super) losses: Losses,
    /// When the scheduler first found the job final and saved.
    pub(super) ended_at: Option<Time>,
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
            saved_version: 0,
            losses: Losses::default(),
            ended_at: None,
        }
    }

    /// When a round was due, as Unix time in milliseconds: by its schedule, or at the
    /// submission of a job without repetition.
    pub(super) fn due_ms(&self, round: usize) -> u64 {
        let round = round as u64;
        match self.spec.repeat {
            Some(repeat) => {
                let after = round.saturating_mul(repeat.interval_ms);
                repeat.start_ms.saturating_add(after)
            }
            None => self.spec.submitted_ms,
        }
    }

    /// Ready steps with tasks that need a run, each with the indexes of its round and step.
    pub(super) fn waiting_steps(&self) -> impl Iterator<Item = (usize, usize, &StepRun)> {
        self.rounds.iter().enumerate().flat_map(|(number, round)| {
            let steps = self.spec.steps.iter().zip(&round.steps).enumerate();
            let waiting = steps.filter(|(_, (spec, run))| run.needs_run() && round.is_ready(spec));
            waiting.map(move |(step, (_, run))| (number, step, run))
        })
    }

    /// Number of tasks in ready steps that need a run.
    pub(super) fn waiting_tasks(&self) -> usize {
        let waiting = self.waiting_steps();
        waiting.map(|(_, _, run)| run.waiting_tasks().count()).sum()
    }

    /// State of the step `at`, of an open round.
    pub(super) fn step_run(&self, at: StepRef) -> &StepRun {
        &self.rounds[at.round].steps[at.step]
    }

    /// State for clients: `Running` instead of a final state that is not saved yet.
    pub(super) fn visible_state(&self) -> JobState {
        if self.state.is_final() && self.saved_version < self.version {
            return JobState::Running;
        }
        self.state
    }

    /// Notes that a worker has begun a task of it: an order alone may be refused.
    pub(super) fn note_begun(&mut self) {
        if self.state == JobState::Queued {
            self.state = JobState::Running;
        }
    }

    /// Adds the rounds that are due by `unix_ms`; returns whether there are new ones.
    pub(super) fn open_rounds(&mut self, now: Time, unix_ms: u64) -> bool {
        if self.state.is_final() {
            return false;
        }
        let before = self.rounds.len();
        while let Some(round) = self.next_due(unix_ms) {
            self.rounds.push(Round::new(round, &self.spec, Some(now)));
        }
        self.rounds.len() > before
    }

    /// Number of the next round if it is due by `unix_ms`.
    fn next_due(&self, unix_ms: u64) -> Option<u32> {
        let next = u32::try_from(self.rounds.len()).ok()?;
        let Some(repeat) = self.spec.repeat else {
            return (next == 0).then_some(0);
        };
        let due = self.due_ms(self.rounds.len());
        (next < repeat.count && due <= unix_ms).then_some(next)
    }

    /// Takes the checkpoint of a run if it is newer than the known one. That of a gang's member is
    /// that of all: they work together only if they resume from the same one.
    pub(super) fn save_checkpoint(&mut self, run: RunRef, checkpoint: &str) {
        let task = self.task(run.task);
        let Some(task) = task.filter(|task| task.takes_checkpoint(run.run, checkpoint)) else {
            return;
        };
        checkpoint.clone_into(&mut task.checkpoint);
        let step = usize::from(run.task.step);
        if !self.spec.steps[step].gang {
            return;
        }
        let members = &mut self.rounds[run.task.round as usize].steps[step].tasks;
        for member in members {
            checkpoint.clone_into(&mut member.checkpoint);
        }
    }

    /// The task `id` of an open job. Rounds up to its own are added: a worker has a run of
    /// it only if they were due.
    pub(super) fn task(&mut self, id: TaskId) -> Option<&mut Task> {
        let step = self.step_of(id)?;
        step.tasks.get_mut(usize::try_from(id.index).ok()?)
    }

    /// The step of the task `id`, like [`Self::task`].
    pub(super) fn step_of(&mut self, id: TaskId) -> Option<&mut StepRun> {
        if self.state.is_final() || id.round >= self.spec.rounds() {
            return None;
        }
        while self.rounds.len() <= id.round as usize {
            let number = self.rounds.len() as u32;
            self.rounds.push(Round::new(number, &self.spec, None));
        }
        let round = self.rounds.get_mut(usize::try_from(id.round).ok()?)?;
        round.steps.get_mut(usize::from(id.step))
    }

    /// Restores the state of the job and its tasks from the stored record.
    pub(super) fn restore(&mut self, progress: &JobProgress) {
        self.state = progress.state;
        if self.state.is_final() {
            return;
        }
        // A record that is damaged, or of another job, may name rounds that the job lacks.
        let rounds = self.spec.rounds();
        for step in progress.steps.iter().filter(|step| step.round < rounds) {
            while self.rounds.len() <= step.round as usize {
                let number = self.rounds.len() as u32;
                self.rounds.push(Round::new(number, &self.spec, None));
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
        for (first, last) in &progress.done_ranges {
            for task in step
                .tasks
                .iter_mut()
                .take(*last as usize + 1)
                .skip(*first as usize)
            {
                if !task.done {
                    task.done = true;
                    step.remaining -= 1;
                }
            }
        }
        for saved in &progress.tasks {
            if let Some(task) = step.tasks.get_mut(saved.index as usize) {
                task.failed.clone_from(&saved.failed_runs);
                task.checkpoint.clone_from(&saved.checkpoint);
                task.crashes.clone_from(&saved.crashes);
                let crashed = saved.crashes.iter().map(|mark| mark.run);
                let runs = saved.failed_runs.iter().copied().chain(crashed);
                task.last_run = runs.max().unwrap_or(0);
            }
        }
    }

    /// Progress record of the job for the store.
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

    /// Load of a task of `step` on its worker, before it starts.
    pub(super) fn load(&self, step: u16) -> Option<Load> {
        let step = self.spec.steps.get(usize::from(step))?;
        Some(Load {
            need: step.need,
            best_effort: step.best_effort,
            target_ms: step.target_ms,
            image: step.image.clone().unwrap_or_default(),
            cpu_share: Some(FULL_CPU_SHARE),
            low_since: None,
            cores: step.need.cpu.0 as f64 / MILLI,
            progress_percent: 0,
            measured_at: None,
            work_time: None,
            listed: false,
            timeline: RunTimeline::default(),
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
        } else if !task.failed.is_empty() || !task.checkpoint.is_empty() || !task.crashes.is_empty()
        {
            progress.tasks.push(TaskProgress {
                index,
                failed_runs: task.failed.clone(),
                checkpoint: task.checkpoint.clone(),
                crashes: task.crashes.clone(),
            });
        }
    }
    let empty = progress.done_ranges.is_empty() && progress.tasks.is_empty();
    (!empty).then_some(progress)
}

/// Position of a step: its job, round and number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct StepRef {
    pub(super) job: JobId,
    pub(super) round: usize,
    pub(super) step: usize,
}

impl StepRef {
    /// Id of the step's task `index`.
    pub(super) fn task(self, index: usize) -> TaskId {
        TaskId {
            job: self.job,
            round: self.round as u32,
            step: self.step as u16,
            index: index as u32,
        }
    }
}
