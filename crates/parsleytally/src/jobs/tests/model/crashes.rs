//! Tasks that crash the workers that start them, and workers whose capacity changes.

use super::*;

/// Time from the start of such a task to the crash of its worker, in milliseconds.
const CRASH_AFTER_MS: u64 = 10;
/// Most starts of such a task after three workers have crashed under it.
const MAX_FURTHER_STARTS: usize = 2;
/// Crashes after which these starts count.
const COUNTED_CRASHES: usize = 3;
/// Least crashes under a task of a job that may be given up.
const MIN_CRASHES: usize = 2;
/// Time without faults before a start from which on it counts.
const CALM_BEFORE: Duration = Duration::from_secs(3);
/// Time for which a capacity counts after it has shrunk: 3 s, and one report.
const SHRINK_SLACK: Duration = Duration::from_secs(4);
/// Every so many jobs, one has a task that crashes its workers.
const DEADLY_JOBS: u64 = 5;

/// Crashes under tasks, and the capacities of the workers.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    /// Whether there are such tasks and changes of capacities.
    pub(super) enabled: bool,
    /// Crashes under each task.
    under: HashMap<TaskId, usize>,
    /// Starts of each deadly task after it has crashed three workers.
    further: HashMap<TaskId, usize>,
    /// Capacities that each worker had, with the times from which on.
    capacities: BTreeMap<usize, Vec<(Time, usize)>>,
}

impl Crashes {
    /// Whether the task crashes the workers that start it.
    pub(super) fn is_deadly(&self, task: TaskId) -> bool {
        self.enabled && task.job.0 % DEADLY_JOBS == 2 && (task.step, task.index) == (0, 0)
    }

    /// Capacity of a worker, in tasks.
    pub(super) fn capacity(&self, at: usize) -> usize {
        let known = self.capacities.get(&at).and_then(|known| known.last());
        known.map_or(CAPACITY, |(_, capacity)| *capacity)
    }

    /// Greatest capacity of a worker that counts at `now`.
    pub(super) fn counted_capacity(&self, now: Time, at: usize) -> usize {
        let known = self.capacities.get(&at).map_or(&[][..], Vec::as_slice);
        let mut ends = known.iter().skip(1).map(|(from, _)| *from).chain([now]);
        let counted = known.iter().filter(|_| {
            let end = ends.next().unwrap_or(now);
            end.after(SHRINK_SLACK) >= now
        });
        let greatest = counted.map(|(_, capacity)| *capacity).max();
        greatest.unwrap_or(CAPACITY)
    }

    fn set_capacity(&mut self, now: Time, at: usize, capacity: usize) {
        let known = self.capacities.entry(at).or_default();
        if known.is_empty() {
            known.push((Time::ZERO, CAPACITY));
        }
        known.push((now, capacity));
    }
}

impl Simulation {
    /// A simulation with tasks that crash their workers, and capacities that change.
    pub(super) fn with_crashes(seed: u64) -> Self {
        let mut simulation = Self::new(seed, InjectedBug::Nothing);
        simulation.crashes.enabled = true;
        for at in 0..WORKERS {
            let shrinks = simulation.rng.random_range(500..20_000);
            let grows = shrinks + simulation.rng.random_range(500..6_000);
            let capacity = simulation.rng.random_range(0..CAPACITY);
            simulation.push(shrinks, Event::Capacity(at, capacity));
            simulation.push(grows, Event::Capacity(at, CAPACITY));
        }
        simulation
    }

    pub(super) fn change_capacity(&mut self, at: usize, capacity: usize) {
        self.crashes.set_capacity(self.now, at, capacity);
        self.report_worker(at);
    }

    /// Counts a start of a task that crashes its workers, and lets the worker crash.
    pub(super) fn note_start(&mut self, at: usize, run: RunRef) {
        if !self.crashes.is_deadly(run.task) {
            return;
        }
        let born = self.workers[at].born;
        self.push(CRASH_AFTER_MS, Event::Crash(at, born));
        let crashes = self.crashes.under.get(&run.task).copied();
        let calm = self.disturbed.after(CALM_BEFORE) < self.now;
        if crashes.unwrap_or_default() < COUNTED_CRASHES || !calm {
            return;
        }
        let further = self.crashes.further.entry(run.task).or_default();
        *further += 1;
        if *further > MAX_FURTHER_STARTS {
            let (now, task) = (self.now, run.task);
            self.violations.push(format!(
                "{now}: {task} is started on and on, last on worker {at}"
            ));
        }
    }

    /// A worker crashes, if it is still the same incarnation.
    pub(super) fn crash(&mut self, at: usize, born: u64) {
        if !self.workers[at].up || self.workers[at].born != born {
            return;
        }
        self.count_crash(at);
        self.worker_end(at, born);
    }

    /// Counts a crash of a worker under each task that runs there.
    pub(super) fn count_crash(&mut self, at: usize) {
        for run in self.workers[at].runs() {
            *self.crashes.under.entry(run.task).or_default() += 1;
        }
    }

    /// Checks that no job was given up without two crashes under one of its tasks.
    pub(super) fn check_failed(&mut self) {
        for (id, stored) in &self.jobs {
            let state = stored.progress.as_ref().map(|progress| progress.state);
            let mut under = self.crashes.under.iter();
            let has_cause = under.any(|(task, crashes)| task.job == *id && *crashes >= MIN_CRASHES);
            if state == Some(JobState::Failed) && !has_cause {
                let now = self.now;
                self.violations
                    .push(format!("{now}: job {id} has failed without cause"));
            }
        }
    }
}

/// Guards against a task that crashes server after server, a job that is given up without cause
/// and a worker over its shrunken capacity, under all other faults.
#[test]
fn crashing_tasks_and_changing_capacities_break_no_invariant() {
    let results = (0..seed_count() / 2).map(|seed| (seed, Simulation::with_crashes(seed).run()));
    assert_none_fails(results);
}
