//! Metrics of the owner of the jobs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parsleytally::jobs::{
    AgentMessage, CrashDecision, EndReason, EvacuationEvent, JobAccount, OrderMessage, PoolUse,
    QueueName, QueueUsage, RefusalReason, Scheduler, UnreportedWaits, WaitCounts, WorkerStanding,
    WorkersDecision,
};
use parsleytally_platform::process::metrics::MetricSet;
use prometheus::{IntCounter, IntCounterVec, IntGauge, IntGaugeVec};

use super::messages::RemoteReply;

/// Value of the epoch gauge while this entry is not the owner.
const NOT_OWNER: i64 = -1;
/// Factor from a share of 1 to the thousandths that are exported.
const PERMILLE: f64 = 1_000.0;

/// Metrics of all ownerships of one entry; clones share their values.
#[derive(Debug, Clone)]
pub(super) struct OwnerMetrics {
    orders: IntCounterVec,
    ended_runs: IntCounterVec,
    moved_runs: IntCounter,
    /// Starts that were held back because of an old read of the evacuation requests.
    old_reads: IntCounterVec,
    evacuated_zones: IntGauge,
    worker_decisions: IntCounterVec,
    crash_decisions: IntCounterVec,
    overcommitted: IntGauge,
    refused_starts: IntCounterVec,
    mismatches: IntCounter,
    degraded: IntGauge,
    flapping: IntGauge,
    probation: IntGauge,
    copies: IntGauge,
    epoch: IntGauge,
    agents: IntGauge,
    open_jobs: IntGauge,
    waiting_tasks: IntGauge,
    waiting_steps: IntGaugeVec,
    free_cpu: IntGauge,
    pool_used: IntGaugeVec,
    pool_unlinked: IntGaugeVec,
    unreported: IntGaugeVec,
    queue_share: IntGaugeVec,
    queue_waiting: IntGaugeVec,
    preempted: IntCounterVec,
    ended_jobs: IntCounterVec,
    job_time: IntCounterVec,
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
            moved_runs: set.counter(
                "parsleytally_jobs_moved_runs_total",
                "Runs that were moved out of evacuated zones.",
            )?,
            old_reads: set.counters(
                "parsleytally_jobs_old_reads_total",
                "Starts refused by agents, and pauses of all starts by the owner, because of an old read of the evacuation requests.",
                "by",
            )?,
            evacuated_zones: set.gauge(
                "parsleytally_jobs_evacuated_zones",
                "Availability zones that operators have requested to evacuate.",
            )?,
            worker_decisions: set.counters(
                "parsleytally_jobs_worker_decisions_total",
                "Decisions about uneven workers, by kind.",
                "decision",
            )?,
            crash_decisions: set.counters(
                "parsleytally_jobs_crash_decisions_total",
                "Decisions about runs that were lost in crashes of workers, by kind.",
                "decision",
            )?,
            overcommitted: set.gauge(
                "parsleytally_jobs_overcommitted_workers",
                "Workers whose runs need more than they have, since their capacity shrank.",
            )?,
            refused_starts: set.counters(
                "parsleytally_jobs_refused_starts_total",
                "Starts that an agent or a worker refused, by reason.",
                "reason",
            )?,
            mismatches: set.counter(
                "parsleytally_jobs_address_mismatches_total",
                "Links closed because another agent answered at the address of an agent.",
            )?,
            degraded: set.gauge(
                "parsleytally_jobs_degraded_workers",
                "Workers that are slower, fail more or start later than their peers.",
            )?,
            flapping: set.gauge(
                "parsleytally_jobs_flapping_workers",
                "Workers that restart or stop answering often.",
            )?,
            probation: set.gauge(
                "parsleytally_jobs_probation_workers",
                "Workers that get one run at a time.",
            )?,
            copies: set.gauge(
                "parsleytally_jobs_copies",
                "Runs beside another run of their task.",
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
            waiting_steps: set.gauges(
                "parsleytally_jobs_waiting_steps",
                "Steps that have waited for a second or more, by the reason of most workers.",
                "reason",
            )?,
            free_cpu: set.gauge(
                "parsleytally_jobs_free_cpu_percent",
                "Share of the workers' processors that nothing has reserved.",
            )?,
            pool_used: set.gauges(
                "parsleytally_jobs_pool_used_percent",
                "Share of a pool's processors that counts as reserved; past 60, it counts as full.",
                "pool",
            )?,
            pool_unlinked: set.gauges(
                "parsleytally_jobs_pool_unlinked_workers",
                "Known workers of a pool whose agents are not linked to the owner.",
                "pool",
            )?,
            unreported: set.gauges(
                "parsleytally_jobs_unreported_milliseconds",
                "Longest wait of this ownership for an agent of its predecessor, by what it held back.",
                "held",
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
            ended_jobs: set.paired_counters(
                "parsleytally_jobs_ended_total",
                "Ended jobs, by queue and how they compare with their objective.",
                ["queue", "outcome"],
            )?,
            job_time: set.paired_counters(
                "parsleytally_jobs_task_milliseconds_total",
                "Time of the tasks of ended jobs since they were ready, by queue and cause.",
                ["queue", "cause"],
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
        let gauges = [
            &self.agents,
            &self.open_jobs,
            &self.waiting_tasks,
            &self.free_cpu,
            &self.evacuated_zones,
            &self.overcommitted,
            &self.degraded,
            &self.flapping,
            &self.probation,
            &self.copies,
        ];
        for gauge in gauges {
            gauge.set(0);
        }
        self.pool_used.reset();
        self.pool_unlinked.reset();
        self.queue_share.reset();
        self.queue_waiting.reset();
        self.waiting_steps.reset();
        self.unreported.reset();
    }

    pub(super) fn update(&self, scheduler: &Scheduler, agents: usize, confirmation_age: Duration) {
        let gauge = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        self.agents.set(gauge(agents));
        self.open_jobs.set(gauge(scheduler.open_jobs()));
        self.evacuated_zones.set(gauge(scheduler.evacuated_zones()));
        self.waiting_tasks.set(gauge(scheduler.waiting_tasks()));
        self.free_cpu.set(scheduler.free_percent().into());
        self.update_pools(&scheduler.pool_uses());
        self.update_waiting(&scheduler.waiting_steps());
        self.overcommitted
            .set(gauge(scheduler.overcommitted_workers()));
        let standings = scheduler.standings();
        self.degraded.set(gauge(standings.degraded));
        self.flapping.set(gauge(standings.flapping));
        self.probation.set(gauge(standings.probation));
        self.copies.set(gauge(scheduler.copies()));
        self.update_queues(&scheduler.queue_usage());
        self.update_unreported(scheduler.unreported_waits());
        let age = i64::try_from(confirmation_age.as_millis()).unwrap_or(i64::MAX);
        self.confirmation_age.set(age);
    }

    /// Sets the gauges of the pools; those of other pools are removed.
    pub(super) fn update_pools(&self, pools: &BTreeMap<Arc<str>, PoolUse>) {
        self.pool_used.reset();
        self.pool_unlinked.reset();
        let gauge = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        for (pool, pool_use) in pools {
            let pool = [&**pool];
            let used = self.pool_used.with_label_values(&pool);
            used.set(gauge(pool_use.used_percent()));
            let unlinked = self.pool_unlinked.with_label_values(&pool);
            unlinked.set(gauge(pool_use.unlinked() as u64));
        }
    }

    /// Sets the gauges of the longest waits for agents of the predecessor.
    pub(super) fn update_unreported(&self, waits: UnreportedWaits) {
        for (held, wait) in [("all", waits.all), ("named", waits.named)] {
            let millis = i64::try_from(wait.as_millis()).unwrap_or(i64::MAX);
            self.unreported.with_label_values(&[held]).set(millis);
        }
    }

    /// Sets the gauges of waiting steps; those of other reasons are removed.
    pub(super) fn update_waiting(&self, steps: &WaitCounts) {
        self.waiting_steps.reset();
        for (reason, steps) in steps {
            let gauge = self.waiting_steps.with_label_values(&[&reason.to_string()]);
            gauge.set(i64::try_from(*steps).unwrap_or(i64::MAX));
        }
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

    /// Counts an ended job and what its time was lost to.
    pub(super) fn count_job(&self, account: &JobAccount) {
        let queue = &*account.queue.0;
        let outcome = account.outcome.to_string();
        self.ended_jobs.with_label_values(&[queue, &outcome]).inc();
        let times = &account.task_ms;
        let causes = [
            ("waited", times.waited),
            ("throttled", times.throttled),
            ("vain", times.vain),
            ("worked", times.worked),
            ("straggled", account.straggled_ms),
        ];
        for (cause, millis) in causes {
            let counter = self.job_time.with_label_values(&[queue, cause]);
            counter.inc_by(millis);
        }
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

    pub(super) fn count_mismatch(&self) {
        self.mismatches.inc();
    }

    pub(super) fn count_decision(&self, decision: &WorkersDecision) {
        let (label, count) = match decision {
            WorkersDecision::Capacity { .. } => ("capacity", 1),
            WorkersDecision::Standing { standing, .. } => (standing_label(*standing), 1),
            WorkersDecision::RackWait(evidence) => ("rack_wait", evidence.tasks),
            WorkersDecision::RackGivenUp(evidence) => ("rack_given_up", evidence.tasks),
            WorkersDecision::Copy { .. } => ("copy", 1),
            WorkersDecision::CopiesEnded { copy_won: true, .. } => ("copy_won", 1),
            WorkersDecision::CopiesEnded { .. } => ("copy_lost", 1),
            WorkersDecision::Stall { .. } => ("stall", 1),
        };
        self.worker_decisions
            .with_label_values(&[label])
            .inc_by(count as u64);
    }

    pub(super) fn count_crash(&self, decision: &CrashDecision) {
        let label = match decision {
            CrashDecision::Lost { .. } => "lost",
            CrashDecision::StartedAgain { isolated: true, .. } => "isolated",
            CrashDecision::StartedAgain { .. } => "started_again",
            CrashDecision::GivenUp { .. } => "given_up",
        };
        self.crash_decisions.with_label_values(&[label]).inc();
    }

    pub(super) fn count_evacuation(&self, event: &EvacuationEvent) {
        match event {
            EvacuationEvent::Moved { .. } => self.moved_runs.inc(),
            EvacuationEvent::Paused { .. } => self.old_reads.with_label_values(&["owner"]).inc(),
            EvacuationEvent::Zone { .. } | EvacuationEvent::Resumed { .. } => {}
        }
    }

    /// Counts ended runs and the starts that an agent refused because of an old read.
    pub(super) fn count_message(&self, message: &AgentMessage) {
        if let AgentMessage::Refused { reason, .. } = message {
            let label = refusal_label(*reason);
            self.refused_starts.with_label_values(&[label]).inc();
        }
        let old_read = RefusalReason::OldRead;
        if matches!(message, AgentMessage::Refused { reason, .. } if *reason == old_read) {
            self.old_reads.with_label_values(&["agent"]).inc();
        }
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

fn refusal_label(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Room => "room",
        RefusalReason::Fenced => "fenced",
        RefusalReason::Old => "old",
        RefusalReason::Late => "late",
        RefusalReason::Ticket => "ticket",
        RefusalReason::Unwell => "unwell",
        RefusalReason::Unanswered => "unanswered",
        RefusalReason::Invalid => "invalid",
        RefusalReason::OldRead => "old_read",
    }
}

fn standing_label(standing: WorkerStanding) -> &'static str {
    match standing {
        WorkerStanding::Probation => "probation",
        WorkerStanding::Flapping => "flapping",
        WorkerStanding::Degraded => "degraded",
        WorkerStanding::Sound => "sound",
    }
}

/// Metrics of requests while the store does not answer; clones share their values.
#[derive(Debug, Clone)]
pub(super) struct RelayMetrics {
    relays: IntCounterVec,
    pub(super) store_answers: IntGauge,
}

impl RelayMetrics {
    pub(super) fn new(set: &MetricSet) -> prometheus::Result<Self> {
        Ok(Self {
            relays: set.counters(
                "parsleytally_jobs_relays_total",
                "Requests to other entries while the store does not answer, by outcome.",
                "outcome",
            )?,
            store_answers: set.gauge(
                "parsleytally_jobs_store_answers",
                "Whether the store answered the last call of this entry.",
            )?,
        })
    }

    pub(super) fn count_request(&self, reply: &RemoteReply) {
        let outcome = match reply {
            RemoteReply::Answered(_) => "answered",
            RemoteReply::NotSent => "not-sent",
            RemoteReply::Unanswered => "unanswered",
        };
        self.relays.with_label_values(&[outcome]).inc();
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
