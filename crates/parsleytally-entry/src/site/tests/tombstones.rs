//! Pairs of calls about one job whose first is carried out late.

use std::ops::Range;
use std::sync::Mutex;

use parsleytally_platform::store::{
    CallKind, Commit, HookedStore, LeaseId, Outcome, StoreError, StoreFuture, StoreHooks,
};

use tokio::task::JoinSet;

use super::super::tombstones::{LONGEST_LIFE, Requested};
use super::*;

/// Carries out commits late, while that is switched on, and answers none of them.
#[derive(Default)]
struct LateCommits {
    is_late: AtomicBool,
    commits: Mutex<Vec<Commit>>,
}

impl LateCommits {
    /// Carries out the commits that were not answered.
    async fn carry_out(&self, store: &MemoryStore) {
        let commits = std::mem::take(&mut *self.commits.lock().expect("not poisoned"));
        assert!(!commits.is_empty());
        for commit in commits {
            store.commit(commit).await.expect("an answer");
        }
    }
}

impl StoreHooks for LateCommits {
    fn commit<'a>(&'a self, store: &'a MemoryStore, commit: Commit) -> StoreFuture<'a, Outcome> {
        if !self.is_late.load(Ordering::Relaxed) {
            return store.commit(commit);
        }
        self.commits.lock().expect("not poisoned").push(commit);
        Box::pin(async { Err(StoreError::Timeout { call: "commit" }) })
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
            let store = Arc::new(HookedStore::<LateCommits>::default());
            let jobs = job_service_on(store.clone());
            let other = job_service_on(store.clone());
            store.hooks.is_late.store(true, Ordering::Relaxed);
            assert_eq!(call(&jobs, first).await, 504, "{name}");
            store.hooks.is_late.store(false, Ordering::Relaxed);
            let other = if same_entry { &jobs } else { &other };
            // The entry learns by a read that the store answers again.
            other.state(JOB, soon()).await;
            assert_eq!(call(other, second).await, case.status, "{name}");
            store.hooks.carry_out(&store.memory).await;
            assert_eq!(jobs.state(JOB, soon()).await, case.state, "{name}");
            let repeated = call(other, Call::Submit).await;
            assert_eq!(repeated, case.repeated, "{name}");
            assert_eq!(jobs.state(JOB, soon()).await, case.state, "{name}");
        }
    }
}

/// Cancels jobs with these IDs at the same moment; returns the answers.
async fn cancel_all(jobs: &Arc<EntryJobService>, ids: Range<u64>) -> Vec<CancelAnswer> {
    let mut cancelled = JoinSet::new();
    for id in ids {
        let jobs = jobs.clone();
        cancelled.spawn(async move { jobs.cancel(JobId(id), soon()).await });
    }
    cancelled.join_all().await
}

fn count_refused(answers: &[CancelAnswer]) -> usize {
    let refused = |answer: &&CancelAnswer| matches!(answer, CancelAnswer::Refused { .. });
    answers.iter().filter(refused).count()
}

/// Guards against cancellations of unknown jobs that use up the store's calls.
#[tokio::test(start_paused = true)]
async fn cancellations_of_unknown_jobs_write_at_a_limited_rate() {
    let store = Arc::new(MemoryStore::new());
    let jobs = job_service(&store);
    let began = Instant::now();
    for id in 0..200 {
        let answer = jobs.cancel(JobId(id), soon()).await;
        assert_eq!(answer, CancelAnswer::NoJob, "{id}");
    }
    let written = store.metrics().calls(CallKind::Commit);
    let paced = u64::try_from(began.elapsed().as_millis()).expect("in range") / 100;
    assert!(written <= 40 + paced, "{written} writes, {paced} paced");
    assert_eq!(store.metrics().calls(CallKind::Grant), 1);
}

/// Guards against cancellations of unknown jobs that fill the store, against refusals that name a
/// wrong time, and against tombstones that stay for ever.
#[tokio::test(start_paused = true)]
async fn tombstones_are_limited_in_number_and_time() {
    let store = Arc::new(MemoryStore::new());
    let jobs = Arc::new(job_service(&store));
    let answers = cancel_all(&jobs, 0..1_200).await;
    assert_eq!(count_refused(&answers), 200);
    let retry_after = answers.iter().find_map(|answer| match answer {
        CancelAnswer::Refused { retry_after } => Some(*retry_after),
        _ => None,
    });
    tokio::time::sleep(retry_after.expect("refused")).await;
    let later = jobs.cancel(JobId(2_000), soon()).await;
    assert_eq!(later, CancelAnswer::NoJob);
    let withdrawn = SubmitAnswer::Refused {
        retry_after: LONGEST_LIFE,
    };
    assert_eq!(jobs.submit(JobId(0), spec(), soon()).await, withdrawn);
    tokio::time::sleep(LONGEST_LIFE).await;
    let anew = jobs.submit(JobId(0), spec(), soon()).await;
    assert_eq!(anew, SubmitAnswer::Accepted);
}

/// Guards against a refused cancellation whose submission may still be stored: what others cancel
/// does not count against it.
#[tokio::test(start_paused = true)]
async fn jobs_that_may_be_stored_are_cancelled_beyond_the_limit() {
    let store = Arc::new(HookedStore::<LateCommits>::default());
    let jobs = Arc::new(job_service_on(store.clone()));
    store.hooks.is_late.store(true, Ordering::Relaxed);
    assert_eq!(call(&jobs, Call::Submit).await, 504);
    store.hooks.is_late.store(false, Ordering::Relaxed);
    // The entry learns by a read that the store answers again.
    jobs.state(JOB, soon()).await;
    let answers = cancel_all(&jobs, 1_000..2_200).await;
    assert_eq!(count_refused(&answers), 200);
    assert_eq!(call(&jobs, Call::Cancel).await, 410);
    store.hooks.carry_out(&store.memory).await;
    assert_eq!(jobs.state(JOB, soon()).await, JobAnswer::Absent);
}

/// Guards against cancellations that fail since another job of the same write is in the store.
#[tokio::test(start_paused = true)]
async fn a_job_that_is_stored_meanwhile_fails_no_cancellation_beside_it() {
    let store = Arc::new(MemoryStore::new());
    let jobs = Arc::new(job_service(&store));
    for id in [3, 50] {
        let answer = jobs.submit(JobId(id), spec(), soon()).await;
        assert_eq!(answer, SubmitAnswer::Accepted);
    }
    // As if they were stored after the cancellations had read.
    let request = async |id| jobs.tombstones.request(JobId(id), soon()).await;
    let results = tokio::join!(request(1), request(2), request(3));
    assert_eq!(results.2, Ok(Requested::Conflict));
    let answers = cancel_all(&jobs, 0..100).await;
    for (id, answer) in answers.iter().enumerate() {
        assert_eq!(count_refused(&[*answer]), 0, "{id}: {answer:?}");
    }
    for id in [3, 50] {
        let state = jobs.state(JobId(id), soon()).await;
        assert_eq!(state, JobAnswer::Known(JobState::Cancelled), "{id}");
    }
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

/// Does not answer grants.
struct NoGrants;

impl StoreHooks for NoGrants {
    fn grant<'a>(&'a self, _: &'a MemoryStore, _: Duration) -> StoreFuture<'a, LeaseId> {
        Box::pin(std::future::pending())
    }
}

/// Guards against a cancellation that ends without an answer in time, since it waits for the
/// lease that another one requested.
#[tokio::test(start_paused = true)]
async fn each_cancellation_ends_at_its_own_deadline() {
    let (memory, hooks) = (MemoryStore::new(), NoGrants);
    let jobs = job_service_on(Arc::new(HookedStore { memory, hooks }));
    let began = Instant::now();
    let answered = async |id, budget_secs| {
        let deadline = began + Duration::from_secs(budget_secs);
        let answer = jobs.cancel(JobId(id), deadline).await;
        assert!(matches!(answer, CancelAnswer::Refused { .. }), "{answer:?}");
        assert!(
            began.elapsed() <= deadline - began,
            "{id}: {:?}",
            began.elapsed()
        );
    };
    tokio::join!(
        answered(1, 30),
        answered(2, 2),
        answered(3, 1),
        answered(4, 2)
    );
}

/// Guards against clients that give up together and are refused, while their submissions may
/// still be stored late.
#[tokio::test(start_paused = true)]
async fn cancellations_of_many_unknown_jobs_are_confirmed_together() {
    let store = Arc::new(MemoryStore::new());
    let jobs = Arc::new(job_service(&store));
    let answers = cancel_all(&jobs, 0..400).await;
    assert_eq!(count_refused(&answers), 0);
    let written = store.metrics().calls(CallKind::Commit);
    assert!(written <= 40, "{written} writes");
}
