//! The duty that runs batch tasks within what the worker has.

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};
use parsleytally::configs::BatchConfig;
use parsleytally::types::{Resources, RunId};
use parsleytally_link::{Frame, Link, TaskCommand, TaskReport};

use crate::metrics::Metrics;

/// Commands that wait for the duty; a full ring refuses them.
const COMMAND_RING: usize = 1_024;
/// Longest sleep of the duty.
const IDLE_WAIT: Duration = Duration::from_secs(1);

enum Input {
    Command(TaskCommand, Link),
    Close,
}

/// The duty and its ring.
#[derive(Debug)]
pub(crate) struct Runs {
    commands: Sender<Input>,
    thread: thread::JoinHandle<()>,
}

/// Passes commands to the duty.
#[derive(Clone)]
pub(crate) struct RunCommands(Sender<Input>);

impl RunCommands {
    /// Passes `command` on; its reports go to `link`.
    pub(crate) fn send(&self, command: TaskCommand, link: &Link) {
        let input = Input::Command(command, link.clone());
        if let Err(TrySendError::Full(Input::Command(command, link))) = self.0.try_send(input) {
            refuse(&command, &link);
        }
    }
}

fn refuse(command: &TaskCommand, link: &Link) {
    if let TaskCommand::Start { run, .. } = command {
        let reason = "ring of commands is full".to_owned();
        report(
            link,
            TaskReport::Refused {
                run: run.clone(),
                reason,
            },
        );
    }
}

impl Runs {
    pub(crate) fn start(capacity: Resources, metrics: Metrics) -> std::io::Result<Self> {
        let (commands, inputs) = bounded(COMMAND_RING);
        let mut duty = Duty {
            free: capacity,
            running: BTreeMap::new(),
            metrics,
        };
        let thread = thread::Builder::new()
            .name("runs".to_owned())
            .spawn(move || duty.run(&inputs))?;
        Ok(Self { commands, thread })
    }

    pub(crate) fn commands(&self) -> RunCommands {
        RunCommands(self.commands.clone())
    }

    /// Stops all runs and the duty.
    pub(crate) fn close(self) {
        let _ = self.commands.send(Input::Close);
        let _ = self.thread.join();
    }
}

struct Running {
    grant: Resources,
    end: Instant,
    link: Link,
}

struct Duty {
    free: Resources,
    running: BTreeMap<RunId, Running>,
    metrics: Metrics,
}

impl Duty {
    fn run(&mut self, inputs: &Receiver<Input>) {
        loop {
            match inputs.recv_timeout(self.wait()) {
                Ok(Input::Command(TaskCommand::Start { run, config }, link)) => {
                    self.begin(run, &config, link);
                }
                Ok(Input::Command(TaskCommand::Stop { run }, link)) => self.stop(run, &link),
                Ok(Input::Close) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
            self.finish_due();
        }
    }

    fn wait(&self) -> Duration {
        let next = self.running.values().map(|running| running.end).min();
        let now = Instant::now();
        next.map_or(IDLE_WAIT, |end| end.saturating_duration_since(now))
    }

    fn begin(&mut self, run: RunId, config: &BatchConfig, link: Link) {
        if self.running.contains_key(&run) {
            report(&link, TaskReport::Started { run });
            return;
        }
        let Some(rest) = self.free.checked_sub(&config.need) else {
            let reason = format!("{} needed, {} free", config.need, self.free);
            self.count("refused");
            report(&link, TaskReport::Refused { run, reason });
            return;
        };
        self.free = rest;
        self.count("started");
        report(&link, TaskReport::Started { run: run.clone() });
        let end = Instant::now() + config.run_time;
        self.running.insert(
            run,
            Running {
                grant: config.need,
                end,
                link,
            },
        );
    }

    fn stop(&mut self, run: RunId, link: &Link) {
        if let Some(running) = self.running.remove(&run) {
            self.release(&running);
            self.count("stopped");
        }
        report(link, TaskReport::Stopped { run });
    }

    fn finish_due(&mut self) {
        let now = Instant::now();
        let due: Vec<RunId> = self
            .running
            .iter()
            .filter(|(_, running)| running.end <= now)
            .map(|(run, _)| run.clone())
            .collect();
        for run in due {
            let Some(running) = self.running.remove(&run) else {
                continue;
            };
            self.release(&running);
            self.count("finished");
            report(&running.link, TaskReport::Finished { run });
        }
    }

    fn release(&mut self, running: &Running) {
        if let Some(free) = self.free.checked_add(&running.grant) {
            self.free = free;
        }
    }

    fn count(&self, event: &str) {
        self.metrics.runs.with_label_values(&[event]).inc();
    }
}

fn report(link: &Link, report: TaskReport) {
    if let Err(error) = link.send(Frame::Report(report)) {
        log::warn!("report of a run was not sent: {error}");
    }
}
