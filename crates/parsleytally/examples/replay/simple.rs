//! Baselines: declared sizes in order of arrival, without reaction.

use std::collections::{BTreeMap, VecDeque};

use parsleytally::types::{NodeName, Resources, TaskKey, Time};

use crate::policy::{Action, Declared, News, Policy};

/// Starts after which a task that only fails is given up.
const MAX_FAILURES: u32 = 10;

/// Which of the workers with room is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Choice {
    /// The first by name.
    First,
    /// The one with the lowest share of granted processors.
    LeastLoaded,
}

#[derive(Debug)]
struct Worker {
    total: Resources,
    granted: Resources,
}

/// A simple scheduler.
#[derive(Debug)]
pub(crate) struct Simple {
    choice: Choice,
    queue: VecDeque<TaskKey>,
    tasks: BTreeMap<TaskKey, (Declared, u32)>,
    workers: BTreeMap<NodeName, Worker>,
}

impl Simple {
    pub(crate) fn new(choice: Choice) -> Self {
        Self {
            choice,
            queue: VecDeque::new(),
            tasks: BTreeMap::new(),
            workers: BTreeMap::new(),
        }
    }

    fn again(&mut self, task: TaskKey, failed: bool) {
        if let Some((_, failures)) = self.tasks.get_mut(&task) {
            *failures += u32::from(failed);
            if *failures < MAX_FAILURES {
                self.queue.push_back(task);
            }
        }
    }

    fn place(&mut self, out: &mut Vec<Action>) {
        for task in std::mem::take(&mut self.queue) {
            let Some((declared, _)) = self.tasks.get(&task) else {
                continue;
            };
            let need = declared.need;
            let Some(worker) = self.choose(&need) else {
                self.queue.push_back(task);
                continue;
            };
            if let Some(w) = self.workers.get_mut(&worker) {
                w.granted = w.granted.checked_add(&need).unwrap_or(w.granted);
            }
            out.push(Action::Start { task, worker, need });
        }
    }

    fn choose(&self, need: &Resources) -> Option<NodeName> {
        let has_room = |worker: &Worker| {
            let free = worker.total.checked_sub(&worker.granted);
            free.is_some_and(|free| need.fits(&free))
        };
        let share = |worker: &Worker| worker.granted.cpu.0 * 1_000 / worker.total.cpu.0.max(1);
        let mut fitting = self.workers.iter().filter(|(_, worker)| has_room(worker));
        let chosen = match self.choice {
            Choice::First => fitting.next(),
            Choice::LeastLoaded => fitting.min_by_key(|(_, worker)| share(worker)),
        };
        chosen.map(|(name, _)| name.clone())
    }
}

impl Policy for Simple {
    fn step(&mut self, _now: Time, news: News, out: &mut Vec<Action>) {
        match news {
            News::Report(report) => {
                let worker = Worker {
                    total: report.total,
                    granted: report.granted,
                };
                self.workers.insert(report.worker, worker);
            }
            News::Gone(worker) => {
                self.workers.remove(&worker);
            }
            News::Submit(declared) => {
                self.queue.push_back(declared.task.clone());
                self.tasks.insert(declared.task.clone(), (declared, 0));
            }
            News::Adopt { declared, .. } => {
                self.tasks.insert(declared.task.clone(), (declared, 0));
            }
            News::Cancel(task) => {
                self.tasks.remove(&task);
                self.queue.retain(|t| *t != task);
            }
            News::Finished { task, .. } => {
                self.tasks.remove(&task);
            }
            News::Refused { task, .. } | News::Removed(task) => self.again(task, false),
            News::Failed { task, .. } | News::Killed { task, .. } => self.again(task, true),
            News::Tick => self.place(out),
            News::Started(_) | News::Resized { .. } | News::Measured(_) | News::Seen { .. } => {}
        }
    }
}
