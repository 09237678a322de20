//! Pairs of calls about one job whose first is carried out late.

use std::sync::Mutex;

use parsleytally::types::Revision;
use parsleytally_platform::store::{
    CallKind, Commit, LeaseId, Newest, Outcome, Snapshot, StoreError, StoreFuture, Watch,
};

use super::super::tombstones::LONGEST_LIFE;
use super::*;

/// A store that carries out commits late, while that is switched on, and answers none of them.
struct LateStore {
    store: Arc<MemoryStore>,
    is_late: AtomicBool,
    commits: Mutex<Vec<Commit>>,
}

impl LateStore {
    fn new() -> Arc<Self> {
        Arc::new(Self {
            store: Arc::new(MemoryStore::new()),
            is_late: AtomicBool::new(false),
            commits: Mutex::default(),
        })
    }

    /// Carries out the commits that were not answered.
    async fn carry_out(&self) {
        let commits = std::mem::take(&mut *self.commits.lock().expect("not poisoned"));
        assert!(!commits.is_empty());
        for commit in commits {
            self.store.commit(commit).await.expect("an answer");
        }
    }
}

impl Store for LateStore {
    fn range<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Snapshot> {
        self.store.range(prefix)
    }

    fn newest<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Newest> {
        self.store.newest(prefix)
    }

    fn commit(&self, commit: Commit) -> StoreFuture<'_, Outcome> {
        if !self.is_late.load(Ordering::Relaxed) {
            return self.store.commit(commit);
        }
        self.commits.lock().expect("not poisoned").push(commit);
        Box::pin(async { Err(StoreError::Timeout { call: "commit" }) })
    }

    fn grant(&self, ttl: Duration) -> StoreFuture<'_, LeaseId> {
        self.store.grant(ttl)
    }

    fn renew(&self, lease: LeaseId) -> StoreFuture<'_, Duration> {
        self.store.renew(lease)
    }

    fn watch<'a>(&'a self, prefix: &'a str, from: Revision) -> StoreFuture<'a, Box<dyn Watch>> {
        self.store.watch(prefix, from)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    Submit,
    Cancel,
}

/// Status of the answer to a call.
async fn call(jobs: &EntryJobService, call: Call) -> u16 {
    match call {
        Call::Submit => match jobs.submit(JOB, spec(), soon()).await {
            SubmitAnswer::Accepted => 200,
            SubmitAnswer::Refused { .. } => 503,
            SubmitAnswer::Unknown => 504,
        },
        Call::Cancel => match jobs.cancel(JOB, soon()).await {
            CancelAnswer::Accepted => 200,
            CancelAnswer::NoJob => 410,
            CancelAnswer::Refused { .. } => 503,
            CancelAnswer::Unknown => 504,
        },
    }
}

/// Guards against a job that starts after its cancelling was confirmed, and against one that is
/// accepted and not there, since the store carries out an earlier call late.
#[tokio::test(start_paused = true)]
async fn a_call_that_is_carried_out_late_undoes_no_later_one() {
    struct Case {
        first: Call,
        second: Call,
        /// Status of the answer to the second call.
        status: u16,
        state: JobAnswer<JobState>,
        /// Status of the answer to a further submission.
        repeated: u16,
    }
    let cases = [
        Case {
            first: Call::Submit,
            second: Call::Cancel,
            status: 410,
            state: JobAnswer::Absent,
            repeated: 503,
        },
        Case {
            first: Call::Submit,
            second: Call::Submit,
            status: 200,
            state: JobAnswer::Known(JobState::Queued),
            repeated: 200,
        },
        Case {
            first: Call::Cancel,
            second: Call::Submit,
            status: 200,
            state: JobAnswer::Known(JobState::Queued),
            repeated: 200,
        },
        Case {
            first: Call::Cancel,
            second: Call::Cancel,
            status: 410,
            state: JobAnswer::Absent,
            repeated: 503,
        },
    ];
    for same_entry in [true, false] {
        for case in &cases {
            let (first, second) = (case.first, case.second);
            let name = format!("{first:?}, then {second:?}, same entry: {same_entry}");
            let store = LateStore::new();
            let jobs = job_service_on(store.clone());
            let other = job_service_on(store.clone());
            store.is_late.store(true, Ordering::Relaxed);
            assert_eq!(call(&jobs, first).await, 504, "{name}");
            store.is_late.store(false, Ordering::Relaxed);
            let other = if same_entry { &jobs } else { &other };
            // The entry learns by a read that the store answers again.
            other.state(JOB, soon()).await;
            assert_eq!(call(other, second).await, case.status, "{name}");
            store.carry_out().await;
            assert_eq!(jobs.state(JOB, soon()).await, case.state, "{name}");
            let repeated = call(other, Call::Submit).await;
            assert_eq!(repeated, case.repeated, "{name}");
            assert_eq!(jobs.state(JOB, soon()).await, case.state, "{name}");
        }
    }
}

/// Guards against cancellations of unknown jobs that fill the store or use up its calls, and
/// against tombstones that stay for ever.
#[tokio::test(start_paused = true)]
async fn tombstones_are_limited_in_rate_and_time() {
    let store = Arc::new(MemoryStore::new());
    let jobs = job_service(&store);
    let mut confirmed = 0;
    for id in 0..200 {
        match jobs.cancel(JobId(id), soon()).await {
            CancelAnswer::NoJob => confirmed += 1,
            CancelAnswer::Refused { .. } => {}
            answer => panic!("{answer:?}"),
        }
    }
    assert_eq!(confirmed, 40);
    let written = store.metrics().calls(CallKind::Commit);
    assert_eq!((written, store.metrics().calls(CallKind::Grant)), (40, 1));
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(jobs.cancel(JobId(300), soon()).await, CancelAnswer::NoJob);
    let withdrawn = SubmitAnswer::Refused {
        retry_after: LONGEST_LIFE,
    };
    assert_eq!(jobs.submit(JobId(0), spec(), soon()).await, withdrawn);
    tokio::time::sleep(LONGEST_LIFE).await;
    let anew = jobs.submit(JobId(0), spec(), soon()).await;
    assert_eq!(anew, SubmitAnswer::Accepted);
}

/// Guards against cancellations that fail since the lease of earlier tombstones has ended.
#[tokio::test(start_paused = true)]
async fn a_lost_lease_of_tombstones_is_replaced() {
    let store = Arc::new(MemoryStore::new());
    let jobs = job_service(&store);
    assert_eq!(jobs.cancel(JobId(1), soon()).await, CancelAnswer::NoJob);
    store.lapse(LeaseId(1));
    assert_eq!(jobs.cancel(JobId(2), soon()).await, CancelAnswer::NoJob);
    let later = jobs.submit(JobId(2), spec(), soon()).await;
    assert!(matches!(later, SubmitAnswer::Refused { .. }), "{later:?}");
}
