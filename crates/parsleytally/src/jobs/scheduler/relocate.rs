//! Moves runs out of evacuated availability zones: stops those that would lose little, so that
//! their tasks start again in other zones.

use std::collections::BTreeSet;
use std::time::Duration;

use super::super::evacuation::EvacuationEvent;
use super::super::fleet::{Load, Worker};
use super::super::job::{LiveRun, MILLI, StepRef, StepRun, Task};
use super::super::{Output, RunRef};
use super::Scheduler;
use super::drain::remaining_work_ms;
use crate::types::{NodeName, Time};

/// Time between two checks for runs to move: about as long as a stop and a start take, so that
/// the next check sees the room that the last moves took.
const MOVE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of runs that are moved at each check.
const MAX_MOVES: usize = 8;
/// Part of its expected work, in percent, that a run without checkpoints may lose by a move.
const MAX_LOST_PERCENT: u64 = 25;
/// Remaining work time in milliseconds up to which a run is left to finish where it is.
const MIN_REMAINING_MS: f64 = 1_000.0;

/// A run to move, and the work time that it loses.
struct Move {
    run: RunRef,
    node: NodeName,
    lost_ms: u64,
}

impl Scheduler {
    /// Stops runs on workers of evacuated zones whose tasks can start in another zone now.
    pub(super) fn move_out_of_zones(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.evacuation.zones() == 0 || now < self.next_move {
            return;
        }
        self.next_move = now.after(MOVE_INTERVAL);
        let read_age = self.evacuation.read_age(now).unwrap_or_default();
        for relocation in self.moves(now) {
            let Move { run, node, lost_ms } = relocation;
            self.stop_run(run, out);
            out.push(Output::Evacuation(EvacuationEvent::Moved {
                run,
                node,
                lost_ms,
                read_age,
            }));
        }
    }

    /// Runs to move now: at most one to each worker and one of each service step.
    fn moves(&self, now: Time) -> Vec<Move> {
        let mut moves = Vec::new();
        let mut targets = BTreeSet::new();
        let mut service_steps = BTreeSet::new();
        let evacuated = self.workers.iter().filter(|(_, worker)| worker.evacuated);
        let runs = evacuated.flat_map(|(node, worker)| {
            worker
                .runs
                .iter()
                .map(move |(run, load)| (node, *run, load))
        });
        for (node, run, load) in runs {
            if moves.len() >= MAX_MOVES {
                break;
            }
            let Some(at) = self.step_of(run) else {
                continue;
            };
            if service_steps.contains(&at) {
                continue;
            }
            let Some(lost_ms) = self.loss_of_move(now, at, run, load) else {
                continue;
            };
            let index = run.task.index as usize;
            let Some(target) =
                self.choose_elsewhere(now, at, index, |node, _| !targets.contains(node))
            else {
                continue;
            };
            targets.insert(target);
            if self.jobs[&at.job].spec.steps[at.step].long_running {
                service_steps.insert(at);
            }
            let node = node.clone();
            moves.push(Move { run, node, lost_ms });
        }
        moves
    }

    /// Step of a run that its task needs and that was not ordered to stop.
    fn step_of(&self, run: RunRef) -> Option<StepRef> {
        let at = StepRef {
            job: run.task.job,
            round: run.task.round as usize,
            step: usize::from(run.task.step),
        };
        let round = self.jobs.get(&at.job)?.rounds.get(at.round)?;
        let task = round
            .steps
            .get(at.step)?
            .tasks
            .get(run.task.index as usize)?;
        let mut runs = task.runs.iter();
        let needed = runs.any(|live| live.run == run.run && !live.stopping);
        (needed && !task.done).then_some(at)
    }

    /// Work time in milliseconds that a run loses if it is moved; none if it is not moved.
    fn loss_of_move(&self, now: Time, at: StepRef, run: RunRef, load: &Load) -> Option<u64> {
        let job = &self.jobs[&at.job];
        let step = &job.spec.steps[at.step];
        if step.gang {
            return None;
        }
        if step.long_running {
            let limit = step.max_unavailable as usize;
            return self.may_interrupt(at, run, limit).then_some(0);
        }
        let step_run = job.step_run(at);
        let expected_ms = self.durations.expected_ms(&job.policy.name, step, step_run);
        let remaining_ms = remaining_work_ms(expected_ms, now, load);
        if remaining_ms <= MIN_REMAINING_MS {
            return None;
        }
        if step.checkpoints {
            return Some(0);
        }
        let lost_ms = match load.work_time_at(now) {
            Some(work_time) => (work_time.as_secs_f64() * MILLI) as u64,
            None => expected_ms * u64::from(load.progress_percent) / 100,
        };
        (lost_ms * 100 <= expected_ms * MAX_LOST_PERCENT).then_some(lost_ms)
    }

    /// Whether a service task may be interrupted: the step has no other task on the move, and
    /// at most `limit` tasks are unavailable then, for whatever cause.
    fn may_interrupt(&self, at: StepRef, run: RunRef, limit: usize) -> bool {
        let step_run: &StepRun = self.jobs[&at.job].step_run(at);
        let on_the_move =
            |task: &Task| !task.done && task.runs.iter().all(|live: &LiveRun| live.stopping);
        if step_run.tasks.iter().any(on_the_move) {
            return false;
        }
        let unavailable = |(index, task): &(usize, &Task)| {
            let is_moved = *index == run.task.index as usize;
            is_moved || !self.is_available(at, *index, task)
        };
        let tasks = step_run.tasks.iter().enumerate();
        tasks.filter(unavailable).count() <= limit
    }

    /// Whether a service task is in service on a worker that answers.
    fn is_available(&self, at: StepRef, index: usize, task: &Task) -> bool {
        let serves = |live: &LiveRun| {
            let run = RunRef {
                task: at.task(index),
                run: live.run,
            };
            let worker = self.workers.get(&live.node);
            let worker = worker.filter(|worker: &&Worker| worker.linked && !worker.unresponsive);
            let load = worker.and_then(|worker| worker.runs.get(&run));
            !live.stopping && load.is_some_and(|load| load.progress_percent >= 100)
        };
        task.runs.iter().any(serves)
    }
}
