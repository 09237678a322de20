//! Log lines for the owner's decisions.

use parsleytally::jobs::{
    CopyEvidence, CrashDecision, CrashedRun, EndEvidence, EvacuationEvent, HealthEvidence,
    JobAccount, ListingOutcome, OrderMessage, QueueName, RackEvidence, RunRef, StallEvidence,
    WaitEvidence, WorkersDecision,
};
use parsleytally::types::{NodeName, Revision, ZoneName};
use std::time::Duration;

pub(super) fn log_dropped(node: &NodeName, runs: usize, evidence: EndEvidence) {
    log::warn!(agent:% = node, runs, evidence:? = evidence; "runs of a worker count as ended");
}

/// Logs a decision about runs that were lost in crashes of workers.
pub(super) fn log_crash(decision: &CrashDecision) {
    match decision {
        CrashDecision::Lost {
            node,
            incarnation,
            lost,
            suspect,
            sole,
            source,
        } => {
            let CrashedRun { run, seen_ms } = lost;
            log::warn!(task:% = run.task, run = run.run, agent:% = node, worker:% = incarnation.id,
                born = incarnation.started_ms, seen_ms:? = seen_ms, suspect, sole,
                source:? = source;
                "run lost in a crash of its worker");
        }
        CrashDecision::StartedAgain {
            run,
            node,
            last_end,
            crashes,
            isolated,
        } => {
            log::info!(task:% = run.task, run = run.run, agent:% = node, last_end:? = last_end,
                crashes, isolated; "task starts again");
        }
        CrashDecision::GivenUp { task, workers } => {
            let workers = workers.iter().map(NodeName::to_string).collect::<Vec<_>>();
            log::error!(job:% = task.job, task:% = task, workers = workers.join(",");
                "job failed: a task crashes the workers that start it");
        }
    }
}

/// Logs that a run of the first queue is preempted for a task of the second.
pub(super) fn log_preempted(
    node: &NodeName,
    run: RunRef,
    [queue, by]: [&QueueName; 2],
    percent: u32,
    lost_cpu_ms: u64,
) {
    log::info!(task:% = run.task, run = run.run, agent:% = node, queue:% = queue, by:% = by,
        percent, lost_cpu_ms; "run preempted");
}

pub(super) fn log_reconciled(node: &NodeName, outcome: &ListingOutcome) {
    let ListingOutcome {
        kept,
        missing,
        adopted,
        stopped,
    } = outcome;
    log::info!(agent:% = node, kept, missing, adopted, stopped; "runs of a worker compared");
}

/// Logs a decision about an evacuation with the age of the read that it is based on.
pub(super) fn log_evacuation(event: &EvacuationEvent) {
    match event {
        EvacuationEvent::Zone {
            zone,
            evacuated,
            workers,
            incomplete,
            revision,
            read_age,
        } => log_zone(
            zone,
            *evacuated,
            (*workers, *incomplete),
            *revision,
            *read_age,
        ),
        EvacuationEvent::Paused { read_age } => {
            log::warn!(read_age_ms = read_age.map(millis);
                "no starts: the last read of the evacuation requests is too old");
        }
        EvacuationEvent::Resumed { revision, read_age } => {
            log::info!(revision:% = revision, read_age_ms = millis(*read_age);
                "starts permitted: evacuation requests read");
        }
        EvacuationEvent::Moved {
            run,
            node,
            lost_ms,
            read_age,
        } => {
            log::info!(task:% = run.task, run = run.run, agent:% = node, lost_ms,
                read_age_ms = millis(*read_age); "run moved out of an evacuated zone");
        }
    }
}

fn log_zone(
    zone: &ZoneName,
    evacuated: bool,
    (workers, incomplete): (usize, bool),
    revision: Revision,
    read_age: Duration,
) {
    let read_age_ms = millis(read_age);
    if workers == 0 && !incomplete {
        log::warn!(zone:% = zone, evacuated, revision:% = revision, read_age_ms;
            "evacuation request has no effect: no worker reports this zone");
    } else if evacuated {
        log::info!(zone:% = zone, workers, revision:% = revision, read_age_ms;
            "zone evacuated");
    } else {
        log::info!(zone:% = zone, workers, revision:% = revision, read_age_ms;
            "zone in use again");
    }
}

/// Logs why the tasks of a step wait.
pub(super) fn log_waiting(evidence: &WaitEvidence) {
    let WaitEvidence {
        task,
        tasks,
        running,
        waited_ms,
        reason,
        holder,
        vain_starts,
        workers,
        free_percent,
        pool_use,
    } = evidence;
    let (used_percent, unlinked) = (pool_use.used_percent(), pool_use.unlinked());
    let workers = workers.iter().map(|(reason, n)| format!("{reason}:{n}"));
    let workers = workers.collect::<Vec<_>>().join(",");
    let holder = holder.as_ref().map(ToString::to_string).unwrap_or_default();
    log::info!(job:% = task.job, task:% = task, tasks, running, waited_ms, reason:% = reason,
        holder, vain_starts, workers, free_percent, used_percent, full = pool_use.is_full(),
        unlinked; "tasks wait");
}

/// Logs an ended job and what its time was lost to.
pub(super) fn log_account(account: &JobAccount) {
    let times = &account.task_ms;
    log::info!(job:% = account.job, queue:% = account.queue.0, outcome:% = account.outcome,
        tasks = account.tasks, took_ms = account.took_ms, allowed_ms = account.allowed_ms,
        waited_ms = times.waited, throttled_ms = times.throttled, vain_ms = times.vain,
        worked_ms = times.worked, straggled_ms = account.straggled_ms; "job ended");
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

pub(super) fn log_undelivered(node: &NodeName, messages: &[OrderMessage]) {
    log::warn!(agent:% = node, orders = messages.len(); "orders not sent: the agent is not linked");
}

pub(super) fn log_order(node: &NodeName, message: &OrderMessage) {
    match message {
        OrderMessage::Start(order) => {
            log::info!(task:% = order.run.task, run = order.run.run, agent:% = node; "start ordered");
        }
        OrderMessage::Stop(run) => {
            log::info!(task:% = run.task, run = run.run, agent:% = node; "stop ordered");
        }
        OrderMessage::Throttle { run, cpu_share } => {
            log::info!(task:% = run.task, run = run.run, percent = cpu_share, agent:% = node; "CPU share ordered");
        }
        OrderMessage::AcknowledgeEnds { sequence, .. } => {
            log::debug!("ended runs of agent {node} are stored up to sequence number {sequence}");
        }
        _ => {}
    }
}

pub(super) fn log_workers_decision(decision: &WorkersDecision) {
    match decision {
        WorkersDecision::Capacity {
            node,
            before,
            after,
            reserved,
        } => {
            log::info!(agent:% = node, before:% = before, after:% = after, reserved:% = reserved;
                "capacity of a worker changed");
        }
        WorkersDecision::Standing {
            node,
            standing,
            evidence,
        } => {
            let HealthEvidence {
                slowness_percent,
                failure_percent,
                start_delay_ms,
                outages,
                age_ms,
            } = evidence;
            log::warn!(agent:% = node, standing:? = standing, slowness_percent:? = slowness_percent,
                failure_percent:? = failure_percent, start_delay_ms:? = start_delay_ms, outages,
                age_ms; "standing of a worker changed");
        }
        WorkersDecision::RackWait(evidence) => {
            log_rack(evidence, "waiting for the preferred rack");
        }
        WorkersDecision::RackGivenUp(evidence) => {
            log_rack(evidence, "starting outside the preferred rack");
        }
        WorkersDecision::Copy {
            run,
            node,
            original,
            evidence,
        } => {
            let CopyEvidence {
                elapsed_ms,
                mean_ms,
                remaining_ms,
                age_ms,
            } = evidence;
            log::info!(task:% = run.task, run = run.run, agent:% = node, original, elapsed_ms,
                mean_ms, remaining_ms, age_ms:? = age_ms; "copy of a straggler started");
        }
        WorkersDecision::CopiesEnded { run, copy_won } => {
            log::info!(task:% = run.task, run = run.run, copy_won; "first of several runs is done");
        }
        WorkersDecision::Stall {
            run,
            node,
            evidence,
        } => {
            let StallEvidence {
                percent,
                stalled_ms,
                expected_ms,
                measurements,
            } = evidence;
            log::warn!(task:% = run.task, run = run.run, agent:% = node, percent, stalled_ms,
                expected_ms, measurements; "stopping a run without progress");
        }
    }
}

fn log_rack(evidence: &RackEvidence, message: &str) {
    let RackEvidence {
        task,
        tasks,
        rack,
        waited_ms,
        forecast_ms,
        allowed_ms,
    } = evidence;
    log::info!(task:% = task, tasks, rack:% = rack, waited_ms, forecast_ms, allowed_ms; "{message}");
}
