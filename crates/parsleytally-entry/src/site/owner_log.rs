//! Log lines for the owner's decisions.

use parsleytally::jobs::{
    CopyEvidence, EndEvidence, HealthEvidence, ListingOutcome, OrderMessage, RackEvidence,
    StallEvidence, WorkersDecision,
};
use parsleytally::types::NodeName;

pub(super) fn log_dropped(node: &NodeName, runs: usize, evidence: EndEvidence) {
    log::warn!(agent:% = node, runs, evidence:? = evidence; "runs of a worker count as ended");
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
