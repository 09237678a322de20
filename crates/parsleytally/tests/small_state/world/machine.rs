//! A worker that executes runs under leases.

use std::collections::BTreeMap;

use parsleytally::leases::{
    Checkpoint, Command, Event, Input, RunState, WorkerRun, WorkerRunState,
};
use parsleytally::types::{Resources, RunId, RunNumber, ShardId, Time};

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Run {
    need: Resources,
    until: Time,
    state: WorkerRunState,
}

/// Runs of one worker, and news that its agent has not taken yet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct Machine {
    runs: BTreeMap<RunId, Run>,
    news: Vec<Event>,
}

const STOPPED: RunState = RunState::Stopped {
    checkpoint: Some(Checkpoint(1)),
};

impl Machine {
    /// Whether a run executes.
    pub(super) fn executing(&self) -> bool {
        self.runs
            .values()
            .any(|r| r.state == WorkerRunState::Running)
    }

    /// What executing runs take together.
    pub(super) fn used(&self) -> Option<Resources> {
        let running = |r: &&Run| r.state == WorkerRunState::Running;
        let mut needs = self.runs.values().filter(running).map(|r| r.need);
        needs.try_fold(Resources::NONE, |sum, need| sum.checked_add(&need))
    }

    /// Ends every run whose lease is over.
    pub(super) fn enforce(&mut self, now: Time) {
        let over = |run: &Run| run.state == WorkerRunState::Running && run.until <= now;
        let ended: Vec<_> = self.runs.iter().filter(|(_, r)| over(r)).collect();
        let ended: Vec<_> = ended.into_iter().map(|(id, _)| id.clone()).collect();
        for id in ended {
            self.end(&id, STOPPED);
        }
    }

    /// The executing run does its work.
    pub(super) fn finish(&mut self) {
        let running = |r: &Run| r.state == WorkerRunState::Running;
        let found = self.runs.iter().find(|(_, r)| running(r));
        if let Some(id) = found.map(|(id, _)| id.clone()) {
            self.end(&id, RunState::Finished);
        }
    }

    /// News for the agent.
    pub(super) fn news(&mut self) -> Vec<Input> {
        self.news.drain(..).map(Input::Worker).collect()
    }

    /// Everything here, for a restarted agent.
    pub(super) fn inventory(&mut self, shard: ShardId) -> Vec<WorkerRun> {
        self.news.clear();
        let runs = self.runs.iter().map(|(id, run)| WorkerRun {
            shard,
            run: id.clone(),
            resources: run.need,
            lease_end: run.until,
            checkpoint: None,
            state: run.state.clone(),
        });
        runs.collect()
    }

    /// Carries out a command; returns the number of a run that was started.
    pub(super) fn obey(&mut self, now: Time, command: Command) -> Option<RunNumber> {
        match command {
            Command::Start {
                spec: start,
                lease_end: until,
                ..
            } => {
                let id = start.run;
                if now >= until || self.runs.contains_key(&id) {
                    self.news.push(Event::Ended {
                        run: id,
                        state: STOPPED,
                    });
                    return None;
                }
                let run = Run {
                    need: start.resources,
                    until,
                    state: WorkerRunState::Running,
                };
                let number = id.run;
                self.news.push(Event::Started { run: id.clone() });
                self.runs.insert(id, run);
                return Some(number);
            }
            Command::Extend {
                run,
                lease_end: until,
            } => {
                let run = self.runs.get_mut(&run);
                if let Some(run) = run.filter(|r| r.state == WorkerRunState::Running) {
                    run.until = run.until.max(until);
                }
            }
            Command::Stop { run, .. } => self.end(&run, STOPPED),
            Command::Forget { run } => {
                self.runs.remove(&run);
            }
            Command::Save { .. } | Command::Throttle { .. } => {}
        }
        None
    }

    fn end(&mut self, id: &RunId, state: RunState) {
        let state = match self.runs.get_mut(id) {
            Some(run) => {
                if run.state == WorkerRunState::Running {
                    run.state = WorkerRunState::Ended(state);
                }
                match &run.state {
                    WorkerRunState::Ended(state) => state.clone(),
                    WorkerRunState::Running => return,
                }
            }
            None => RunState::Stopped { checkpoint: None },
        };
        let run = id.clone();
        self.news.push(Event::Ended { run, state });
    }
}
