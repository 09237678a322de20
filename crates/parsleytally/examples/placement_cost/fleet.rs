//! A fleet of workers and teams that drives one placement.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parsleytally::configs::PlacementConfig;
use parsleytally::placement::{
    Input, NoLatencyImpact, Output, Placement, Report, Request, ServiceLoad,
};
use parsleytally::types::{
    NodeName, RackName, Resources, TaskKey, TaskName, TeamName, Time, ZoneName,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const GIB: u64 = 1 << 30;
const TEAMS: usize = 700;
const CLASSES: usize = 20;
const SEED: u64 = 1;

/// What runs on one worker.
struct Worker {
    report: Report,
}

/// A placement and what its decisions led to.
pub(crate) struct Fleet {
    placement: Placement,
    now: Time,
    rng: SmallRng,
    names: Vec<NodeName>,
    workers: HashMap<NodeName, Worker>,
    order: VecDeque<TaskKey>,
    placed: HashMap<TaskKey, (NodeName, Resources)>,
    teams: Vec<TeamName>,
    classes: Vec<Arc<str>>,
    count: u64,
    vain: Option<TaskKey>,
}

fn name<T>(parse: fn(&str) -> Result<T, parsleytally::types::InvalidName>, text: &str) -> T {
    parse(text).expect("a generated name is valid")
}

impl Fleet {
    pub(crate) fn new(workers: usize) -> Self {
        let mut fleet = Self {
            placement: Placement::new(PlacementConfig::default(), SEED),
            now: Time::from_secs(1),
            rng: SmallRng::seed_from_u64(SEED),
            names: Vec::new(),
            workers: HashMap::new(),
            order: VecDeque::new(),
            placed: HashMap::new(),
            teams: (0..TEAMS)
                .map(|t| name(TeamName::new, &format!("t{t}")))
                .collect(),
            classes: (0..CLASSES).map(|c| format!("c{c}").into()).collect(),
            count: 0,
            vain: None,
        };
        for at in 0..workers {
            fleet.add(at);
        }
        fleet
    }

    fn add(&mut self, at: usize) {
        let worker = name(NodeName::new, &format!("w{at}"));
        let report = Report {
            worker: worker.clone(),
            zone: name(ZoneName::new, &format!("z{}", at % 30)),
            rack: name(RackName::new, &format!("r{}", at / 3)),
            total: Resources::new(16_000, 60 * GIB, 0),
            granted: Resources::NONE,
            tasks: Vec::new(),
            services: vec![
                ServiceLoad {
                    class: "web".into(),
                    load: 0.5,
                    slowdown: Some(0.5),
                };
                2
            ],
            ready: true,
        };
        self.step(Input::Report(report.clone()));
        self.names.push(worker.clone());
        self.workers.insert(worker, Worker { report });
    }

    pub(crate) fn step(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.placement
            .step(self.now, input, &NoLatencyImpact, &mut out);
        out
    }

    pub(crate) fn pass(&mut self, span: Duration) {
        self.now = self.now.after(span);
    }

    pub(crate) fn running(&self) -> usize {
        self.placed.len()
    }

    /// A task of a random team and class, of up to one processor.
    pub(crate) fn request(&mut self) -> Request {
        self.count += 1;
        let team = self.teams[self.rng.random_range(0..TEAMS)].clone();
        let task = name(TaskName::new, &format!("task-{}", self.count));
        let cpu = self.rng.random_range(200..800);
        let memory = self.rng.random_range(GIB / 2..2 * GIB);
        Request {
            task: TaskKey { team, task },
            class: self.classes[self.rng.random_range(0..CLASSES)].clone(),
            need: Resources::new(cpu, memory, 0),
            run_time: Duration::from_secs(self.rng.random_range(10..3_600)),
            urgent: self.rng.random_bool(0.02),
            group: None,
            avoid: Vec::new(),
        }
    }

    /// Fills the fleet with `each` tasks a worker.
    pub(crate) fn fill(&mut self, each: usize) {
        let wanted = each * self.names.len();
        while self.placed.len() < wanted {
            let request = self.request();
            self.step(Input::Submit(request));
            let out = self.step(Input::Tick);
            if self.took(out) == 0 {
                break;
            }
            if self.placed.len().is_multiple_of(1_000) {
                self.report_all();
            }
        }
        self.report_all();
    }

    fn report_all(&mut self) {
        self.pass(Duration::from_secs(1));
        for report in self.due_reports(0, 1) {
            self.step(Input::Report(report));
        }
    }

    /// Queues tasks that no worker has room for.
    pub(crate) fn wait_in_vain(&mut self, count: usize) {
        for _ in 0..count {
            let mut request = self.request();
            request.need.cpu.0 = self.rng.random_range(14_000..16_000);
            request.urgent = false;
            self.vain = Some(request.task.clone());
            self.step(Input::Submit(request));
        }
    }

    /// Reports of the workers whose turn it is.
    pub(crate) fn due_reports(&self, turn: usize, turns: usize) -> Vec<Report> {
        let due = self.names.iter().skip(turn % turns).step_by(turns);
        due.map(|name| self.workers[name].report.clone()).collect()
    }

    /// Notes the starts; returns how many there were.
    pub(crate) fn took(&mut self, out: Vec<Output>) -> usize {
        let mut starts = 0;
        for output in out {
            let Output::Start { task, worker, need } = output else {
                continue;
            };
            starts += 1;
            if let Some(known) = self.workers.get_mut(&worker) {
                let granted = known.report.granted.checked_add(&need);
                known.report.granted = granted.expect("grants stay small");
                known.report.tasks.push(task.clone());
            }
            self.order.push_back(task.clone());
            self.placed.insert(task, (worker, need));
        }
        starts
    }

    /// Takes the task that has run longest off its worker.
    pub(crate) fn oldest(&mut self) -> Option<TaskKey> {
        let task = self.order.pop_front()?;
        let (worker, need) = self.placed.remove(&task)?;
        if let Some(known) = self.workers.get_mut(&worker) {
            known.report.tasks.retain(|t| *t != task);
            let left = known.report.granted.checked_sub(&need);
            known.report.granted = left.expect("a granted need is covered");
        }
        Some(task)
    }

    /// Time to explain a waiting task, if one waits.
    pub(crate) fn explain(&self) -> Duration {
        let Some(task) = &self.vain else {
            return Duration::ZERO;
        };
        let began = Instant::now();
        let explanation = self.placement.explain(self.now, task, &NoLatencyImpact);
        assert!(explanation.is_some(), "{task} waits");
        began.elapsed()
    }
}
