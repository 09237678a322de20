//! A worker in memory: each run takes its declared run time.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use parsleytally::leases::{
    Checkpoint, Command, Event, RunSpec, RunState, WorkerRun, WorkerRunState,
};
use parsleytally::types::{Incarnation, RunId, ShardId, Time};

use super::{RunUsage, SupersededSnafu, WorkerControl, WorkerError};
use crate::process::Clock;

/// How late usage is reported.
const USAGE_LAG: Duration = Duration::from_secs(2);

/// A worker in memory; it outlives the agents that are given it.
///
/// A checkpoint's number is the work done, in milliseconds.
#[derive(Debug)]
pub struct StandInWorker {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    life: Incarnation,
    runs: BTreeMap<RunId, Run>,
    events: Vec<Event>,
}

#[derive(Debug)]
struct Run {
    shard: ShardId,
    start: RunSpec,
    begun: Time,
    until: Time,
    /// Thousandths of its grant that it gets now, work done before `begun` in milliseconds.
    share: u16,
    done: u64,
    ended: Option<RunState>,
}

impl Default for StandInWorker {
    fn default() -> Self {
        Self {
            clock: Clock::start(),
            state: Mutex::default(),
        }
    }
}

impl StandInWorker {
    fn lock(&self, life: Incarnation) -> Result<MutexGuard<'_, State>, WorkerError> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.advance(self.clock.now());
        if state.life != life {
            return SupersededSnafu { life }.fail();
        }
        Ok(state)
    }
}

impl WorkerControl for StandInWorker {
    fn now(&self) -> Time {
        self.clock.now()
    }

    fn attach(&self, life: Incarnation) -> Result<Vec<WorkerRun>, WorkerError> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.advance(self.clock.now());
        if life < state.life {
            return SupersededSnafu { life }.fail();
        }
        state.life = life;
        state.events.clear();
        Ok(state.runs.values().map(Run::describe).collect())
    }

    fn call(&self, life: Incarnation, command: Command) -> Result<(), WorkerError> {
        let now = self.clock.now();
        self.lock(life)?.obey(now, command);
        Ok(())
    }

    fn poll(&self, life: Incarnation) -> Result<Vec<Event>, WorkerError> {
        Ok(std::mem::take(&mut self.lock(life)?.events))
    }

    fn usage(&self) -> Vec<RunUsage> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        let settled = |run: &&Run| run.ended.is_none() && now.since(run.begun) >= USAGE_LAG;
        let runs = state.runs.values().filter(settled);
        let lag = u64::try_from(USAGE_LAG.as_micros()).unwrap_or(u64::MAX);
        let measured = Time::from_micros(now.as_micros().saturating_sub(lag));
        let usage = runs.map(|run| RunUsage {
            run: run.start.run.clone(),
            measured,
            used: run.start.resources,
        });
        usage.collect()
    }
}

impl State {
    /// Ends the runs whose work is done or whose lease is over.
    fn advance(&mut self, now: Time) {
        for (id, run) in &mut self.runs {
            if run.ended.is_some() {
                continue;
            }
            let work = u64::try_from(run.start.run_time.as_millis()).unwrap_or(u64::MAX);
            let at_end = run.work(now.min(run.until));
            let state = if at_end >= work {
                RunState::Finished
            } else if now >= run.until {
                RunState::Stopped {
                    checkpoint: run.start.checkpoint,
                }
            } else {
                continue;
            };
            run.ended = Some(state.clone());
            let run = id.clone();
            self.events.push(Event::Ended { run, state });
        }
    }

    fn obey(&mut self, now: Time, command: Command) {
        match command {
            Command::Start {
                shard,
                spec: start,
                lease_end: until,
            } => self.start(now, shard, start, until),
            Command::Extend {
                run,
                lease_end: until,
            } => {
                if let Some(run) = self.runs.get_mut(&run) {
                    run.until = run.until.max(until);
                }
            }
            Command::Save { run } => {
                if let Some(live) = self.runs.get_mut(&run).filter(|r| r.ended.is_none()) {
                    let checkpoint = Checkpoint(live.work(now));
                    self.events.push(Event::Saved { run, checkpoint });
                }
            }
            Command::Throttle {
                run,
                cpu_share: share,
            } => {
                if let Some(run) = self.runs.get_mut(&run) {
                    run.done = run.work(now);
                    run.begun = now;
                    run.share = share.min(1000);
                }
            }
            Command::Stop { run, save } => self.stop(now, run, save),
            Command::Forget { run } => {
                if self.runs.get(&run).is_some_and(|r| r.ended.is_some()) {
                    self.runs.remove(&run);
                }
            }
        }
    }

    fn start(&mut self, now: Time, shard: ShardId, start: RunSpec, until: Time) {
        let run = start.run.clone();
        if now >= until || self.runs.contains_key(&run) {
            let checkpoint = start.checkpoint;
            let state = RunState::Stopped { checkpoint };
            self.events.push(Event::Ended { run, state });
            return;
        }
        let entry = Run {
            shard,
            done: start.checkpoint.map_or(0, |Checkpoint(done)| done),
            start,
            begun: now,
            until,
            share: 1000,
            ended: None,
        };
        self.runs.insert(run.clone(), entry);
        self.events.push(Event::Started { run });
    }

    fn stop(&mut self, now: Time, run: RunId, save: bool) {
        let state = match self.runs.get_mut(&run) {
            None => RunState::Stopped { checkpoint: None },
            Some(live) => {
                let saved = Checkpoint(live.work(now));
                let checkpoint = if save {
                    Some(saved)
                } else {
                    live.start.checkpoint
                };
                let stopped = RunState::Stopped { checkpoint };
                live.ended.get_or_insert(stopped).clone()
            }
        };
        self.events.push(Event::Ended { run, state });
    }
}

impl Run {
    /// Work done by `now`, in milliseconds.
    fn work(&self, now: Time) -> u64 {
        let span = u64::try_from(now.since(self.begun).as_millis()).unwrap_or(u64::MAX);
        self.done + span.saturating_mul(u64::from(self.share)) / 1000
    }

    fn describe(&self) -> WorkerRun {
        WorkerRun {
            shard: self.shard,
            run: self.start.run.clone(),
            resources: self.start.resources,
            lease_end: self.until,
            checkpoint: self.start.checkpoint,
            state: match &self.ended {
                Some(state) => WorkerRunState::Ended(state.clone()),
                None => WorkerRunState::Running,
            },
        }
    }
}
