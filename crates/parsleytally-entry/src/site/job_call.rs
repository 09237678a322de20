//! Calls to the store that any entry can carry out for a client or for another entry.

use std::time::Duration;

use parsleytally::jobs::{
    CallFailure, CallPlan, CancelOutcome, JobId, JobProgress, JobRecord, JobReply, JobRequest,
    JobSpec, JobState, StoredJob, SubmitOutcome,
};
use parsleytally_platform::store::{Commit, Compare, Item, Outcome, Store, StoreError, Write};
use tokio::time::{Instant, timeout_at};

use super::failures::commit_failure;
use super::keys;
use super::messages::RemoteReply;
use super::tombstones::{Requested, Tombstones};

/// Longest wait for a read. Reads are repeated at another entry, so a silent store must not
/// use up the client's timeout.
const READ_TIMEOUT: Duration = Duration::from_millis(600);

/// A call about one job that reads or writes the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum JobCall {
    /// Store the job.
    Submit(JobId, JobSpec),
    /// Store that the job is cancelled.
    Cancel(JobId),
    /// Read the job's state.
    Read(JobId),
}

/// Result of a [`JobCall`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobCallResult {
    /// The store has the job.
    Submitted,
    /// The store has the cancellation.
    Cancelled,
    /// The job was cancelled before the store had it, and will not be stored.
    Withdrawn,
    /// Too many unknown jobs are being cancelled: nothing was changed. One more is possible after
    /// this time.
    Limited(Duration),
    /// The store has no such job.
    Absent,
    /// The store has the job, in this state.
    State(JobState),
}

impl JobCall {
    /// The call of a request that any entry can carry out; other requests are returned.
    pub(super) fn from_request(request: JobRequest) -> Result<Self, JobRequest> {
        match request {
            JobRequest::Submit(id, spec) => Ok(Self::Submit(id, spec)),
            JobRequest::Cancel(id) => Ok(Self::Cancel(id)),
            JobRequest::Read(id) => Ok(Self::Read(id)),
            request => Err(request),
        }
    }

    /// The request that has another entry carry out this call.
    pub(super) fn request(&self) -> JobRequest {
        match self {
            Self::Submit(id, spec) => JobRequest::Submit(*id, spec.clone()),
            Self::Cancel(id) => JobRequest::Cancel(*id),
            Self::Read(id) => JobRequest::Read(*id),
        }
    }

    pub(super) fn job(&self) -> JobId {
        match self {
            Self::Submit(id, _) | Self::Cancel(id) | Self::Read(id) => *id,
        }
    }

    /// The plan of this call before anything is sent.
    pub(super) fn plan(&self) -> CallPlan {
        match self {
            Self::Submit(..) => CallPlan::default(),
            Self::Cancel(_) | Self::Read(_) => CallPlan::reading_first(),
        }
    }

    /// Short name of the call in log lines.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::Submit(..) => "submit",
            Self::Cancel(_) => "cancel",
            Self::Read(_) => "read",
        }
    }

    /// The reply to the entry that requested this call.
    pub(super) fn reply(&self, result: Result<JobCallResult, CallFailure>) -> JobReply {
        match self {
            Self::Submit(..) => JobReply::Submitted(match result {
                Ok(JobCallResult::Withdrawn) => SubmitOutcome::Withdrawn,
                Ok(_) => SubmitOutcome::Yes,
                Err(CallFailure::NoEffect) => SubmitOutcome::No,
                Err(CallFailure::Unknown) => SubmitOutcome::Unknown,
            }),
            Self::Cancel(_) => JobReply::Cancelled(match result {
                Ok(JobCallResult::Absent) => CancelOutcome::NoJob,
                Ok(JobCallResult::Limited(_)) => CancelOutcome::No,
                Ok(_) => CancelOutcome::Yes,
                Err(CallFailure::NoEffect) => CancelOutcome::No,
                Err(CallFailure::Unknown) => CancelOutcome::Unknown,
            }),
            Self::Read(_) => JobReply::Stored(match result {
                Ok(JobCallResult::State(state)) => StoredJob::State(state),
                Ok(_) => StoredJob::Absent,
                Err(_) => StoredJob::Unknown,
            }),
        }
    }

    /// The result that another entry's reply tells.
    pub(super) fn result(&self, reply: RemoteReply) -> Result<JobCallResult, CallFailure> {
        let reply = match reply {
            RemoteReply::Answered(reply) => reply,
            RemoteReply::NotSent => return Err(CallFailure::NoEffect),
            RemoteReply::Unanswered => return Err(self.unknown()),
        };
        match (self, reply) {
            (Self::Submit(..), JobReply::Submitted(SubmitOutcome::Yes)) => {
                Ok(JobCallResult::Submitted)
            }
            (Self::Submit(..), JobReply::Submitted(SubmitOutcome::Withdrawn)) => {
                Ok(JobCallResult::Withdrawn)
            }
            (Self::Cancel(_), JobReply::Cancelled(CancelOutcome::Yes)) => {
                Ok(JobCallResult::Cancelled)
            }
            (Self::Cancel(_), JobReply::Cancelled(CancelOutcome::NoJob))
            | (Self::Read(_), JobReply::Stored(StoredJob::Absent)) => Ok(JobCallResult::Absent),
            (Self::Read(_), JobReply::Stored(StoredJob::State(state))) => {
                Ok(JobCallResult::State(state))
            }
            (Self::Submit(..), JobReply::Submitted(SubmitOutcome::No))
            | (Self::Cancel(_), JobReply::Cancelled(CancelOutcome::No))
            | (_, JobReply::NotOwner) => Err(CallFailure::NoEffect),
            _ => Err(self.unknown()),
        }
    }

    /// Failure of a call without an answer; a read never has an effect.
    fn unknown(&self) -> CallFailure {
        match self {
            Self::Read(_) => CallFailure::NoEffect,
            Self::Submit(..) | Self::Cancel(_) => CallFailure::Unknown,
        }
    }

    /// Calls the store once; ends at `deadline` at the latest.
    pub(super) async fn call_store(
        &self,
        store: &dyn Store,
        tombstones: &Tombstones,
        deadline: Instant,
    ) -> Result<JobCallResult, CallFailure> {
        match self {
            Self::Submit(id, spec) => submit(store, *id, spec, deadline).await,
            Self::Cancel(id) => cancel(store, tombstones, *id, deadline).await,
            Self::Read(id) => read_state(store, *id, deadline).await,
        }
    }
}

async fn submit(
    store: &dyn Store,
    id: JobId,
    spec: &JobSpec,
    deadline: Instant,
) -> Result<JobCallResult, CallFailure> {
    let record = JobRecord {
        spec: spec.clone(),
        cancelled: false,
    };
    let key = keys::job(id);
    let commit = Commit {
        compares: vec![
            Compare::Absent { key: key.clone() },
            Compare::Absent {
                key: keys::tombstone(id),
            },
        ],
        writes: write_record(key, &record),
    };
    match store.commit_by(commit, deadline).await {
        Ok(Outcome::Committed(_)) => Ok(JobCallResult::Submitted),
        Ok(Outcome::Conflict(_)) => submitted_before(store, id, deadline).await,
        Err(error) => Err(commit_failure(id, &error)),
    }
}

/// Result of a submission beside a job or a tombstone with its ID.
async fn submitted_before(
    store: &dyn Store,
    id: JobId,
    deadline: Instant,
) -> Result<JobCallResult, CallFailure> {
    match read(store, &keys::job(id), deadline).await {
        // An earlier copy of the same submission.
        Ok(Some(_)) => Ok(JobCallResult::Submitted),
        Ok(None) => Ok(JobCallResult::Withdrawn),
        Err(_) => Err(CallFailure::Unknown),
    }
}

async fn cancel(
    store: &dyn Store,
    tombstones: &Tombstones,
    id: JobId,
    deadline: Instant,
) -> Result<JobCallResult, CallFailure> {
    loop {
        let Some(item) = read(store, &keys::job(id), deadline).await? else {
            match tombstones.request(id, deadline).await? {
                Requested::Written => return Ok(JobCallResult::Absent),
                Requested::Limited(wait) => return Ok(JobCallResult::Limited(wait)),
                Requested::Conflict if Instant::now() < deadline => continue,
                Requested::Conflict => return Err(CallFailure::NoEffect),
            }
        };
        let mut record = decode(id, &item)?;
        if record.cancelled {
            return Ok(JobCallResult::Cancelled);
        }
        record.cancelled = true;
        let commit = Commit {
            compares: vec![Compare::Unchanged {
                key: item.key.clone(),
                revision: item.revision,
            }],
            writes: write_record(item.key, &record),
        };
        match store.commit_by(commit, deadline).await {
            Ok(Outcome::Committed(_)) => return Ok(JobCallResult::Cancelled),
            // Another copy of this cancellation, or a delayed write of its own, was stored
            // first: read the record again.
            Ok(Outcome::Conflict(_)) if Instant::now() < deadline => {}
            Ok(Outcome::Conflict(_)) => return Err(CallFailure::NoEffect),
            Err(error) => return Err(commit_failure(id, &error)),
        }
    }
}

/// Writes a job's record, so that the owner hears of it.
fn write_record(key: String, record: &JobRecord) -> Vec<Write> {
    let changed = keys::fleet_changed(&key);
    let value = record.encode();
    let lease = None;
    vec![Write::Put { key, value, lease }, changed]
}

async fn read_state(
    store: &dyn Store,
    id: JobId,
    deadline: Instant,
) -> Result<JobCallResult, CallFailure> {
    let Some(item) = read(store, &keys::job(id), deadline).await? else {
        return Ok(JobCallResult::Absent);
    };
    let record = decode(id, &item)?;
    let progress = read(store, &keys::progress(id), deadline).await?;
    let progress = progress.map(|item| JobProgress::decode(&item.value));
    let progress = progress.transpose().map_err(|error| {
        log::error!(job:% = id, error:% = error; "progress record of a job is invalid");
        CallFailure::NoEffect
    })?;
    let state = progress.map_or(JobState::Queued, |progress| progress.state);
    if record.cancelled && !state.is_final() {
        return Ok(JobCallResult::State(JobState::Cancelled));
    }
    Ok(JobCallResult::State(state))
}

/// Reads one item; a read has no effect, whatever its failure.
async fn read(
    store: &dyn Store,
    key: &str,
    deadline: Instant,
) -> Result<Option<Item>, CallFailure> {
    let deadline = deadline.min(Instant::now() + READ_TIMEOUT);
    let found = timeout_at(deadline, store.range(key)).await;
    match found.unwrap_or(Err(StoreError::Timeout { call: "range" })) {
        Ok(found) => Ok(found.item(key).cloned()),
        Err(error) => {
            log::warn!(key, error:% = error; "reading a job failed");
            Err(CallFailure::NoEffect)
        }
    }
}

fn decode(id: JobId, item: &Item) -> Result<JobRecord, CallFailure> {
    JobRecord::decode(&item.value).map_err(|error| {
        log::error!(job:% = id, error:% = error; "job record is invalid");
        CallFailure::NoEffect
    })
}
