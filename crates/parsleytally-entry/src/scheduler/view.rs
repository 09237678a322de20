//! Tasks as operators see them.

use parsleytally::leases::{Phase, TaskRecord};
use parsleytally::ownership::Owner;
use parsleytally::types::TaskKey;

use super::TaskView;

/// How a task is shown that this entry decides about.
///
/// A completion is shown once the journal has it, so that it is never taken back.
pub(super) fn owned(
    key: &TaskKey,
    owner: &Owner,
    record: &TaskRecord,
    reason: Option<String>,
) -> TaskView {
    let finishing = record.phase == Phase::Finished && !owner.is_completed(key);
    let waits = record.is_ready() || record.phase == Phase::Failed;
    TaskView {
        task: key.task.to_string(),
        state: if finishing {
            "finishing"
        } else {
            state(&record.phase)
        },
        worker: record.assigned_agent().cloned(),
        run: record.run.0,
        reason: reason.filter(|_| waits),
    }
}

/// How a task is shown that this entry does not decide about.
pub(super) fn elsewhere(key: &TaskKey, reason: String) -> TaskView {
    TaskView {
        task: key.task.to_string(),
        state: "unknown",
        worker: None,
        run: 0,
        reason: Some(reason),
    }
}

fn state(phase: &Phase) -> &'static str {
    match phase {
        Phase::Waiting => "waiting",
        Phase::Starting { .. } => "starting",
        Phase::Running { .. } => "running",
        Phase::Evicting { .. } => "evicting",
        Phase::Cancelling { .. } => "cancelling",
        Phase::Evicted => "evicted",
        Phase::Finished => "finished",
        Phase::Cancelled => "cancelled",
        Phase::Failed => "failed",
    }
}
