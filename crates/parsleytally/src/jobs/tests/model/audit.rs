//! Audit in calm moments: what the newest owner counts on, beside what the workers do.
//!
//! It compares both ways and holds between the faults too. A moment is calm when no fault is
//! active and each process is up and answers; a difference that lasts for longer than its limit,
//! all of it in calm, is a violation.

use super::super::super::scheduler::active_runs;
use super::stalls::Process;
use super::*;

/// Longest time for which a difference between owner and workers lasts in calm, and for which a
/// task waits with over half of the room free.
const AUDIT_LIMIT: Duration = Duration::from_secs(3);
/// Longest such time after the last fault, though workers leave and come back.
const RECOVERED_LIMIT: Duration = Duration::from_secs(10);
/// Longest time for which a task that lasts waits, and how much of it may be less calm.
const LASTING_LIMIT: Duration = Duration::from_secs(9);
const LASTING_CALM: Duration = Duration::from_secs(7);
/// Groups of faults in a simulation with gaps, the first of them, and the time between two.
const GROUPS: u64 = 4;
const FIRST_GROUP_MS: u64 = 2_000;
const GROUP_INTERVAL_MS: u64 = 14_000;
/// Time within which the faults of a group start, in milliseconds.
const GROUP_MS: u64 = 1_000;
/// Time of the last submission in such a simulation, and of the end of its faults.
const LAST_SUBMISSION_MS: u64 = 58_000;
const GAPS_END_MS: u64 = 60_000;
/// Further short jobs in such a simulation; the first one, which is odd, so none is lasting.
const GAP_JOBS: u64 = 60;
const FIRST_GAP_JOB: u64 = 2_001;

/// A difference between the newest owner and the workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Difference {
    /// The owner counts a run that is not on its worker.
    Absent(usize, RunRef),
    /// A task's run, as its job has it, is not on its worker.
    AbsentOfTask(usize, RunRef),
    /// A run is on a worker, and the owner does not count it.
    Uncounted(usize, RunRef),
    /// A task waits with over half of the room free.
    Waits(TaskId),
    /// A task that lasts waits, and some worker has room.
    LastingWaits(TaskId),
}

impl Difference {
    fn describe(self) -> String {
        match self {
            Self::Absent(at, run) => {
                format!(
                    "{} is counted by the newest owner and absent from worker {at}",
                    run.task
                )
            }
            Self::AbsentOfTask(at, run) => {
                format!("{} has a run that is absent from worker {at}", run.task)
            }
            Self::Uncounted(at, run) => {
                format!(
                    "{} is not counted by the newest owner on worker {at}",
                    run.task
                )
            }
            Self::Waits(task) => format!("{task} waits with over half of the room free"),
            Self::LastingWaits(task) => format!("{task} is to last and waits with room"),
        }
    }
}

/// Differences, each with the time since which it lasts.
#[derive(Debug, Default)]
pub(super) struct Audit {
    /// Whether nothing is compared, so that other checks are the first to tell of a bug.
    pub(super) disabled: bool,
    /// Last time that was not calm.
    unsettled: Time,
    /// Until when the agent of each worker waits in vain for a lost answer.
    unanswered: [Time; WORKERS],
    since: BTreeMap<Difference, Time>,
}

impl Audit {
    /// Notes that the answer to a poll of a worker is lost, which its agent notices at `until`.
    pub(super) fn lose_answer(&mut self, at: usize, until: Time) {
        self.unanswered[at] = self.unanswered[at].max(until);
    }
}

impl Simulation {
    /// Compares the newest owner with the workers.
    pub(super) fn audit(&mut self) {
        if self.audit.disabled {
            return;
        }
        if !self.is_settled() {
            self.audit.unsettled = self.now;
        }
        self.check_reserved();
        let mut since = BTreeMap::new();
        for difference in self.differences() {
            let first = self.audit.since.get(&difference).copied();
            since.insert(difference, first.unwrap_or(self.now));
        }
        for (difference, since) in &since {
            if self.lasts_too_long(*difference, *since) {
                let text = format!("{}: {}", self.now, difference.describe());
                self.violations.push(text);
            }
        }
        self.audit.since = since;
    }

    fn lasts_too_long(&self, difference: Difference, since: Time) -> bool {
        let lasts = |from: Time, limit| since.max(from).after(limit) < self.now;
        let settled = lasts(self.audit.unsettled, AUDIT_LIMIT);
        match difference {
            Difference::Waits(_) => settled,
            Difference::LastingWaits(_) => {
                let calm = self.audit.unsettled.after(LASTING_CALM) < self.now;
                calm && lasts(since, LASTING_LIMIT)
            }
            Difference::Absent(at, _)
            | Difference::AbsentOfTask(at, _)
            | Difference::Uncounted(at, _) => {
                let recovered = lasts(self.disturbed, RECOVERED_LIMIT);
                (settled && lasts(self.audit.unanswered[at], AUDIT_LIMIT)) || recovered
            }
        }
    }

    /// Whether no fault is active and each process is up and answers.
    fn is_settled(&self) -> bool {
        let owner = self.owners.last();
        let owned = owner.is_some_and(|owner| owner.up && owner.reaches_store);
        let reachable = self.partitions.is_empty() && !self.store_down && !self.late_orders;
        let is_well = |at: usize| {
            let worker = &self.workers[at];
            let stalled = self.holds_ends(at) || self.is_stalled(Process::Agent(at));
            worker.up && !worker.leaving && self.agents[at].up && !stalled
        };
        let begins = self.begins_lost_until <= self.now;
        let calm = self.disturbed <= self.now && begins;
        owned && reachable && calm && (0..WORKERS).all(is_well)
    }

    fn differences(&self) -> Vec<Difference> {
        let mut differences = Vec::new();
        if let Some(owner) = self.owners.last() {
            self.collect_absent(&owner.scheduler, &mut differences);
            self.collect_uncounted(&owner.scheduler, &mut differences);
        }
        self.collect_waiting(&mut differences);
        differences
    }

    fn collect_absent(&self, scheduler: &Scheduler, found: &mut Vec<Difference>) {
        for at in 0..WORKERS {
            let is_absent = |run: &RunRef| !self.workers[at].runs().any(|other| other == run);
            let counted = scheduler.workers.get(&node(at));
            let counted = counted.into_iter().flat_map(|worker| worker.runs.keys());
            let absent = counted.copied().filter(is_absent);
            found.extend(absent.map(|run| Difference::Absent(at, run)));
            let placed = scheduler.jobs.iter();
            let placed = placed.flat_map(|(id, job)| active_runs(*id, job));
            let placed = placed.filter(|(_, name)| **name == node(at));
            let absent = placed.map(|(run, _)| run).filter(is_absent);
            found.extend(absent.map(|run| Difference::AbsentOfTask(at, run)));
        }
    }

    fn collect_uncounted(&self, scheduler: &Scheduler, found: &mut Vec<Difference>) {
        for (at, worker) in self.workers.iter().enumerate() {
            let counted = scheduler.workers.get(&node(at));
            let is_counted =
                |run: &&RunRef| counted.is_some_and(|counted| counted.runs.contains_key(*run));
            let uncounted = worker.runs().filter(|run| !is_counted(run));
            found.extend(uncounted.map(|run| Difference::Uncounted(at, *run)));
        }
    }

    /// Finds the tasks that are ready and wait though there is room.
    fn collect_waiting(&self, found: &mut Vec<Difference>) {
        let counts = || self.workers.iter().map(|worker| worker.runs().count());
        let capacities = || (0..WORKERS).map(|at| self.crashes.capacity(at));
        let half_free = counts().sum::<usize>() * 2 < capacities().sum();
        let has_room = counts().zip(capacities()).any(|(count, room)| count < room);
        if !has_room {
            return;
        }
        let runs = self.workers.iter().flat_map(SimulatedWorker::runs);
        let running: HashSet<TaskId> = runs.map(|run| run.task).collect();
        for task in self.ready_tasks() {
            if running.contains(&task) {
                continue;
            }
            if half_free {
                found.push(Difference::Waits(task));
            }
            if is_lasting(task.job.0) {
                found.push(Difference::LastingWaits(task));
            }
        }
    }

    /// Tasks that are to run, whether they do or not.
    fn ready_tasks(&self) -> Vec<TaskId> {
        let mut ready = Vec::new();
        for (id, stored) in &self.jobs {
            let state = stored.progress.as_ref().map(|progress| progress.state);
            if stored.record.cancelled || state.is_some_and(JobState::is_final) {
                continue;
            }
            let counts = stored.record.spec.steps.iter().map(|step| step.count);
            for (step, count) in counts.enumerate() {
                let tasks = (0..count).map(|index| TaskId {
                    job: *id,
                    round: 0,
                    step: step as u16,
                    index,
                });
                let open: Vec<TaskId> = tasks.filter(|task| !self.done.contains(task)).collect();
                if !open.is_empty() {
                    ready.extend(open);
                    break;
                }
            }
        }
        ready.retain(|task| !self.crashes.is_deadly(*task));
        ready
    }

    /// Checks that what an owner has reserved on each worker is the sum of its runs there.
    fn check_reserved(&mut self) {
        let Some(owner) = self.owners.last() else {
            return;
        };
        let workers = owner.scheduler.workers.iter();
        let differs = workers.filter(|(_, worker)| {
            let loads = || worker.runs.values();
            let best_effort = |wanted| loads().filter(move |load| load.best_effort == wanted);
            let cpu = |wanted| best_effort(wanted).map(|load| load.need.cpu.0).sum::<u64>();
            let memory: u64 = loads().map(|load| load.need.memory.0).sum();
            worker.reserved.cpu.0 != cpu(false)
                || worker.best_effort_cpu != cpu(true)
                || worker.reserved.memory.0 != memory
        });
        let texts = differs.map(|(node, worker)| {
            let (now, reserved) = (self.now, worker.reserved);
            format!("{now}: {node} has {reserved:?} reserved, not the sum of its runs")
        });
        let texts: Vec<String> = texts.collect();
        self.violations.extend(texts);
    }

    /// A simulation whose faults come in groups with calm between them, and whose jobs come all
    /// the time.
    pub(super) fn with_gaps(seed: u64) -> Self {
        Self::with_gaps_and_bug(seed, InjectedBug::Nothing)
    }

    pub(super) fn with_gaps_and_bug(seed: u64, bug: InjectedBug) -> Self {
        let mut simulation = Self::new(seed, bug);
        let is_planned = |Reverse(planned): &Reverse<ScheduledEvent>| {
            let event = &planned.2;
            matches!(
                event,
                Event::Fault | Event::StallAny | Event::Heal | Event::Calm
            )
        };
        simulation.queue.retain(|planned| !is_planned(planned));
        for group in 0..GROUPS {
            let start = FIRST_GROUP_MS + group * GROUP_INTERVAL_MS;
            for _ in 0..simulation.rng.random_range(1..=2) {
                let delay = simulation.rng.random_range(0..GROUP_MS);
                simulation.push(start + delay, Event::Fault);
            }
            let delay = simulation.rng.random_range(0..GROUP_MS);
            simulation.push(start + delay, Event::StallAny);
        }
        for number in 0..GAP_JOBS {
            let at = simulation.rng.random_range(100..LAST_SUBMISSION_MS);
            simulation.push(at, Event::Submit(FIRST_GAP_JOB + 2 * number));
        }
        simulation.push(GAPS_END_MS, Event::Heal);
        simulation.push(GAPS_END_MS, Event::Calm);
        simulation
    }
}

/// Guards against a run that only the owner counts, a run that it does not count, and a task that
/// waits with room free, in the calm between faults.
#[test]
fn owner_and_workers_agree_between_faults() {
    let results = (0..seed_count()).map(|seed| (seed, Simulation::with_gaps(seed).run()));
    assert_none_fails(results);
}

#[test]
fn injected_bugs_are_detected_between_faults() {
    let cases = [
        BugCase {
            bug: InjectedBug::LostStarts,
            violation: "is counted by the newest owner and absent",
        },
        BugCase {
            bug: InjectedBug::EarlyMissing,
            violation: "runs twice",
        },
        BugCase {
            bug: InjectedBug::HiddenRuns,
            violation: "is not counted by the newest owner",
        },
        BugCase {
            bug: InjectedBug::UnheardEnds,
            violation: "is counted by the newest owner and absent",
        },
        BugCase {
            bug: InjectedBug::UnseenJobs,
            violation: "waits with over half of the room free",
        },
        BugCase {
            bug: InjectedBug::UnseenJobs,
            violation: "is to last and waits with room",
        },
        BugCase {
            bug: InjectedBug::KeptRoom,
            violation: "not the sum of its runs",
        },
    ];
    for BugCase { bug, violation } in cases {
        let mut runs = (0..BUG_SEEDS).map(|seed| Simulation::with_gaps_and_bug(seed, bug).run());
        let detected = runs.any(|found| found.iter().any(|text| text.contains(violation)));
        assert!(detected, "{bug:?} was not detected by {violation:?}");
    }
}
