//! Tasks as the operators' API shows them.

use parsleytally::leases::{Phase, TaskRecord};
use parsleytally::ownership::Owner;
use parsleytally::types::TaskKey;

use super::TaskView;

/// View of a task whose shard this entry owns.
///
/// A task is shown as finished only once its end is durable in the journal, so that
/// it never changes back.
pub(super) fn owned(
    key: &TaskKey,
    owner: &Owner,
    record: &TaskRecord,
    reason: Option<String>,
) -> TaskView {
    let finishing = record.phase == Phase::Finished && !owner.is_completed(key);
    let shows_reason = record.is_ready() || record.phase == Phase::Failed;
    TaskView {
        task: key.task.to_string(),
        state: if finishing {
            "finishing"
        } else {
            state(&record.phase)
        },
        worker: record.assigned_agent().cloned(),
        run: record.run.0,
        reason: reason.filter(|_| shows_reason),
    }
}

/// View of a task whose state this entry does not know.
pub(super) fn unknown(key: &TaskKey, reason: String) -> TaskView {
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
