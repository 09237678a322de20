//! Jobs submitted to the fleet, at a rate that grows with its size.

use std::sync::Arc;
use std::time::Duration;

use parsleytally::jobs::{
    Input, JobId, JobRecord, JobSpec, QueueName, QueuePolicy, Repeat, StepSpec,
};
use parsleytally::types::{Resources, Revision, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Jobs of short tasks, of best-effort tasks, and of services, for each worker and second.
const SHORT_RATE: f64 = 0.1;
const BEST_EFFORT_RATE: f64 = 0.0175;
/// Service jobs for each worker, all submitted at the beginning.
const SERVICES: f64 = 0.2;
/// Images of service tasks and of best-effort tasks.
const SERVICE_IMAGES: u32 = 16;
const BEST_EFFORT_IMAGES: u32 = 30;

const MEGABYTE: u64 = 1 << 20;

/// Kind of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Service,
    Short,
    BestEffort,
}

/// Source of the jobs of one run.
pub(crate) struct Load {
    random: SmallRng,
    workers: f64,
    overload: f64,
    jobs: u64,
    queues: [Arc<QueuePolicy>; 3],
}

impl Load {
    pub(crate) fn new(workers: usize, overload: f64) -> Self {
        let queues = ["services", "short", "best-effort"];
        Self {
            random: SmallRng::seed_from_u64(1),
            workers: workers as f64,
            overload,
            jobs: 0,
            queues: queues.map(|name| Arc::new(queue(name))),
        }
    }

    /// Jobs submitted in the `elapsed` time before `now`.
    pub(crate) fn submit(&mut self, now: Time, elapsed: Duration) -> Vec<Input> {
        let mut jobs = Vec::new();
        if self.jobs == 0 {
            let services = (self.workers * SERVICES) as usize;
            jobs.extend((0..services).map(|_| self.job(now, Kind::Service)));
        }
        let seconds = elapsed.as_secs_f64();
        let rates = [
            (Kind::Short, SHORT_RATE),
            (Kind::BestEffort, BEST_EFFORT_RATE * self.overload),
        ];
        for (kind, rate) in rates {
            let mut expected = rate * self.workers * seconds;
            while expected > 0.0 && self.random.random_bool(expected.min(1.0)) {
                jobs.push(self.job(now, kind));
                expected -= 1.0;
            }
        }
        jobs
    }

    /// A service job of one task for each worker.
    pub(crate) fn services(&mut self, now: Time) -> Vec<Input> {
        let services = self.workers as usize;
        let mut jobs: Vec<Input> = (0..services)
            .map(|_| self.job(now, Kind::Service))
            .collect();
        for job in &mut jobs {
            if let Input::Job { record, .. } = job {
                record.spec.steps[0].count = 1;
            }
        }
        jobs
    }

    /// Best-effort jobs that were accepted before the owner took over.
    pub(crate) fn backlog(&mut self, now: Time, jobs: usize) -> Vec<Input> {
        let jobs = (0..jobs).map(|_| self.job(now, Kind::BestEffort));
        jobs.collect()
    }

    /// A job whose rounds of one task each are all due at `now`.
    pub(crate) fn rounds(&mut self, now: Time, rounds: usize, cpu: u64) -> Input {
        let mut input = self.job(now, Kind::Short);
        if let Input::Job { record, .. } = &mut input {
            record.spec.steps.truncate(1);
            record.spec.steps[0].count = 1;
            record.spec.steps[0].need = Resources::new(cpu, MEGABYTE, 0);
            record.spec.repeat = Some(Repeat {
                count: u32::try_from(rounds).expect("a small number"),
                start_ms: 0,
                interval_ms: 0,
            });
        }
        input
    }

    fn job(&mut self, now: Time, kind: Kind) -> Input {
        self.jobs += 1;
        let steps = match kind {
            Kind::Service => vec![self.service()],
            Kind::Short => vec![self.short(&[]), self.short(&[0])],
            Kind::BestEffort => vec![self.best_effort(&[]), self.best_effort(&[0])],
        };
        let spec = JobSpec {
            queue: self.queues[kind as usize].clone(),
            payload: Arc::from("work"),
            steps,
            repeat: None,
            submitted_ms: now.as_micros() / 1_000,
        };
        Input::Job {
            id: JobId(self.jobs),
            record: JobRecord {
                spec,
                cancelled: false,
            },
            accepted: Revision(self.jobs),
            progress: None,
        }
    }

    fn service(&mut self) -> StepSpec {
        StepSpec {
            count: 24,
            need: self.need(3_200, 6_400),
            estimate_ms: 500,
            long_running: true,
            image: Some(self.image("service", SERVICE_IMAGES)),
            target_ms: 150,
            ..StepSpec::default()
        }
    }

    fn short(&mut self, after: &[u16]) -> StepSpec {
        StepSpec {
            count: self.random.random_range(4..22),
            need: self.need(690, 1_400),
            estimate_ms: 640,
            after: after.to_vec(),
            ..StepSpec::default()
        }
    }

    fn best_effort(&mut self, after: &[u16]) -> StepSpec {
        StepSpec {
            count: self.random.random_range(16..64),
            need: self.need(1_800, 3_200),
            estimate_ms: 2_700,
            after: after.to_vec(),
            checkpoints: true,
            image: Some(self.image("best-effort", BEST_EFFORT_IMAGES)),
            best_effort: true,
            ..StepSpec::default()
        }
    }

    /// Resources around `cpu` thousandths of a processor and `mem_mb` megabytes.
    fn need(&mut self, cpu: u64, mem_mb: u64) -> Resources {
        let factor = self.random.random_range(0.7..1.3);
        let scale = |mean: u64| (mean as f64 * factor) as u64;
        Resources::new(scale(cpu), scale(mem_mb) * MEGABYTE, 0)
    }

    fn image(&mut self, kind: &str, count: u32) -> Arc<str> {
        format!("{kind}-{}", self.random.random_range(0..count)).into()
    }
}

fn queue(name: &str) -> QueuePolicy {
    QueuePolicy {
        name: QueueName(name.into()),
        host: "example".to_owned(),
        prefix: format!("/{name}/"),
        service: "pool".into(),
        priority: 0,
        max_attempts: 2,
        stretch_percent: 200,
        slack_ms: 1_000,
        timeout_ms: 3_000,
    }
}
