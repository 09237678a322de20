//! Log lines for the owner's decisions.

use std::time::Duration;

use parsleytally::jobs::{EndEvidence, EvacuationEvent, ListingOutcome, OrderMessage};
use parsleytally::types::{NodeName, Revision, ZoneName};

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
