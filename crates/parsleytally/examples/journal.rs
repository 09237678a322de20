//! Measures the journal and the recovery of an owner.
//!
//! Prints, for several numbers of running tasks: bytes of journal for a task, store
//! writes and bytes for 1,000 starts at the peak rate, and the time to rebuild the
//! owners of all shards from their journals and the agents' reports.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parsleytally::leases::{Report, RunReport, RunState};
use parsleytally::ownership::{
    Batch, Owner, OwnerConfig, OwnerInput, OwnerOutput, OwnerRecord, Ownership, SHARDS, SegmentId,
    TaskSpec, WriteResult, shard_of,
};
use parsleytally::types::{
    Epoch, Incarnation, NodeName, Resources, RunId, ShardId, TaskKey, TaskName, TeamName, Time,
};

const TEAMS: usize = 700;
const WORKERS: usize = 3_000;
const STARTS_PER_SECOND: u64 = 180;
const HOLD: Duration = Duration::from_secs(60);
const LIFE: Incarnation = Incarnation(1);

/// Values of a shard's segments.
type Values = BTreeMap<SegmentId, Vec<u8>>;

struct Shards {
    owners: BTreeMap<ShardId, Owner>,
    stored: BTreeMap<ShardId, Values>,
    writes: u64,
    bytes: u64,
}

impl Shards {
    /// Owners of all shards by `epoch`, from what is stored.
    fn new(epoch: u64, stored: BTreeMap<ShardId, Values>, flush: Duration, now: Time) -> Self {
        let mut owners = BTreeMap::new();
        for shard in (0..SHARDS).map(ShardId) {
            let values = stored.get(&shard).cloned().unwrap_or_default();
            let values: Vec<_> = values.into_iter().collect();
            let record = record(epoch);
            let term = Ownership::new(shard, &record, now);
            let config = OwnerConfig {
                flush_interval: flush,
                max_faults: 5,
            };
            let owner = Owner::new(config, term, now, &values).expect("the journal is whole");
            owners.insert(shard, owner);
        }
        Self {
            owners,
            stored,
            writes: 0,
            bytes: 0,
        }
    }

    fn step(&mut self, now: Time, shard: ShardId, input: OwnerInput) -> Vec<OwnerOutput> {
        let mut out = Vec::new();
        let owner = self.owners.get_mut(&shard).expect("every shard is owned");
        owner.step(now, input, &mut out);
        for batch in batches(&out) {
            self.store(shard, &batch);
            let seq = batch.seq;
            let result = WriteResult::Accepted { sent_at: now };
            let owner = self.owners.get_mut(&shard).expect("every shard is owned");
            owner.step(now, OwnerInput::Written { seq, result }, &mut out);
        }
        out
    }

    fn store(&mut self, shard: ShardId, batch: &Batch) {
        self.writes += 1;
        let values = self.stored.entry(shard).or_default();
        for (id, bytes) in &batch.segments {
            self.bytes += bytes.len() as u64;
            values.insert(*id, bytes.clone());
        }
    }

    fn all(&mut self, now: Time, input: impl Fn() -> OwnerInput) {
        for shard in (0..SHARDS).map(ShardId) {
            self.step(now, shard, input());
        }
    }
}

fn batches(out: &[OwnerOutput]) -> Vec<Batch> {
    let batches = out.iter().filter_map(|o| match o {
        OwnerOutput::Write(batch) => Some(batch.clone()),
        _ => None,
    });
    batches.collect()
}

fn record(epoch: u64) -> OwnerRecord {
    let node = NodeName::new("entry-1").expect("a valid name");
    let first = OwnerRecord::successor(None, &node, LIFE, HOLD, false);
    OwnerRecord {
        epoch: Epoch(epoch),
        ..first
    }
}

fn worker(n: usize) -> NodeName {
    NodeName::new(&format!("worker-{:04}", n % WORKERS)).expect("a valid name")
}

fn task(n: usize) -> TaskKey {
    TaskKey {
        team: TeamName::new(&format!("team-{:03}", n % TEAMS)).expect("a valid name"),
        task: TaskName::new(&format!("reconcile-{n:06}")).expect("a valid name"),
    }
}

/// Starts `count` tasks numbered from `first` at the peak rate.
fn start(shards: &mut Shards, first: usize, count: usize, begin: Time) -> Time {
    let gap = Duration::from_secs(1) / u32::try_from(STARTS_PER_SECOND).expect("a small rate");
    let mut now = begin;
    for n in first..first + count {
        now = now.after(gap);
        let key = task(n);
        let shard = shard_of(&key.team);
        let agent = worker(n);
        let (life, sent) = (LIFE, now);
        shards.step(now, shard, OwnerInput::Confirmed { sent_at: now });
        let beat = OwnerInput::Heartbeat {
            agent: agent.clone(),
            incarnation: life,
            sent,
        };
        shards.step(now, shard, beat);
        let task = key.clone();
        shards.step(now, shard, OwnerInput::Add { task });
        let owner = &shards.owners[&shard];
        let expect = owner.record(&key).expect("just accepted").run;
        let place = OwnerInput::Place {
            task: key,
            expected_run: expect,
            agent,
            spec: TaskSpec {
                need: Resources::new(100, 1 << 20, 0),
                command: Arc::from(""),
                run_time: HOLD,
            },
        };
        shards.step(now, shard, place);
        shards.all(now, || OwnerInput::Tick);
    }
    let end = now.after(Duration::from_secs(2));
    shards.all(end, || OwnerInput::Tick);
    end
}

/// Reports of every agent for every shard of which it has runs.
fn reports(shards: &Shards, epoch: u64, sent: Time) -> Vec<Report> {
    let mut reports = BTreeMap::<(NodeName, ShardId), Vec<RunReport>>::new();
    for (&shard, owner) in &shards.owners {
        for (task, record) in owner.tasks() {
            let Some(agent) = record.assigned_agent() else {
                continue;
            };
            let run = RunId {
                task: task.clone(),
                run: record.run,
            };
            let state = RunState::Live { checkpoint: None };
            let runs = reports.entry((agent.clone(), shard)).or_default();
            runs.push(RunReport { run, state });
        }
    }
    let reports = reports.into_iter().map(|((agent, shard), runs)| Report {
        agent,
        incarnation: LIFE,
        sent_at: sent,
        shard,
        epoch: Epoch(epoch),
        runs,
    });
    reports.collect()
}

fn measure(running: usize, flush: Duration) {
    let mut shards = Shards::new(1, BTreeMap::new(), Duration::ZERO, Time::ZERO);
    fill(&mut shards, running);
    let stored = shards.stored.clone();
    let size: usize = stored
        .values()
        .flat_map(BTreeMap::values)
        .map(Vec::len)
        .sum();
    let largest = stored
        .values()
        .flat_map(BTreeMap::values)
        .map(Vec::len)
        .max();

    let begin = Instant::now();
    let now = Time::from_secs(100_000);
    let mut heirs = Shards::new(2, stored, flush, now);
    let loaded = begin.elapsed();
    let reports = reports(&heirs, 2, now);
    let count = reports.len();
    let begin = Instant::now();
    heirs.all(now, || OwnerInput::Confirmed { sent_at: now });
    for report in reports {
        heirs.step(now, report.shard, OwnerInput::Report(report));
    }
    let heard = begin.elapsed();
    assert!(heirs.owners.values().all(Owner::is_recovered));

    heirs.writes = 0;
    heirs.bytes = 0;
    start(&mut heirs, running, 1_000, now);
    println!(
        "{running:>7} {:>9.1} {:>9} {:>8} {:>11} {:>10.1} {:>8} {:>11.1}",
        size as f64 / running as f64,
        largest.unwrap_or_default() / 1024,
        heirs.writes,
        heirs.bytes / 1024,
        loaded.as_secs_f64() * 1e3,
        count,
        heard.as_secs_f64() * 1e3,
    );
}

/// Brings `count` tasks to run, with one journal write at the end of each shard.
fn fill(shards: &mut Shards, count: usize) {
    let chunk = start(shards, 0, 1, Time::ZERO);
    let mut now = chunk;
    for n in 1..count {
        let key = task(n);
        let shard = shard_of(&key.team);
        now = now.after(Duration::from_micros(1));
        let agent = worker(n);
        let owner = shards.owners.get_mut(&shard).expect("every shard is owned");
        let mut out = Vec::new();
        let inputs = [
            OwnerInput::Confirmed { sent_at: now },
            OwnerInput::Heartbeat {
                agent: agent.clone(),
                incarnation: LIFE,
                sent: now,
            },
            OwnerInput::Add { task: key.clone() },
            OwnerInput::Place {
                task: key,
                expected_run: parsleytally::types::RunNumber(0),
                agent,
                spec: TaskSpec {
                    need: Resources::new(100, 1 << 20, 0),
                    command: Arc::from(""),
                    run_time: HOLD,
                },
            },
        ];
        for input in inputs {
            owner.step(now, input, &mut out);
        }
    }
    // Batches of the fill are in flight; settle them and write the rest.
    for shard in (0..SHARDS).map(ShardId) {
        for seq in 1..4 {
            let result = WriteResult::Unknown;
            shards.step(now, shard, OwnerInput::Written { seq, result });
        }
    }
}

fn main() {
    println!(
        "tasks running, 64 shards, {TEAMS} teams, {WORKERS} workers, {STARTS_PER_SECOND} starts/s:"
    );
    println!(
        "{:>7} {:>9} {:>9} {:>8} {:>11} {:>10} {:>8} {:>11}",
        "tasks", "B/task", "max KiB", "writes", "KiB/1k", "load ms", "reports", "reports ms"
    );
    for flush in [250, 500, 1_000].map(Duration::from_millis) {
        println!("flush {} ms", flush.as_millis());
        for running in [1_000, 10_000, 75_000] {
            measure(running, flush);
        }
    }
}
