//! Paces fillers where they would hold up tasks that serve users, and takes off those
//! that would stand still.

use super::super::fleet::Load;
use super::super::job::MILLI;
use super::super::place::{Wanted, choose};
use super::super::{OrderMessage, Output, RunRef, RunStatus};
use super::Scheduler;
use crate::types::{NodeName, Time};

/// Pace below which a filler is better started elsewhere, in percent.
const LEAST_PACE: u32 = 20;
/// Share of its work, in percent, past which a filler is left to end where it is.
const NEARLY_DONE: u32 = 85;

/// Least pace at which the use of a filler tells of its use at full pace, in percent.
const TELLING_PACE: u32 = 40;

/// Takes what a filler uses, in thousandths of a processor.
fn note_use(load: &mut Load, used: u64) {
    let tells = load.pace.is_some_and(|pace| pace >= TELLING_PACE);
    if load.filler && tells && used > 0 {
        load.cores = used as f64 / MILLI / load.speed();
    }
}

impl Scheduler {
    /// Learns from measurements, and paces the fillers of the worker by it.
    pub(super) fn protect(
        &mut self,
        now: Time,
        node: &NodeName,
        gauges: &[RunStatus],
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        for gauge in gauges {
            if let Some(load) = worker.runs.get_mut(&gauge.run) {
                load.percent = gauge.percent;
                note_use(load, gauge.measurement);
            }
        }
        if worker.fillers == 0 && worker.serving == 0 {
            return;
        }
        self.contention.measured(now, node, worker, gauges);
        for (run, percent) in self.contention.paces(node, worker) {
            self.pace(now, node, run, percent, out);
        }
    }

    fn pace(
        &mut self,
        now: Time,
        node: &NodeName,
        run: RunRef,
        percent: u32,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        let Some(load) = worker.runs.get_mut(&run) else {
            return;
        };
        let stands = percent < LEAST_PACE && load.percent < NEARLY_DONE;
        if load.pace != Some(percent) {
            load.set_pace(now, percent);
            let pace = OrderMessage::Throttle {
                run,
                cpu_share: percent,
            };
            out.push(Output::Order(node.clone(), pace));
        }
        // Without room elsewhere it keeps its progress where it is.
        if stands && self.has_room_elsewhere(now, node, run) {
            self.stop_run(run, out);
        }
    }

    /// Whether another worker would take the task of a run now.
    fn has_room_elsewhere(&self, now: Time, node: &NodeName, run: RunRef) -> bool {
        let Some(job) = self.jobs.get(&run.task.job) else {
            return false;
        };
        let step = usize::from(run.task.step);
        let round = job.rounds.get(run.task.round as usize);
        let (Some(round), Some(load)) = (round, job.load(run.task.step)) else {
            return false;
        };
        let wanted = Wanted {
            contention: &self.contention,
            policy: &job.policy,
            step: &job.spec.steps[step],
            load: &load,
            failed_on: None,
            shared_rack: None,
        };
        choose(&self.workers, &wanted, &round.steps[step], now).is_some_and(|best| best != node)
    }
}
