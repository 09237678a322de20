//! Tests of jobs: single decisions, and a simulation of the platform with faults.

mod admission;
mod agent;
mod backlog;
mod begun;
mod call_plan;
mod capacity;
mod contention;
mod cpu_shares;
mod crash_reports;
mod crashes;
mod durations;
mod evacuation;
mod fencing;
mod filters;
mod foreign_reports;
mod forgotten_jobs;
mod full_pools;
mod gang_checkpoints;
mod held_back;
mod late_checkpoints;
mod losses;
mod malformed;
mod may_run;
mod model;
mod orders_on_their_way;
mod overtaken;
mod owner_change;
mod placement;
mod records;
mod scheduler;
mod shares;
mod shortage;
mod shutdown;
mod throttle;
mod uneven;
mod unnamed;
mod waiting;
mod worker;

use std::sync::Arc;

use super::*;
use crate::types::{NodeName, Resources, ZoneName};

/// Bytes of a megabyte.
const MEGABYTE: u64 = 1 << 20;

fn node(at: usize) -> NodeName {
    NodeName::new(&format!("w{at}")).expect("a valid name")
}

fn need(cpu: u64, mem_mb: u64) -> Resources {
    Resources::new(cpu, mem_mb * MEGABYTE, 0)
}

fn incarnation(at: usize, born: u64) -> WorkerIncarnation {
    let id = format!("i-{at}").into();
    WorkerIncarnation {
        id,
        started_ms: born,
    }
}

fn report(at: usize, born: u64) -> WorkerReport {
    WorkerReport {
        incarnation: incarnation(at, born),
        service: "pool".into(),
        zone: ZoneName::new("a").expect("a valid name"),
        state: WorkerState::Ready,
        capacity: need(4_000, 8_000),
        labels: vec!["kind".into(), format!("r{}", at / 3).into()],
        rack: Some(format!("r{}", at / 3).into()),
    }
}

/// The input of an agent for a report without a number.
fn reported(report: WorkerReport) -> AgentInput {
    AgentInput::Report {
        report,
        sequence: 0,
    }
}

fn queue() -> QueuePolicy {
    QueuePolicy {
        name: QueueName("q".into()),
        host: "h".to_owned(),
        prefix: "/q/".to_owned(),
        service: "pool".into(),
        priority: 0,
        max_attempts: 2,
        stretch_percent: 200,
        slack_ms: 1_000,
        timeout_ms: 3_000,
    }
}

fn queues(version: u64) -> QueueTable {
    QueueTable::new(version, 1 << 18, vec![queue()])
}

fn step(count: u32, after: &[u16]) -> StepSpec {
    StepSpec {
        count,
        need: need(1_000, 1_000),
        estimate_ms: 1_000,
        after: after.to_vec(),
        ..StepSpec::default()
    }
}

fn job(steps: Vec<StepSpec>) -> JobRecord {
    JobRecord {
        spec: JobSpec {
            queue: Arc::new(queue()),
            payload: Arc::from("do"),
            steps,
            repeat: None,
            submitted_ms: 0,
        },
        cancelled: false,
    }
}

fn run(job: u64, step: u16, index: u32, run: u32) -> RunRef {
    let task = TaskId {
        job: JobId(job),
        round: 0,
        step,
        index,
    };
    RunRef { task, run }
}
