//! The library's slices as one policy.

use std::collections::{BTreeMap, BTreeSet};

use parsleytally::configs::{
    DeploymentConfig, EstimatesConfig, HealthConfig, InterferenceConfig, PlacementConfig,
};
use parsleytally::estimates::{Estimates, Usage};
use parsleytally::health::{self, Health};
use parsleytally::interference::{self, Interference, Occupant};
use parsleytally::placement::{self, LatencyImpact, Placement, Report, Request};
use parsleytally::reaction::{self, Reaction, Sample};
use parsleytally::types::{NodeName, Resources, TaskKey, Time};

use crate::policy::{Action, Declared, News, Policy};

/// Seconds between two looks at the sizes of waiting tasks.
const RESIZE_SECONDS: u64 = 60;
/// Effect of every pair when interference is not learned.
const UNIFORM_EFFECT: f64 = 0.03;

/// Takes every pair to be alike.
struct Uniform;

impl LatencyImpact for Uniform {
    fn log_growth_per_core(&self, _service: &str, _task: &str, _strain: f64) -> f64 {
        UNIFORM_EFFECT
    }
}

/// All slices, joined as the binaries join them.
pub(crate) struct Ours {
    learn: bool,
    deployment: DeploymentConfig,
    placement: Placement,
    estimates: Estimates,
    interference: Interference,
    health: Health,
    reactions: BTreeMap<NodeName, Reaction>,
    occupants: BTreeMap<NodeName, Vec<Occupant>>,
    tasks: BTreeMap<TaskKey, Declared>,
    waiting: BTreeSet<TaskKey>,
    delayed: BTreeSet<(Time, TaskKey)>,
    most: Resources,
    resized: Time,
    /// Memory that a task taken out was seen to use, in bytes.
    floors: BTreeMap<TaskKey, u64>,
    /// Workers on which a task failed.
    failed: BTreeMap<TaskKey, Vec<NodeName>>,
}

impl Ours {
    pub(crate) fn new(learn: bool, deployment: DeploymentConfig, seed: u64) -> Self {
        Self {
            learn,
            deployment,
            placement: Placement::new(PlacementConfig::default(), seed),
            estimates: Estimates::new(EstimatesConfig::default()),
            interference: Interference::new(InterferenceConfig::default()),
            health: Health::new(HealthConfig::default()),
            reactions: BTreeMap::new(),
            occupants: BTreeMap::new(),
            tasks: BTreeMap::new(),
            waiting: BTreeSet::new(),
            delayed: BTreeSet::new(),
            most: Resources::NONE,
            resized: Time::ZERO,
            floors: BTreeMap::new(),
            failed: BTreeMap::new(),
        }
    }

    fn place(&mut self, now: Time, input: placement::Input, out: &mut Vec<Action>) {
        let impact: &dyn LatencyImpact = if self.learn {
            &self.interference
        } else {
            &Uniform
        };
        let mut decisions = Vec::new();
        self.placement.step(now, input, impact, &mut decisions);
        for decision in decisions {
            if let placement::Output::Start { task, worker, need } = decision {
                self.waiting.remove(&task);
                out.push(Action::Start { task, worker, need });
            }
        }
    }

    fn request(&self, declared: &Declared) -> Request {
        let estimates = &self.estimates;
        let mut need = estimates.size(&declared.class, &declared.need, &self.most);
        if let Some(floor) = self.floors.get(&declared.task) {
            need.memory.0 = need.memory.0.max(*floor).min(self.most.memory.0);
        }
        Request {
            task: declared.task.clone(),
            class: declared.class.clone(),
            need,
            run_time: estimates.run_time(&declared.class, declared.time),
            urgent: declared.urgent,
            group: None,
            avoid: self.failed.get(&declared.task).cloned().unwrap_or_default(),
        }
    }

    fn submit(&mut self, now: Time, task: &TaskKey, out: &mut Vec<Action>) {
        let Some(declared) = self.tasks.get(task) else {
            return;
        };
        let request = self.request(declared);
        self.waiting.insert(task.clone());
        self.place(now, placement::Input::Submit(request), out);
    }

    /// A run has ended and the task waits again.
    fn again(&mut self, now: Time, task: &TaskKey, out: &mut Vec<Action>) {
        self.place(now, placement::Input::Ended(task.clone()), out);
        self.submit(now, task, out);
    }

    fn judge(&mut self, now: Time, input: health::Input, out: &mut Vec<Action>) {
        let mut verdicts = Vec::new();
        self.health.step(now, input, &mut verdicts);
        for verdict in verdicts {
            match verdict {
                health::Output::Quarantine(worker) => {
                    let quarantined = true;
                    self.place(
                        now,
                        placement::Input::Quarantine {
                            worker,
                            quarantined,
                        },
                        out,
                    );
                }
                health::Output::Reinstate(worker) => {
                    let quarantined = false;
                    self.place(
                        now,
                        placement::Input::Quarantine {
                            worker,
                            quarantined,
                        },
                        out,
                    );
                }
                health::Output::BackOff {
                    task,
                    until,
                    workers,
                } => {
                    self.failed.insert(task.clone(), workers);
                    self.delayed.insert((until, task));
                }
                health::Output::Park { .. } => {}
                health::Output::Release(task) => self.submit(now, &task, out),
            }
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.judge(now, health::Input::Tick, out);
        while self.delayed.first().is_some_and(|(until, _)| *until <= now) {
            if let Some((_, task)) = self.delayed.pop_first() {
                self.submit(now, &task, out);
            }
        }
        if now.since(self.resized).as_secs() >= RESIZE_SECONDS {
            self.resized = now;
            for task in self.waiting.clone() {
                self.submit(now, &task, out);
            }
        }
        self.place(now, placement::Input::Tick, out);
    }

    fn seen(&mut self, now: Time, worker: &NodeName, sample: &Sample, out: &mut Vec<Action>) {
        self.occupy(now, worker, sample);
        let config = &self.deployment;
        let reaction = self.reactions.entry(worker.clone());
        let reaction = reaction.or_insert_with(|| Reaction::new(config.clone()));
        let impact: &dyn LatencyImpact = if self.learn {
            &self.interference
        } else {
            &Uniform
        };
        let mut changes = Vec::new();
        reaction.step(now, sample, impact, &mut changes);
        for run in &sample.runs {
            let floor = run.memory.0 + run.memory.0 / 4;
            if changes.iter().any(|change| takes_out(change, &run.task)) {
                self.floors.insert(run.task.clone(), floor);
            }
        }
        out.extend(changes.into_iter().map(|change| match change {
            reaction::Output::Throttle { task, level } => Action::Throttle { task, level },
            reaction::Output::Resize { task, need } => Action::Resize { task, need },
            reaction::Output::Move(task) => Action::TakeOut {
                task,
                checkpoint: true,
            },
            reaction::Output::Evict(task) => Action::TakeOut {
                task,
                checkpoint: false,
            },
        }));
    }

    fn occupy(&mut self, now: Time, worker: &NodeName, sample: &Sample) {
        let mut classes = BTreeMap::new();
        for run in &sample.runs {
            *classes.entry(run.class.clone()).or_insert(0.0) += run.cores;
        }
        let occupants = classes.into_iter();
        let occupants = occupants.map(|(class, cores)| Occupant { class, cores });
        let occupants = occupants.collect::<Vec<_>>();
        if self.occupants.get(worker) == Some(&occupants) {
            return;
        }
        self.occupants.insert(worker.clone(), occupants.clone());
        let input = interference::Input::OccupantsChanged {
            worker: worker.clone(),
            at: now,
            occupants,
        };
        self.interference.step(now, input);
    }

    /// Replaces late strain by what is expected beside the present tasks.
    fn foresee(&self, report: &mut Report) {
        let none = Vec::new();
        let occupants = self.occupants.get(&report.worker).unwrap_or(&none);
        for service in &mut report.services {
            let worker = &report.worker;
            let class = &service.class;
            let expected =
                self.interference
                    .expected_slowdown(worker, class, service.load, occupants);
            service.slowdown = expected.or(service.slowdown);
        }
    }

    fn finished(
        &mut self,
        now: Time,
        task: TaskKey,
        worker: NodeName,
        usage: Usage,
        out: &mut Vec<Action>,
    ) {
        self.estimates.step(now, usage);
        self.tasks.remove(&task);
        self.floors.remove(&task);
        self.failed.remove(&task);
        self.place(now, placement::Input::Ended(task.clone()), out);
        self.judge(now, health::Input::RunSucceeded { task, worker }, out);
    }

    fn report(&mut self, now: Time, mut report: Report, out: &mut Vec<Action>) {
        if self.learn {
            self.foresee(&mut report);
        }
        let larger = |a: u64, b: u64| a.max(b);
        self.most.cpu.0 = larger(self.most.cpu.0, report.total.cpu.0);
        self.most.memory.0 = larger(self.most.memory.0, report.total.memory.0);
        self.most.accelerators = self.most.accelerators.max(report.total.accelerators);
        let joined = health::Input::WorkerJoined(report.worker.clone());
        self.judge(now, joined, out);
        self.place(now, placement::Input::Report(report), out);
    }
}

fn takes_out(change: &reaction::Output, task: &TaskKey) -> bool {
    match change {
        reaction::Output::Move(gone) | reaction::Output::Evict(gone) => gone == task,
        _ => false,
    }
}

impl Policy for Ours {
    fn step(&mut self, now: Time, news: News, out: &mut Vec<Action>) {
        match news {
            News::Report(report) => self.report(now, report, out),
            News::Gone(worker) => {
                self.reactions.remove(&worker);
                self.occupants.remove(&worker);
                let gone = interference::Input::WorkerLost(worker.clone());
                self.interference.step(now, gone);
                self.judge(now, health::Input::WorkerLost(worker.clone()), out);
                self.place(now, placement::Input::WorkerLost(worker), out);
            }
            News::Submit(declared) => {
                let task = declared.task.clone();
                self.tasks.insert(task.clone(), declared);
                self.submit(now, &task, out);
            }
            News::Adopt {
                declared,
                worker,
                granted,
            } => {
                let mut request = self.request(&declared);
                request.need = granted;
                self.tasks.insert(declared.task.clone(), declared);
                self.place(now, placement::Input::Adopt { request, worker }, out);
            }
            News::Cancel(task) => {
                self.tasks.remove(&task);
                self.waiting.remove(&task);
                self.judge(now, health::Input::TaskCancelled(task.clone()), out);
                self.place(now, placement::Input::Cancel(task), out);
            }
            News::Resized { task, need } => {
                self.place(now, placement::Input::Resized { task, need }, out);
            }
            News::Started(task) => self.place(now, placement::Input::Started(task), out),
            News::Refused { task, worker, free } => {
                self.waiting.insert(task.clone());
                let free = Some(free);
                self.place(now, placement::Input::Refused { task, worker, free }, out);
            }
            News::Finished {
                task,
                worker,
                usage,
            } => self.finished(now, task, worker, usage, out),
            News::Failed { task, worker } => {
                self.place(now, placement::Input::Ended(task.clone()), out);
                self.judge(now, health::Input::RunFailed { task, worker }, out);
            }
            News::Killed { task, usage } => {
                self.estimates.step(now, usage);
                self.again(now, &task, out);
            }
            News::Removed(task) => self.again(now, &task, out),
            News::Measured(m) => {
                let input = interference::Input::LatencyMeasured {
                    worker: m.worker,
                    at: m.at,
                    service: m.service,
                    load: m.load,
                    slowdown: m.strain,
                };
                self.interference.step(now, input);
            }
            News::Seen { worker, sample } => self.seen(now, &worker, &sample, out),
            News::Tick => self.tick(now, out),
        }
    }

    fn effect(&self, service: &str, task: &str) -> Option<f64> {
        self.learn
            .then(|| self.interference.effect(service, task).mean)
    }
}
