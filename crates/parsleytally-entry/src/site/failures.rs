//! What a failed write to the store says of its effect.

use parsleytally::jobs::{CallFailure, JobId};
use parsleytally_platform::store::StoreError;

/// Logs a write about a job that failed, and tells whether it may take effect.
pub(super) fn commit_failure(id: JobId, error: &StoreError) -> CallFailure {
    log::warn!(job:% = id, error:% = error; "storing a change failed");
    if error.is_unknown() {
        CallFailure::Unknown
    } else {
        CallFailure::NoEffect
    }
}
