//! Log lines of the agent's decisions. A run that is taken for missing, not started or ended
//! names the answer of the worker that shows it.
//!
//! Times are microseconds on the agent's clock, which starts with its process.

use parsleytally::jobs::{
    AgentMessage, CallError, EndEvidence, ListingEvidence, RunConclusion, RunEvidence, RunVerdict,
    ThrottleCall, WorkerCrash, WorkerIncarnation,
};
use parsleytally::types::Time;

/// The runs of an incarnation of the worker count as ended.
pub(super) fn runs_ended(
    incarnation: Option<&WorkerIncarnation>,
    runs: usize,
    evidence: EndEvidence,
    last_listing: Option<ListingEvidence>,
) {
    let worker = incarnation.map_or("", |incarnation| &*incarnation.id);
    let born = incarnation.map_or(0, |incarnation| incarnation.started_ms);
    let answer = last_listing.map(|last| listing_text(&last));
    log::warn!(worker, born, runs, evidence:? = evidence,
        last_answer = answer.as_deref().unwrap_or("none"); "runs of the worker count as ended");
}

/// Something was concluded about a run.
pub(super) fn concluded(conclusion: &RunConclusion) {
    let RunConclusion { run, verdict, .. } = conclusion;
    let answer = answer_text(&conclusion.evidence);
    let (task, run) = (run.task, run.run);
    let start_us = micros(conclusion.start_sent);
    let known_us = micros(conclusion.known_at);
    match verdict {
        RunVerdict::Missing => {
            log::warn!(task:%, run, answer, start_us:?, known_us:?; "run is missing on the worker");
        }
        RunVerdict::NotStarted(reason) => {
            log::warn!(task:%, run, reason:?, answer, start_us:?, known_us:?; "run did not start");
        }
        RunVerdict::Ended { reason, sequence } => {
            log::info!(task:%, run, how:? = reason, number = sequence, answer; "run ended");
        }
    }
}

/// A call to change the CPU share of a run was answered, or failed.
pub(super) fn throttled(call: ThrottleCall, answer: Result<(), CallError>) {
    let (task, run, percent) = (call.run.task, call.run.run, call.cpu_share);
    match answer {
        Ok(()) => log::info!(task:%, run, percent; "changed the CPU share"),
        Err(error) => log::warn!(task:%, run, error:?; "could not change the CPU share"),
    }
}

/// An answer was dropped, since it may be older than the last one in use.
pub(super) fn overtaken(answer: &ListingEvidence) {
    log::info!(answer = listing_text(answer); "answer to a poll was overtaken");
}

/// The worker's runs were listed for an owner that did not know them.
pub(super) fn listed(answer: &ListingEvidence) {
    log::info!(answer = listing_text(answer); "first listing for the owner");
}

/// Entries of the worker's lists without a run are in doubt, or no longer.
pub(super) fn doubt(answer: &ListingEvidence, in_doubt: bool) {
    let answer = listing_text(answer);
    if in_doubt {
        log::warn!(answer; "listing may lack runs: an entry names none");
    } else {
        log::info!(answer; "listing lacks no run");
    }
}

/// A message to the owner.
pub(super) fn message(message: &AgentMessage) {
    match message {
        AgentMessage::Report(report) => {
            log::info!(worker:% = report.incarnation.id, born = report.incarnation.started_ms, state:? = report.state;
                "worker reported its state");
        }
        AgentMessage::Listed {
            incarnation,
            running,
            ended,
        } => {
            log::info!(worker:% = incarnation.id, running = running.len(), ended = ended.len();
                "worker listed its runs");
        }
        AgentMessage::Unresponsive(true) => log::warn!("worker does not respond"),
        AgentMessage::Unresponsive(false) => log::info!("worker responds again"),
        AgentMessage::LastLease { expires_within } => {
            log::info!(expires_us = expires_within; "worker leaves, its last lease is granted");
        }
        AgentMessage::Crashed(crash) => {
            let WorkerCrash { incarnation, runs } = crash;
            for lost in runs {
                log::warn!(task:% = lost.run.task, run = lost.run.run, worker:% = incarnation.id,
                    born = incarnation.started_ms, seen_ms:? = lost.seen_ms;
                    "run was on the worker when it crashed");
            }
        }
        AgentMessage::MayRun(runs) => {
            log::info!(runs = runs.len(); "told the new owner which runs may be on the worker");
        }
        AgentMessage::LeasesExpired => log::warn!("all earlier runs of the worker have ended"),
        // Runs that end, are missing or did not start have a line from `concluded`.
        AgentMessage::Ended { .. }
        | AgentMessage::Refused { .. }
        | AgentMessage::Missing(_)
        | AgentMessage::Measurements(_)
        | AgentMessage::Started(_)
        | AgentMessage::Ping { .. }
        | AgentMessage::Superseded { .. } => {}
    }
}

fn micros(time: Option<Time>) -> Option<u64> {
    time.map(Time::as_micros)
}

fn answer_text(evidence: &RunEvidence) -> String {
    match evidence {
        RunEvidence::Listing(answer) => listing_text(answer),
        RunEvidence::Start(answer) => format!(
            "start token={} sent_us={} received_us={}",
            answer.fencing_token,
            answer.sent.as_micros(),
            answer.received.as_micros()
        ),
        RunEvidence::Agent => "none".to_owned(),
    }
}

fn listing_text(answer: &ListingEvidence) -> String {
    format!(
        "poll={} token={} sent_us={} received_us={} born={} clock_ms={} running={} ended={} unnamed={}",
        answer.poll,
        answer.fencing_token,
        answer.sent.as_micros(),
        answer.received.as_micros(),
        answer.born,
        answer.clock_ms,
        answer.running,
        answer.ended,
        answer.unnamed
    )
}
