//! Log lines for the owner's decisions.

use parsleytally::jobs::{EndEvidence, ListingOutcome, OrderMessage};
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
