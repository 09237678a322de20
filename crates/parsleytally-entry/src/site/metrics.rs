//! Metrics of the owner's decisions.

use std::time::Duration;

use parsleytally::jobs::{AgentMessage, EndReason, OrderMessage, Scheduler};
use parsleytally_platform::process::metrics::MetricSet;
use prometheus::{IntCounterVec, IntGauge};

/// Value of the epoch while another entry is the owner.
const NOT_OWNER: i64 = -1;

/// Metrics of one entry's ownerships; clones share them.
#[derive(Debug, Clone)]
pub(super) struct OwnerMetrics {
    orders: IntCounterVec,
    ends: IntCounterVec,
    epoch: IntGauge,
    agents: IntGauge,
    open_jobs: IntGauge,
    waiting_tasks: IntGauge,
    /// Age of the store's last confirmation, in milliseconds.
    confirmed: IntGauge,
}

impl OwnerMetrics {
    pub(super) fn new(set: &MetricSet) -> prometheus::Result<Self> {
        let metrics = Self {
            orders: set.counters(
                "parsleytally_jobs_orders_total",
                "Orders to agents, by kind.",
                "order",
            )?,
            ends: set.counters(
                "parsleytally_jobs_ends_total",
                "Ends of runs, by how they ended.",
                "how",
            )?,
            epoch: set.gauge(
                "parsleytally_jobs_epoch",
                "Epoch of this entry's ownership; -1 while another owns.",
            )?,
            agents: set.gauge("parsleytally_jobs_agents", "Agents linked to the owner.")?,
            open_jobs: set.gauge("parsleytally_jobs_open", "Jobs that have not ended.")?,
            waiting_tasks: set.gauge(
                "parsleytally_jobs_waiting_tasks",
                "Tasks that wait for room.",
            )?,
            confirmed: set.gauge(
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
    }

    pub(super) fn show(&self, scheduler: &Scheduler, agents: usize, confirmed: Duration) {
        let gauge = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        self.agents.set(gauge(agents));
        self.open_jobs.set(gauge(scheduler.open_jobs()));
        self.waiting_tasks.set(gauge(scheduler.waiting_tasks()));
        let age = i64::try_from(confirmed.as_millis()).unwrap_or(i64::MAX);
        self.confirmed.set(age);
    }

    pub(super) fn ordered(&self, message: &OrderMessage) {
        let order = match message {
            OrderMessage::Start(_) => "start",
            OrderMessage::Stop(_) => "stop",
            OrderMessage::Throttle { .. } => "pace",
            _ => return,
        };
        self.orders.with_label_values(&[order]).inc();
    }

    pub(super) fn heard(&self, message: &AgentMessage) {
        let AgentMessage::Ended { ended, .. } = message else {
            return;
        };
        for end in ended {
            self.ends.with_label_values(&[how_name(end.reason)]).inc();
        }
    }
}

fn how_name(how: EndReason) -> &'static str {
    match how {
        EndReason::Done => "done",
        EndReason::Failed => "failed",
        EndReason::Stopped => "stopped",
        EndReason::Lapsed => "lapsed",
        EndReason::Broken => "broken",
        EndReason::Alone => "alone",
    }
}
