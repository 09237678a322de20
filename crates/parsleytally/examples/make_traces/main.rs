//! Makes the traces under `traces/` from fixed seeds.
//!
//! `cargo run --release --example make_traces -- DIRECTORY`

#[allow(dead_code)]
#[path = "../replay/trace.rs"]
mod trace;

use std::io::Write;
use std::process::ExitCode;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use trace::{Event, Header, PairSpec, Record, ServiceSpec, TaskSpec, Truth, WorkerSpec};

const GIB: u64 = 1 << 30;
const HOUR: f64 = 3_600.0;
const WORKERS: usize = 11;
/// Seconds between two records of load.
const LOAD_SECONDS: f64 = 300.0;

/// A kind of batch work.
struct Class {
    name: &'static str,
    team: &'static str,
    /// True processors.
    cores: (f64, f64),
    /// True memory, in GiB.
    memory: (f64, f64),
    /// True run time, in minutes.
    minutes: (f64, f64),
    /// Declared over true size.
    declared: (f64, f64),
    checkpoint: bool,
    /// Effects on the main and the second service.
    effects: [f64; 2],
}

/// One deployment.
struct Deployment {
    name: &'static str,
    services: [&'static str; 2],
    target: f64,
    classes: &'static [Class],
}

const ORGONAHANG: Deployment = Deployment {
    name: "orgonahang",
    services: ["listings", "seats"],
    target: 80.0,
    classes: &[
        Class {
            name: "render-programme",
            team: "agencies",
            cores: (0.5, 2.0),
            memory: (0.5, 3.0),
            minutes: (3.0, 20.0),
            declared: (1.2, 2.6),
            checkpoint: false,
            effects: [0.01, 0.01],
        },
        Class {
            name: "index-recitals",
            team: "platform",
            cores: (1.0, 4.0),
            memory: (4.0, 14.0),
            minutes: (10.0, 50.0),
            declared: (0.8, 2.2),
            checkpoint: true,
            effects: [0.25, 0.04],
        },
        Class {
            name: "resample-audio",
            team: "archive",
            cores: (1.0, 3.0),
            memory: (3.0, 12.0),
            minutes: (15.0, 90.0),
            declared: (1.0, 3.0),
            checkpoint: true,
            effects: [0.03, 0.30],
        },
        Class {
            name: "report-sales",
            team: "agencies",
            cores: (0.5, 1.5),
            memory: (2.0, 8.0),
            minutes: (5.0, 25.0),
            declared: (0.9, 2.4),
            checkpoint: false,
            effects: [0.05, 0.02],
        },
    ],
};

const SONORO: Deployment = Deployment {
    name: "sonoro",
    services: ["booking", "plans"],
    target: 120.0,
    classes: &[
        Class {
            name: "reconcile-returns",
            team: "warehouse",
            cores: (1.0, 3.0),
            memory: (3.0, 12.0),
            minutes: (10.0, 60.0),
            declared: (1.0, 2.6),
            checkpoint: true,
            effects: [0.04, 0.02],
        },
        Class {
            name: "model-coverage",
            team: "engineers",
            cores: (2.0, 6.0),
            memory: (6.0, 20.0),
            minutes: (15.0, 80.0),
            declared: (0.9, 2.0),
            checkpoint: true,
            effects: [0.25, 0.05],
        },
        Class {
            name: "import-ledger",
            team: "accounts",
            cores: (0.5, 2.0),
            memory: (1.0, 6.0),
            minutes: (5.0, 30.0),
            declared: (1.2, 3.0),
            checkpoint: false,
            effects: [0.02, 0.30],
        },
        Class {
            name: "invoice-run",
            team: "accounts",
            cores: (0.5, 1.5),
            memory: (0.5, 2.0),
            minutes: (2.0, 15.0),
            declared: (1.1, 2.4),
            checkpoint: false,
            effects: [0.01, 0.01],
        },
    ],
};

/// A trace in the making.
struct Maker {
    rng: SmallRng,
    deployment: &'static Deployment,
    name: &'static str,
    seconds: f64,
    records: Vec<Record>,
    tasks: usize,
}

impl Maker {
    fn new(name: &'static str, deployment: &'static Deployment, hours: f64, seed: u64) -> Self {
        let mut maker = Self {
            rng: SmallRng::seed_from_u64(seed),
            deployment,
            name,
            seconds: hours * HOUR,
            records: Vec::new(),
            tasks: 0,
        };
        maker.fleet();
        maker
    }

    fn add(&mut self, at: f64, event: Event) {
        let at = (at * 10.0).round() / 10.0;
        self.records.push(Record { at, event });
    }

    fn within(&mut self, (least, most): (f64, f64)) -> f64 {
        self.rng.random_range(least..=most)
    }

    fn fleet(&mut self) {
        let deployment = self.deployment;
        self.add(
            0.0,
            Event::Trace(Header {
                name: self.name.to_owned(),
                deployment: deployment.name.to_owned(),
                seconds: self.seconds,
                lag: (15.0, 45.0),
                noise: 0.12,
            }),
        );
        for (at, class) in deployment.services.iter().enumerate() {
            self.add(
                0.0,
                Event::Service(ServiceSpec {
                    class: (*class).to_owned(),
                    target: deployment.target,
                    cpu: 3_000,
                    memory: (6 - 2 * at as u64) * GIB,
                    base: 0.35,
                    slope: 0.8,
                }),
            );
            for task in deployment.classes {
                self.add(
                    0.0,
                    Event::Pair(PairSpec {
                        service: (*class).to_owned(),
                        task: task.name.to_owned(),
                        effect: task.effects[at],
                    }),
                );
            }
        }
        for at in 0..WORKERS {
            let second = at % 3 == 0;
            let services = if second {
                &deployment.services[..]
            } else {
                &deployment.services[..1]
            };
            let services = services.iter().map(|s| (*s).to_owned()).collect();
            let share = self.within((0.85, 1.15));
            self.add(
                0.0,
                Event::Worker(WorkerSpec {
                    name: worker(at),
                    zone: format!("z{}", at / 3 % 3),
                    rack: format!("r{}", at / 3),
                    cpu: 16_000,
                    memory: 60 * GIB,
                    accelerators: 0,
                    services,
                    share: (share * 100.0).round() / 100.0,
                }),
            );
        }
    }

    /// Load over the day, with `extra` between the given seconds.
    fn load(&mut self, least: f64, most: f64, extra: Option<(f64, f64, f64)>) {
        let mut at = 0.0;
        while at < self.seconds {
            let day = (at / (24.0 * HOUR) * std::f64::consts::TAU).cos();
            let mut load = least + (most - least) * (0.5 - 0.5 * day);
            if let Some((from, until, more)) = extra
                && (from..until).contains(&at)
            {
                load += more;
            }
            load += self.within((-0.04, 0.04));
            for service in self.deployment.services {
                let load = (load.clamp(0.02, 0.95) * 1e3).round() / 1e3;
                let service = service.to_owned();
                self.add(at, Event::Load { service, load });
            }
            at += LOAD_SECONDS;
        }
    }

    fn task(&mut self, at: f64, class: &Class) -> String {
        self.tasks += 1;
        let name = format!("{}-{}", class.name, self.tasks);
        let cores = self.within(class.cores);
        let memory = self.within(class.memory);
        let minutes = self.within(class.minutes);
        let cpu_factor = self.within(class.declared);
        let memory_factor = self.within(class.declared);
        let time_factor = self.within((0.3, 4.0));
        let urgent = self.rng.random_bool(0.04);
        let spec = TaskSpec {
            team: class.team.to_owned(),
            name: name.clone(),
            class: class.name.to_owned(),
            cpu: ((cores * cpu_factor * 10.0).ceil() * 100.0).min(10_000.0) as u64,
            memory: ((memory * memory_factor * 4.0).ceil() as u64) * GIB / 4,
            accelerators: 0,
            time: (minutes * 60.0 * time_factor).round(),
            truth: Truth {
                cpu: (cores * 1e3) as u64,
                memory: (memory * 64.0) as u64 * GIB / 64,
                time: (minutes * 60.0).round(),
                fails: false,
            },
            urgent,
            checkpoint: class.checkpoint,
        };
        self.add(at, Event::Task(spec));
        name
    }

    /// `count` tasks of all classes, at random times between the given seconds.
    fn tasks(&mut self, count: usize, from: f64, until: f64) {
        for _ in 0..count {
            let at = self.within((from, until));
            let classes = self.deployment.classes;
            let class = &classes[self.rng.random_range(0..classes.len())];
            self.task(at, class);
        }
    }

    fn change_tasks(&mut self, mut change: impl FnMut(&mut SmallRng, &mut TaskSpec)) {
        for record in &mut self.records {
            if let Event::Task(spec) = &mut record.event {
                change(&mut self.rng, spec);
            }
        }
    }

    fn down(&mut self, at: f64, worker_at: usize, minutes: f64) {
        let worker = worker(worker_at);
        self.add(
            at,
            Event::Down {
                worker: worker.clone(),
            },
        );
        self.add(at + minutes * 60.0, Event::Up { worker });
    }

    fn write(mut self, directory: &str) -> std::io::Result<()> {
        self.records.sort_by(|a, b| a.at.total_cmp(&b.at));
        let path = format!("{directory}/{}.jsonl", self.name);
        let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
        for record in &self.records {
            serde_json::to_writer(&mut file, record)?;
            file.write_all(b"\n")?;
        }
        file.flush()
    }
}

fn worker(at: usize) -> String {
    format!("w{at:02}")
}

fn usual_orgonahang() -> Maker {
    let mut maker = Maker::new("usual-orgonahang", &ORGONAHANG, 24.0, 1);
    maker.load(0.2, 0.75, None);
    maker.tasks(1_500, 0.0, 22.0 * HOUR);
    maker
}

fn usual_sonoro() -> Maker {
    let mut maker = Maker::new("usual-sonoro", &SONORO, 24.0, 2);
    maker.load(0.1, 0.65, None);
    maker.tasks(500, 6.0 * HOUR, 20.0 * HOUR);
    maker.tasks(700, 0.0, 2.0 * HOUR);
    maker
}

fn noisy_wave() -> Maker {
    let mut maker = Maker::new("noisy-wave", &ORGONAHANG, 4.0, 3);
    maker.load(0.6, 0.6, None);
    maker.tasks(220, 0.0, 3.5 * HOUR);
    for _ in 0..160 {
        let at = maker.within((1.0 * HOUR, 1.3 * HOUR));
        let noisy = 1 + usize::from(maker.rng.random_bool(0.5));
        maker.task(at, &ORGONAHANG.classes[noisy]);
    }
    maker
}

fn shifting_load() -> Maker {
    let mut maker = Maker::new("shifting-load", &ORGONAHANG, 4.0, 4);
    maker.load(0.3, 0.3, Some((1.0 * HOUR, 2.5 * HOUR, 0.5)));
    maker.tasks(420, 0.0, 3.5 * HOUR);
    maker
}

fn sizes_off() -> Maker {
    let mut maker = Maker::new("sizes-off", &SONORO, 4.0, 5);
    maker.load(0.4, 0.4, None);
    maker.tasks(600, 0.0, 3.0 * HOUR);
    maker.change_tasks(|rng, spec| {
        // A third declares a third of its memory, the rest three times its size.
        if rng.random_bool(0.33) {
            spec.memory = (spec.truth.memory / 3).max(GIB / 4);
        } else {
            spec.cpu = (spec.truth.cpu * 3).min(10_000);
            spec.memory = (spec.truth.memory * 3).min(40 * GIB);
        }
    });
    maker
}

fn impossible() -> Maker {
    let mut maker = Maker::new("impossible", &SONORO, 4.0, 6);
    maker.load(0.4, 0.4, None);
    maker.tasks(420, 0.0, 3.5 * HOUR);
    maker.change_tasks(|rng, spec| match rng.random_range(0..10) {
        0 => {
            spec.cpu = 64_000;
            spec.truth.cpu = 64_000;
        }
        1 => spec.truth.fails = true,
        2 => {
            spec.accelerators = 2;
        }
        _ => {}
    });
    maker
}

fn cancel_wave() -> Maker {
    let mut maker = Maker::new("cancel-wave", &SONORO, 4.0, 7);
    maker.load(0.4, 0.4, None);
    maker.tasks(600, 0.0, 3.5 * HOUR);
    let tasks = maker.records.iter().filter_map(|r| match &r.event {
        Event::Task(spec) if r.at < 2.0 * HOUR => Some((spec.team.clone(), spec.name.clone())),
        _ => None,
    });
    for (team, task) in tasks.collect::<Vec<_>>() {
        if maker.rng.random_bool(0.5) {
            let at = maker.within((2.0 * HOUR, 2.05 * HOUR));
            maker.add(at, Event::Cancel { team, task });
        }
    }
    maker
}

fn sick_workers() -> Maker {
    let mut maker = Maker::new("sick-workers", &ORGONAHANG, 4.0, 8);
    maker.load(0.5, 0.5, None);
    maker.tasks(420, 0.0, 3.5 * HOUR);
    for (at, from, until) in [(2, 0.5, 2.0), (7, 1.0, 3.0)] {
        let worker = worker(at);
        let sick = true;
        maker.add(
            from * HOUR,
            Event::Sick {
                worker: worker.clone(),
                sick,
            },
        );
        maker.add(
            until * HOUR,
            Event::Sick {
                worker,
                sick: false,
            },
        );
    }
    maker
}

fn losses() -> Maker {
    let mut maker = Maker::new("losses", &SONORO, 4.0, 9);
    maker.load(0.45, 0.45, None);
    maker.tasks(420, 0.0, 3.5 * HOUR);
    maker.down(0.7 * HOUR, 4, 20.0);
    for at in 6..9 {
        maker.down(1.5 * HOUR, at, 40.0);
    }
    maker.add(2.6 * HOUR, Event::Entry);
    maker.down(3.0 * HOUR, 0, 10.0);
    maker
}

fn store_outage() -> Maker {
    let mut maker = Maker::new("store-outage", &SONORO, 8.0, 10);
    maker.load(0.15, 0.15, None);
    maker.tasks(650, 0.0, 1.0 * HOUR);
    maker.add(1.5 * HOUR, Event::Store { up: false });
    maker.add(2.2 * HOUR, Event::Store { up: true });
    maker
}

fn two_at_once() -> Maker {
    let mut maker = Maker::new("two-at-once", &ORGONAHANG, 4.0, 11);
    maker.load(0.5, 0.5, Some((1.0 * HOUR, 2.0 * HOUR, 0.25)));
    maker.tasks(250, 0.0, 3.5 * HOUR);
    for _ in 0..120 {
        let at = maker.within((1.0 * HOUR, 1.3 * HOUR));
        maker.task(at, &ORGONAHANG.classes[1]);
    }
    for at in 3..6 {
        maker.down(1.2 * HOUR, at, 30.0);
    }
    maker.add(1.25 * HOUR, Event::Entry);
    maker.add(1.3 * HOUR, Event::Store { up: false });
    maker.add(1.8 * HOUR, Event::Store { up: true });
    let worker = worker(9);
    maker.add(
        0.9 * HOUR,
        Event::Sick {
            worker: worker.clone(),
            sick: true,
        },
    );
    maker.add(
        2.0 * HOUR,
        Event::Sick {
            worker,
            sick: false,
        },
    );
    maker
}

fn main() -> ExitCode {
    let Some(directory) = std::env::args().nth(1) else {
        eprintln!("usage: make_traces DIRECTORY");
        return ExitCode::from(2);
    };
    let makers = [
        usual_orgonahang,
        usual_sonoro,
        noisy_wave,
        shifting_load,
        sizes_off,
        impossible,
        cancel_wave,
        sick_workers,
        losses,
        store_outage,
        two_at_once,
    ];
    for make in makers {
        if let Err(error) = make().write(&directory) {
            eprintln!("directory {directory:?}: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
