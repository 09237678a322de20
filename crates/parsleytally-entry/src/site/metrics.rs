//! Metrics of the owner of the jobs.

use std::time::Duration;

use parsleytally::jobs::{AgentMessage, EndReason, OrderMessage, QueueName, QueueUsage, Scheduler};
use parsleytally_platform::process::metrics::MetricSet;
use prometheus::{IntCounterVec, IntGauge, IntGaugeVec};

/// Value of the epoch gauge while this entry is not the owner.
const NOT_OWNER: i64 = -1;
/// Factor from a share of 1 to the thousandths that are exported.
const PERMILLE: f64 = 1_000.0;

/// Metrics of all ownerships of one entry; clones share their values.
#[derive(Debug, Clone)]
pub(super) struct OwnerMetrics {
    orders: IntCounterVec,
    ended_runs: IntCounterVec,
    epoch: IntGauge,
    agents: IntGauge,
    open_jobs: IntGauge,
    waiting_tasks: IntGauge,
    queue_share: IntGaugeVec,
    queue_waiting: IntGaugeVec,
    preempted: IntCounterVec,
    /// Time since the store last confirmed the ownership, in milliseconds.
    confirmation_age: IntGauge,
}

impl OwnerMetrics {
    pub(super) fn new(set: &MetricSet) -> prometheus::Result<Self> {
        let metrics = Self {
            orders: set.counters(
                "parsleytally_jobs_orders_total",
                "Orders to agents, by kind.",
                "order",
            )?,
            ended_runs: set.counters(
                "parsleytally_jobs_ends_total",
                "Ended runs, by end reason.",
                "how",
            )?,
            epoch: set.gauge(
                "parsleytally_jobs_epoch",
                "Epoch of this entry's ownership; -1 while this entry is not the owner.",
            )?,
            agents: set.gauge("parsleytally_jobs_agents", "Agents linked to the owner.")?,
            open_jobs: set.gauge("parsleytally_jobs_open", "Jobs that have not ended.")?,
            waiting_tasks: set.gauge(
                "parsleytally_jobs_waiting_tasks",
                "Tasks that wait for free capacity.",
            )?,
            queue_share: set.gauges(
                "parsleytally_jobs_queue_share_permille",
                "Dominant share of its pool that a queue uses; only with settings of shares.",
                "queue",
            )?,
            queue_waiting: set.gauges(
                "parsleytally_jobs_queue_waiting_tasks",
                "Waiting tasks, by queue; only with settings of shares.",
                "queue",
            )?,
            preempted: set.counters(
                "parsleytally_jobs_preempted_total",
                "Runs preempted for queues of higher priority, by their own queue.",
                "queue",
            )?,
            confirmation_age: set.gauge(
                "parsleytally_jobs_confirmed_milliseconds",
                "Age of the store's last confirmation of the ownership.",
            )?,
        };
        metrics.epoch.set(NOT_OWNER);
        Ok(metrics)
    }

    pub(super) fn began(&self, epoch: u64) {
        self.epoch.set(epoch.cast_signed());
    }

    pub(super) fn ended(&self) {
        self.epoch.set(NOT_OWNER);
        let gauges = [&self.agents, &self.open_jobs, &self.waiting_tasks];
        for gauge in gauges {
            gauge.set(0);
        }
        self.queue_share.reset();
        self.queue_waiting.reset();
    }

    pub(super) fn update(&self, scheduler: &Scheduler, agents: usize, confirmation_age: Duration) {
        let gauge = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        self.agents.set(gauge(agents));
        self.open_jobs.set(gauge(scheduler.open_jobs()));
        self.waiting_tasks.set(gauge(scheduler.waiting_tasks()));
        self.update_queues(&scheduler.queue_usage());
        let age = i64::try_from(confirmation_age.as_millis()).unwrap_or(i64::MAX);
        self.confirmation_age.set(age);
    }

    /// Sets the gauges of the queues; those of other queues are removed.
    pub(super) fn update_queues(&self, queues: &[QueueUsage]) {
        self.queue_share.reset();
        self.queue_waiting.reset();
        for usage in queues {
            let queue = [&*usage.queue.0];
            let share = (usage.share * PERMILLE).round() as i64;
            self.queue_share.with_label_values(&queue).set(share);
            let waiting = i64::try_from(usage.waiting).unwrap_or(i64::MAX);
            self.queue_waiting.with_label_values(&queue).set(waiting);
        }
    }

    pub(super) fn count_preempted(&self, queue: &QueueName) {
        self.preempted.with_label_values(&[&*queue.0]).inc();
    }

    pub(super) fn count_order(&self, message: &OrderMessage) {
        let order = match message {
            OrderMessage::Start(_) => "start",
            OrderMessage::Stop(_) => "stop",
            OrderMessage::Throttle { .. } => "pace",
            _ => return,
        };
        self.orders.with_label_values(&[order]).inc();
    }

    pub(super) fn count_ended_runs(&self, message: &AgentMessage) {
        let AgentMessage::Ended { ended, .. } = message else {
            return;
        };
        for run in ended {
            self.ended_runs
                .with_label_values(&[reason_label(run.reason)])
                .inc();
        }
    }
}

fn reason_label(reason: EndReason) -> &'static str {
    match reason {
        EndReason::Done => "done",
        EndReason::Failed => "failed",
        EndReason::Stopped => "stopped",
        EndReason::Lapsed => "lapsed",
        EndReason::Broken => "broken",
        EndReason::Alone => "alone",
    }
}
