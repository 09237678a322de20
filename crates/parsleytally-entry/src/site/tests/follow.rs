//! Tests of an owner whose watch leaves changes out.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parsleytally::jobs::{JobId, JobReply, JobRequest, JobState};
use parsleytally::types::{MilliCpu, NodeName, Revision};
use parsleytally_platform::jobs::{CancelAnswer, JobService, SubmitAnswer};
use parsleytally_platform::store::{
    Changes, HookedStore, MemoryStore, Store, StoreFuture, StoreHooks, Watch,
};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

use super::super::election::{Candidate, OwnerView};
use super::super::messages::OwnerInput;
use super::super::owner::Ownership;
use super::owner::context;
use super::{JOB, job_service_on, soon, spec};

/// Time between two checks of the ownership.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Longest time from the confirmation of a cancellation to the last start.
const CANCEL_LIMIT: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy)]
enum Watches {
    Sound,
    /// They report nothing.
    Silent,
    /// They report the revision of changes, but not the changes.
    Empty,
}

/// Opens such watches, faulty while that is switched on.
struct WatchFaults {
    watches: Watches,
    is_faulty: Arc<AtomicBool>,
}

struct FaultyWatch {
    watch: Box<dyn Watch>,
    watches: Watches,
    is_faulty: Arc<AtomicBool>,
}

impl Watch for FaultyWatch {
    fn next(&mut self) -> StoreFuture<'_, Changes> {
        Box::pin(async {
            let mut changes = self.watch.next().await?;
            if self.is_faulty.load(Ordering::Relaxed) {
                match self.watches {
                    Watches::Sound => {}
                    Watches::Silent => std::future::pending().await,
                    Watches::Empty => changes.changes.clear(),
                }
            }
            Ok(changes)
        })
    }
}

impl StoreHooks for WatchFaults {
    fn watch<'a>(
        &'a self,
        store: &'a MemoryStore,
        prefix: &'a str,
        from: Revision,
    ) -> StoreFuture<'a, Box<dyn Watch>> {
        Box::pin(async move {
            let watch = FaultyWatch {
                watch: store.watch(prefix, from).await?,
                watches: self.watches,
                is_faulty: self.is_faulty.clone(),
            };
            Ok(Box::new(watch) as Box<dyn Watch>)
        })
    }
}

/// State of a job as the owner knows it.
async fn known(ownership: &Ownership, job: JobId) -> Option<JobState> {
    let (reply, state) = oneshot::channel();
    let request = OwnerInput::Request(JobRequest::State(job), reply);
    let sent = ownership.sender().send(request).await;
    sent.expect("the owner runs");
    match state.await.expect("a reply") {
        JobReply::State(state) => state,
        other => panic!("{other:?}"),
    }
}

/// Checks the ownership at intervals until the owner knows the job in this state; returns the time
/// that this took, none if it was too long.
async fn wait_for(
    state: JobState,
    job: JobId,
    candidate: &mut Candidate,
    ownership: &Ownership,
) -> Option<Duration> {
    let began = Instant::now();
    while began.elapsed() <= CANCEL_LIMIT {
        if known(ownership, job).await == Some(state) {
            return Some(began.elapsed());
        }
        sleep(CHECK_INTERVAL).await;
        candidate.check().await.expect("the store answers");
        ownership.fleet_changed(candidate.changed);
    }
    None
}

/// Guards against tasks that start after the cancelling of their job was confirmed, and against
/// accepted jobs that never run, since the owner's watch has left a change out.
#[tokio::test(start_paused = true)]
async fn an_owner_hears_of_changes_that_its_watch_leaves_out() {
    for watches in [Watches::Sound, Watches::Silent, Watches::Empty] {
        let is_faulty = Arc::new(AtomicBool::new(false));
        let hooks = WatchFaults {
            watches,
            is_faulty: is_faulty.clone(),
        };
        let memory = MemoryStore::new();
        let store = Arc::new(HookedStore { memory, hooks });
        let node = NodeName::new("owner").expect("a valid name");
        let links = "127.0.0.1:7720".parse().expect("an address");
        let ttl = Duration::from_millis(1_500);
        let mut candidate = Candidate::new(store.clone(), node, links, 1, MilliCpu(100), ttl);
        let (OwnerView::Own(owner, since), sent) = candidate.check().await.expect("an answer")
        else {
            panic!("nobody else owns the jobs");
        };
        let ownership = Ownership::start(context(store.clone()), owner, since, sent);
        let jobs = job_service_on(store);
        assert_eq!(known(&ownership, JOB).await, None);
        // Some jobs in turn, each accepted and then cancelled.
        for id in (1..4).map(JobId) {
            is_faulty.store(true, Ordering::Relaxed);
            let submitted = jobs.submit(id, spec(), soon()).await;
            assert_eq!(submitted, SubmitAnswer::Accepted);
            let heard = wait_for(JobState::Queued, id, &mut candidate, &ownership).await;
            assert!(heard.is_some(), "{watches:?}: accepted, {id}");
            let cancelled = jobs.cancel(id, soon()).await;
            assert_eq!(cancelled, CancelAnswer::Accepted);
            let heard = wait_for(JobState::Cancelled, id, &mut candidate, &ownership).await;
            assert!(heard.is_some(), "{watches:?}: cancelled, {id}");
            is_faulty.store(false, Ordering::Relaxed);
        }
        ownership.close().await;
    }
}
