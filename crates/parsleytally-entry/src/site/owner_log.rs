//! Log lines for the owner's decisions.

use parsleytally::jobs::{EndEvidence, ListingOutcome, OrderMessage, QueueName, RunRef};
use parsleytally::types::NodeName;

pub(super) fn log_dropped(node: &NodeName, runs: usize, evidence: EndEvidence) {
    log::warn!(agent:% = node, runs, evidence:? = evidence; "runs of a worker count as ended");
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
