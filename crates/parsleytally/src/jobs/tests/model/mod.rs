//! Simulation of owners, agents, workers and a store with seeded faults, in simulated
//! time. It checks invariants on the actions of the workers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::worker::{LASTING, LEASE_MAX_MS, SimulatedWorker, WorkerEvent};
use super::*;
use crate::configs::{SharesConfig, WorkersConfig};
use crate::types::{MilliCpu, Revision, Time};

mod agents;
mod audit;
mod calls;
mod checks;
mod crashes;
mod faults;
mod known;
mod links;
mod odd;
mod owner_changes;
mod owners;
mod queue;
mod registration;
mod stalls;
mod store;
mod strangers;
mod workers;

use agents::{SimulatedAgent, agent};
use audit::Audit;
use calls::Calls;
use crashes::Crashes;
use links::Link;
use odd::OddEntries;
use owners::SimulatedOwner;
use queue::{Event, ScheduledEvent};
use stalls::{STALLS, Stalls};
use store::{StoredJob, low_queue};

/// Number of seeds that the tests simulate.
const SEEDS: u64 = 300;
/// Most seeds within which an injected bug is detected.
const BUG_SEEDS: u64 = 2_000;
const WORKERS: usize = 4;
/// Start of the first incarnation of each worker, and least time from one to the next.
const FIRST_START: u64 = 1_000;
const JOBS: u64 = 14;
/// Every so many jobs, one has tasks that run until it is cancelled.
const LASTING_JOBS: u64 = 4;
/// Longest time from the submission to the cancel of such a job, in milliseconds.
const LONGEST_LASTING_MS: u64 = 40_000;
/// Job that is submitted after all others and needs all workers whole.
const LAST_JOB: u64 = JOBS + 1;
/// Simulated time of its submission, in milliseconds.
const LAST_JOB_AT_MS: u64 = 70_000;
/// Time for which a worker counts as flapping after its last outage, in milliseconds.
const FLAPPING_MS: u64 = 60_000;
/// Tasks that a worker can run at the same time.
const CAPACITY: usize = 4;
const FAULTS: usize = 9;
/// Time in which jobs are submitted and faults start.
const FAULT_PERIOD: Duration = Duration::from_secs(25);
/// Simulated time by which all jobs must have ended.
const END: Duration = Duration::from_secs(80);
const LEASE: Duration = Duration::from_secs(4);
const LEASE_MAX: Duration = Duration::from_millis(LEASE_MAX_MS);
const AGENT_HOLD: Duration = Duration::from_secs(5);
const OWNER_HOLD: Duration = Duration::from_secs(8);

/// Bug injected into the system, which the checks must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InjectedBug {
    Nothing,
    /// Ended runs are acknowledged before the store has saved them.
    EarlyAcknowledgement,
    /// Polls don't raise the fencing token of the worker.
    NoFencing,
    /// A new owner doesn't wait for agents that have not reported.
    NoWait,
    /// Orders to stop a run are lost and not repeated.
    LostStops,
    /// Owners don't see listed runs of cancelled jobs.
    HiddenRuns,
    /// Owners don't see ended runs that are listed together with the running ones.
    HiddenEnds,
    /// Agents don't register their address again.
    NoRegistration,
    /// Agents tell too early that the last lease of a leaving worker has expired.
    EarlyLastLease,
    /// Answers to pings keep the runs of agents alive whose listing is not known.
    EndlessSupport,
    /// Agents don't tell a new owner of ended runs.
    UntoldEnds,
    /// Agents don't tell a new owner of runs that may still start.
    UntoldStarts,
    /// Agents that have just started tell a new owner that there are no runs.
    GuessedRuns,
    /// Some orders to start a run are lost on links that stay.
    LostStarts,
    /// The agent tells of some runs that they are missing before their orders reach it.
    EarlyMissing,
    /// Owners don't see some ends that are told by themselves.
    UnheardEnds,
    /// Owners don't see some jobs.
    UnseenJobs,
    /// Owners keep the room of some runs reserved that have ended.
    KeptRoom,
}

struct Simulation {
    bug: InjectedBug,
    uneven: WorkersConfig,
    rng: SmallRng,
    now: Time,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    sequence: u64,
    workers: Vec<SimulatedWorker>,
    agents: Vec<SimulatedAgent>,
    owners: Vec<SimulatedOwner>,
    jobs: BTreeMap<JobId, StoredJob>,
    revision: u64,
    /// Agents whose address is in the store.
    registered: BTreeMap<usize, u64>,
    links: u64,
    /// Pairs of owner and agent that can't reach each other.
    partitions: HashSet<(usize, usize)>,
    /// Links that lost a message and so deliver no further ones.
    broken_links: HashSet<Link>,
    store_down: bool,
    late_orders: bool,
    /// Until when links of the newest owner end before their first message arrives.
    begins_lost_until: Time,
    /// Until when the effects of the faults so far last at most.
    disturbed: Time,
    /// From when no fault is active any more; none before the last fault.
    calm: Option<Time>,
    /// When each job was cancelled.
    cancelled: HashMap<JobId, Time>,
    /// Tasks with a completed run.
    done: HashSet<TaskId>,
    /// When each completed run ended.
    done_at: HashMap<RunRef, Time>,
    /// When each task was last started.
    last_starts: HashMap<TaskId, Time>,
    /// Since when the newest owner doesn't know of a run in progress, by worker.
    unknown_since: BTreeMap<(usize, RunRef), Time>,
    /// Tasks whose completed run was acknowledged to its worker.
    acknowledged: HashSet<TaskId>,
    violations: Vec<String>,
    /// Whether there is a queue of lower priority whose runs may be preempted.
    preempts: bool,
    /// Number of preempted runs.
    preempted: usize,
    audit: Audit,
    crashes: Crashes,
    calls: Calls,
    stalls: Stalls,
    /// Odd entries of the lists of each worker; empty if there are none.
    odd: Vec<OddEntries>,
    /// Whether the events are printed.
    traced: bool,
}

impl Simulation {
    fn new(seed: u64, bug: InjectedBug) -> Self {
        Self::with_settings(seed, bug, WorkersConfig::default())
    }

    /// A simulation whose owners have these settings for uneven workers.
    fn with_settings(seed: u64, bug: InjectedBug, uneven: WorkersConfig) -> Self {
        let now = Time::from_secs(1);
        let mut simulation = Self {
            bug,
            uneven,
            rng: SmallRng::seed_from_u64(seed),
            now,
            queue: BinaryHeap::new(),
            sequence: 0,
            workers: (0..WORKERS)
                .map(|_| SimulatedWorker::new(now, FIRST_START))
                .collect(),
            agents: (0..WORKERS).map(|_| agent(1, now)).collect(),
            owners: Vec::new(),
            jobs: BTreeMap::new(),
            revision: 10,
            registered: (0..WORKERS).map(|at| (at, 0)).collect(),
            links: 0,
            partitions: HashSet::new(),
            broken_links: HashSet::new(),
            store_down: false,
            late_orders: false,
            begins_lost_until: now,
            disturbed: now,
            calm: None,
            cancelled: HashMap::new(),
            done: HashSet::new(),
            done_at: HashMap::new(),
            last_starts: HashMap::new(),
            unknown_since: BTreeMap::new(),
            acknowledged: HashSet::new(),
            violations: Vec::new(),
            preempts: false,
            preempted: 0,
            audit: Audit::default(),
            crashes: Crashes::default(),
            calls: Calls::default(),
            stalls: Stalls::default(),
            odd: Vec::new(),
            traced: false,
        };
        for at in 0..WORKERS {
            simulation.push(0, Event::Heartbeat(at));
            simulation.push(0, Event::Register(at, 1));
        }
        simulation.push(0, Event::NewOwner);
        simulation.push(50, Event::Tick);
        for id in 1..=JOBS {
            let at = simulation
                .rng
                .random_range(100..FAULT_PERIOD.as_millis() as u64);
            simulation.push(at, Event::Submit(id));
            if is_lasting(id) {
                let lasts = simulation.rng.random_range(0..LONGEST_LASTING_MS);
                simulation.push(at + lasts, Event::Cancel(id));
            } else if simulation.rng.random_bool(0.25) {
                let after = simulation.rng.random_range(0..4_000);
                simulation.push(at + after, Event::Cancel(id));
            }
        }
        let last_job_at = LAST_JOB_AT_MS + simulation.flapping_ms();
        simulation.push(last_job_at, Event::Submit(LAST_JOB));
        for _ in 0..FAULTS {
            let at = simulation
                .rng
                .random_range(500..FAULT_PERIOD.as_millis() as u64);
            simulation.push(at, Event::Fault);
        }
        for _ in 0..STALLS {
            let at = simulation
                .rng
                .random_range(500..FAULT_PERIOD.as_millis() as u64);
            simulation.push(at, Event::StallAny);
        }
        simulation.push(FAULT_PERIOD.as_millis() as u64 + 100, Event::Heal);
        simulation.push(FAULT_PERIOD.as_millis() as u64 + 100, Event::Calm);
        simulation
    }

    fn push(&mut self, millis: u64, event: Event) {
        let at = self.now.after(Duration::from_millis(millis));
        self.sequence += 1;
        self.queue
            .push(Reverse(ScheduledEvent(at, self.sequence, event)));
    }

    /// Additional time before the last job, which does not run on flapping workers.
    fn flapping_ms(&self) -> u64 {
        if self.uneven.health { FLAPPING_MS } else { 0 }
    }

    fn run(self) -> Vec<String> {
        self.run_counted().0
    }

    /// Runs the simulation; returns the violations and the number of preempted runs.
    fn run_counted(mut self) -> (Vec<String>, usize) {
        let end = self.now.after(END);
        let end = end.after(Duration::from_millis(self.flapping_ms()));
        while let Some(Reverse(ScheduledEvent(at, _, event))) = self.queue.pop() {
            if at > end || !self.violations.is_empty() {
                break;
            }
            self.now = at;
            self.advance_workers();
            self.handle(event);
        }
        if self.violations.is_empty() {
            self.check_end();
        }
        (self.violations, self.preempted)
    }

    /// Handles an event, or keeps it for later if its handler is stalled.
    fn handle(&mut self, event: Event) {
        let Some(event) = self.unless_stalled(event) else {
            return;
        };
        if self.traced {
            println!("{} {event:?}", self.now);
        }
        self.handle_now(event);
    }

    fn handle_now(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::AgentTick(at) => self.tick_agent(at),
            Event::Call(id, action) => self.carry_out(id, action),
            Event::List(id) => self.list(id),
            Event::Answer(id, input) => self.receive_answer(id, input),
            Event::Advance(at) => self.handle_late_ends(at),
            Event::StallAny => self.stall_any(),
            Event::Stall(process, span) => self.stall(process, span),
            Event::Resume(process) => self.resume(process),
            Event::ToAgent(at, link, message) => {
                if self.agents[at].links.contains(&link) {
                    let owner = OwnerLink(link.number);
                    self.step_agent(at, AgentInput::OwnerMessage(owner, message));
                }
            }
            Event::ToOwner(owner, link, message) => self.receive_at_owner(owner, link, message),
            Event::LinkLost(link) => self.link_lost(link),
            Event::OwnerLost(link) => self.owner_lost(link),
            Event::Dial(owner, at) => self.dial(owner, at),
            Event::Save(owner, job, version, progress) => self.save(owner, job, version, progress),
            Event::Fault => self.fault(),
            Event::ChangeOwner => self.change_owner(),
            Event::Submit(id) => self.submit(id),
            Event::Cancel(id) => self.cancel(id),
            Event::NewOwner => self.new_owner(),
            Event::WorkerUp(at) => self.worker_up(at),
            Event::Heartbeat(at) => self.heartbeat(at),
            Event::Report(at, report) => self.receive_report(at, report),
            Event::Notice(at, id) => self.notice(at, &id),
            Event::Leave(at, born) => self.leave(at, born),
            Event::WorkerEnd(at, born) => self.worker_end(at, born),
            Event::Crash(at, born) => self.crash(at, born),
            Event::Capacity(at, capacity) => self.change_capacity(at, capacity),
            Event::AgentDown(at) => self.agent_down(at),
            Event::AgentUp(at) => self.agent_up(at),
            Event::Register(at, incarnation) => self.check_registration(at, incarnation),
            Event::Delete(owner, at, revision) => self.delete_address(owner, at, revision),
            Event::Heal => {
                self.partitions.clear();
                self.store_down = false;
                self.late_orders = false;
                self.begins_lost_until = self.now;
            }
            Event::Calm => {
                self.end_stalls();
                let calm = self.now.max(self.disturbed);
                self.calm = Some(calm);
            }
        }
    }

    fn tick(&mut self) {
        for at in 0..WORKERS {
            self.handle(Event::AgentTick(at));
        }
        for owner in 0..self.owners.len() {
            if self.owners[owner].up {
                if self.owners[owner].reaches_store && !self.store_down && self.is_current(owner) {
                    self.owners[owner].confirmed = self.now;
                }
                let confirmed = self.owners[owner].confirmed;
                self.step_owner(owner, Input::Confirmed(confirmed));
                self.step_owner(owner, Input::Tick);
            }
        }
        self.check_running();
        self.check_unknown();
        self.audit();
        self.push(50, Event::Tick);
    }
}

/// Whether the tasks of a job run until it is cancelled.
fn is_lasting(job: u64) -> bool {
    job == LAST_JOB || job.is_multiple_of(LASTING_JOBS)
}

/// Number of seeds: `PARSLEYTALLY_MODEL_DAYS`, for longer manual runs, or the default.
fn seed_count() -> u64 {
    let value = std::env::var("PARSLEYTALLY_MODEL_DAYS").ok();
    value.and_then(|count| count.parse().ok()).unwrap_or(SEEDS)
}

/// Asserts that no day of these seeds violates an invariant.
fn assert_none_fails(results: impl Iterator<Item = (u64, Vec<String>)>) {
    let failing: Vec<(u64, Vec<String>)> = results.filter(|(_, found)| !found.is_empty()).collect();
    assert!(
        failing.is_empty(),
        "{} failing seeds:\n{}",
        failing.len(),
        kinds(&failing)
    );
}

/// Kinds of violations, each with its seeds and the text of the first.
fn kinds(failing: &[(u64, Vec<String>)]) -> String {
    let mut kinds: BTreeMap<String, (Vec<u64>, &str)> = BTreeMap::new();
    for (seed, violations) in failing {
        let text = violations[0].as_str();
        let kind = text.split_whitespace().skip(2);
        let kind = kind.filter(|word| word.parse::<u64>().is_err());
        let kind = kind.collect::<Vec<_>>().join(" ");
        let entry = kinds.entry(kind).or_insert((Vec::new(), text));
        entry.0.push(*seed);
    }
    let lines = kinds.values().map(|(seeds, text)| {
        let count = seeds.len();
        format!("{count} seeds, {seeds:?}: {text}")
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// All parts for uneven workers.
const UNEVEN: WorkersConfig = WorkersConfig {
    health: true,
    rack_wait: true,
    speculation: true,
    stalls: true,
    remote_percent: 300,
};

/// A simulation with a queue of lower priority whose runs may be preempted.
fn with_preemption(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, InjectedBug::Nothing);
    simulation.preempts = true;
    simulation
}

/// Prints the events of the seed `PARSLEYTALLY_MODEL_SEED`, if that is set, of the kind
/// `PARSLEYTALLY_MODEL_KIND`: `crashes`, `gaps`, `odd`, `owners`, `preemption`, `stalls`, `uneven`,
/// or a plain one.
#[test]
fn events_of_a_seed() {
    let seed = std::env::var("PARSLEYTALLY_MODEL_SEED").ok();
    let Some(seed) = seed.and_then(|seed| seed.parse().ok()) else {
        return;
    };
    let kind = std::env::var("PARSLEYTALLY_MODEL_KIND").unwrap_or_default();
    let mut simulation = match kind.as_str() {
        "crashes" => Simulation::with_crashes(seed),
        "gaps" => Simulation::with_gaps(seed),
        "stalls" => Simulation::with_stalls(seed),
        "odd" => Simulation::with_odd_entries(seed),
        "owners" => Simulation::with_owner_changes(seed, InjectedBug::Nothing),
        "preemption" => with_preemption(seed),
        "uneven" => Simulation::with_settings(seed, InjectedBug::Nothing, UNEVEN),
        _ => Simulation::new(seed, InjectedBug::Nothing),
    };
    simulation.traced = true;
    assert_eq!(simulation.run(), Vec::<String>::new());
}

#[test]
fn invariants_hold_under_seeded_faults() {
    let results = (0..seed_count()).map(|seed| {
        let simulation = Simulation::new(seed, InjectedBug::Nothing);
        (seed, simulation.run())
    });
    assert_none_fails(results);
}

/// Guards against parts for uneven workers that break an invariant under faults: a task that
/// runs twice, a run that nobody stops, a worker that stays unused.
#[test]
fn invariants_hold_with_all_parts_for_uneven_workers() {
    let bug = InjectedBug::Nothing;
    let results = (0..seed_count() / 3).map(|seed| {
        let simulation = Simulation::with_settings(seed, bug, UNEVEN);
        (seed, simulation.run())
    });
    assert_none_fails(results);
}

/// Guards against tasks that run twice, or never again, after a preemption that a fault cuts
/// short: an owner is replaced, or the stop or its answer is lost.
#[test]
fn invariants_hold_when_runs_are_preempted_under_seeded_faults() {
    let mut preempted = 0;
    let results = (0..seed_count()).map(|seed| {
        let (violations, count) = with_preemption(seed).run_counted();
        preempted += count;
        (seed, violations)
    });
    assert_none_fails(results);
    assert!(preempted > 0, "no run was preempted");
}

/// A bug and the violation that it must lead to.
struct BugCase {
    bug: InjectedBug,
    violation: &'static str,
}

#[test]
fn injected_bugs_are_detected() {
    let cases = [
        BugCase {
            bug: InjectedBug::EarlyAcknowledgement,
            violation: "starts after its end was acknowledged",
        },
        BugCase {
            bug: InjectedBug::NoFencing,
            violation: "runs twice",
        },
        BugCase {
            bug: InjectedBug::NoWait,
            violation: "runs twice",
        },
        BugCase {
            bug: InjectedBug::LostStops,
            violation: "runs on after its cancel",
        },
        BugCase {
            bug: InjectedBug::LostStops,
            violation: "runs on in the calm phase",
        },
        BugCase {
            bug: InjectedBug::HiddenRuns,
            violation: "runs unknown to the newest owner",
        },
        BugCase {
            bug: InjectedBug::HiddenEnds,
            violation: "started again after an end that is acknowledged",
        },
        BugCase {
            bug: InjectedBug::EarlyLastLease,
            violation: "runs twice",
        },
        BugCase {
            bug: InjectedBug::EndlessSupport,
            violation: "runs twice",
        },
        BugCase {
            bug: InjectedBug::NoRegistration,
            violation: "of the last job run",
        },
    ];
    for BugCase { bug, violation } in cases {
        let mut runs = (0..BUG_SEEDS).map(|seed| {
            let mut simulation = Simulation::new(seed, bug);
            simulation.audit.disabled = true;
            simulation.run()
        });
        let detected = runs.any(|found| found.iter().any(|text| text.contains(violation)));
        assert!(detected, "{bug:?} was not detected by {violation:?}");
    }
}
