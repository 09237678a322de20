//! Simulated store: job records and their progress.

use super::owners::AFFECTED_JOBS;
use super::*;

/// A job in the store.
pub(super) struct StoredJob {
    pub(super) record: JobRecord,
    pub(super) accepted: Revision,
    pub(super) progress: Option<JobProgress>,
    /// Epoch and version of the stored progress.
    pub(super) version: (u64, u64),
}

/// Rack of the last of the workers only.
const PREFERRED_RACK: &str = "r1";

/// The job with this id: short tasks in two steps, or tasks that run until it is cancelled.
fn submitted_job(id: u64) -> JobRecord {
    if !is_lasting(id) {
        return job(vec![step(3, &[]), step(2, &[0])]);
    }
    let count = if id == LAST_JOB {
        (WORKERS * CAPACITY) as u32
    } else {
        2
    };
    let lasting = StepSpec {
        long_running: true,
        ..step(count, &[])
    };
    let mut record = job(vec![lasting]);
    record.spec.payload = LASTING.into();
    record
}

/// A queue of lower priority than [`queue`].
pub(super) fn low_queue() -> QueuePolicy {
    QueuePolicy {
        name: QueueName("low".into()),
        priority: 2,
        ..queue()
    }
}

impl Simulation {
    pub(super) fn save(&mut self, owner: usize, job: JobId, version: u64, progress: JobProgress) {
        if owner == usize::MAX || !self.owners[owner].up || !self.is_current(owner) {
            return;
        }
        if self.store_down || !self.owners[owner].reaches_store {
            self.push(60, Event::Save(owner, job, version, progress));
            return;
        }
        let stored = self.jobs.get_mut(&job).expect("a job");
        // The store's compare condition refuses a late write of an older record.
        let newer = (self.owners[owner].epoch, version);
        if newer > stored.version {
            stored.progress = Some(progress);
            stored.version = newer;
        }
        self.owners[owner].confirmed = self.now;
        self.step_owner(owner, Input::Saved { job, version });
    }

    pub(super) fn submit(&mut self, id: u64) {
        if self.store_down {
            self.push(300, Event::Submit(id));
            return;
        }
        self.revision += 1;
        let accepted = Revision(self.revision);
        let mut record = submitted_job(id);
        if self.uneven.rack_wait {
            for step in &mut record.spec.steps {
                step.preferred_rack = Some(PREFERRED_RACK.into());
            }
        }
        if self.preempts && !id.is_multiple_of(3) {
            record.spec.queue = Arc::new(low_queue());
        }
        let stored = StoredJob {
            record: record.clone(),
            accepted,
            progress: None,
            version: (0, 0),
        };
        self.jobs.insert(JobId(id), stored);
        self.publish_job(JobId(id));
    }

    pub(super) fn cancel(&mut self, id: u64) {
        let stored = self.jobs.get_mut(&JobId(id));
        let Some(stored) = stored.filter(|_| !self.store_down) else {
            self.push(300, Event::Cancel(id));
            return;
        };
        stored.record.cancelled = true;
        self.cancelled.insert(JobId(id), self.now);
        self.publish_job(JobId(id));
    }

    pub(super) fn publish_job(&mut self, id: JobId) {
        for owner in 0..self.owners.len() {
            let can_read = self.owners[owner].reaches_store && self.is_current(owner);
            let hidden = self.bug == InjectedBug::UnseenJobs && id.0.is_multiple_of(AFFECTED_JOBS);
            if self.owners[owner].up && can_read && !hidden {
                let input = self.job_input(id);
                self.step_owner(owner, input);
            }
        }
    }

    pub(super) fn job_input(&self, id: JobId) -> Input {
        let stored = &self.jobs[&id];
        Input::Job {
            id,
            record: stored.record.clone(),
            accepted: stored.accepted,
            progress: stored.progress.clone(),
        }
    }
}
