//! Reports to the owner in frames of bounded size.
//!
//! Lists of runs that exceed a frame are split. The first listing must be whole, since runs that
//! it lacks count as missing: it goes without checkpoints if they make it too large. Those of
//! running tasks follow with their next measurements.

use parsleytally::jobs::{AgentMessage, EndedRun, RunStatus};
use parsleytally_link::{Batches, MESSAGE_LIMIT_BYTES, OUT_CHANNEL_BYTES, batches, encoded_bytes};
use serde::Serialize;

/// Most bytes of the messages that are made of one.
const SPLIT_LIMIT_BYTES: usize = OUT_CHANNEL_BYTES / 2;
/// Largest row of a list that is split, in bytes.
const ROW_LIMIT_BYTES: usize = MESSAGE_LIMIT_BYTES / 2;

/// Splits `messages` into the lists of frames, in order.
pub(super) fn frames(messages: Vec<AgentMessage>) -> Vec<Vec<AgentMessage>> {
    let bounded = messages.into_iter().flat_map(bounded).collect();
    let Batches { frames, oversized } = batches(bounded);
    for message in oversized {
        let bytes = encoded_bytes(&message);
        log::error!(bytes; "report to the owner left out: it exceeds the size of a frame");
    }
    frames
}

/// The messages that tell the same as one that exceeds a frame.
fn bounded(message: AgentMessage) -> Vec<AgentMessage> {
    let bytes = encoded_bytes(&message);
    if bytes <= MESSAGE_LIMIT_BYTES {
        return vec![message];
    }
    match message {
        AgentMessage::Ended { incarnation, ended } => {
            let parts = split(ended, bytes, |row| &mut row.checkpoint);
            let message = |ended| AgentMessage::Ended {
                incarnation: incarnation.clone(),
                ended,
            };
            parts.into_iter().map(message).collect()
        }
        AgentMessage::Measurements(runs) => {
            let parts = split(runs, bytes, |row| &mut row.checkpoint);
            parts.into_iter().map(AgentMessage::Measurements).collect()
        }
        AgentMessage::Listed {
            incarnation,
            mut running,
            mut ended,
        } => {
            leave_out(&mut running, 0, |row: &mut RunStatus| &mut row.checkpoint);
            if encoded_bytes(&(&running, &ended)) > SPLIT_LIMIT_BYTES / 4 {
                leave_out(&mut ended, 0, |row: &mut EndedRun| &mut row.checkpoint);
            }
            vec![AgentMessage::Listed {
                incarnation,
                running,
                ended,
            }]
        }
        message => vec![message],
    }
}

/// Splits the rows of a message of this size into lists of bounded size.
fn split<T: Serialize>(
    mut rows: Vec<T>,
    bytes: usize,
    checkpoint: impl Fn(&mut T) -> &mut String,
) -> Vec<Vec<T>> {
    let limit = if bytes > SPLIT_LIMIT_BYTES {
        0
    } else {
        ROW_LIMIT_BYTES
    };
    leave_out(&mut rows, limit, checkpoint);
    batches(rows).frames
}

/// Clears the checkpoints that are longer than `limit` bytes.
fn leave_out<T>(rows: &mut [T], limit: usize, checkpoint: impl Fn(&mut T) -> &mut String) {
    let checkpoints = rows.iter_mut().map(checkpoint);
    let mut left_out = 0;
    for checkpoint in checkpoints.filter(|checkpoint| checkpoint.len() > limit) {
        checkpoint.clear();
        left_out += 1;
    }
    if left_out > 0 {
        log::warn!(checkpoints = left_out; "checkpoints left out of a report: it exceeds the size of a frame");
    }
}
