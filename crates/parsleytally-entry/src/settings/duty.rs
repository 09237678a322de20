//! Applies what the store reports and passes it on.

use std::sync::Arc;

use parsleytally::settings::{
    Ask, Input as Update, Output, Scope, SettingPath, Settings, Update as Changes,
};
use parsleytally::types::Revision;
use parsleytally_link::{Frame, Link};
use tokio::sync::mpsc;

use super::{InForce, Input, State};
use crate::directory::{DirectoryRing, Input as DirectoryInput};
use crate::metrics::Metrics;
use crate::scheduler::{Input as SchedulerInput, SchedulerRing};

pub(super) struct Duty {
    settings: Settings,
    state: InForce,
    directory: DirectoryRing,
    scheduler: SchedulerRing,
    metrics: Metrics,
}

impl Duty {
    pub(super) fn new(
        state: InForce,
        directory: DirectoryRing,
        scheduler: SchedulerRing,
        metrics: Metrics,
    ) -> Self {
        Self {
            settings: Settings::new(),
            state,
            directory,
            scheduler,
            metrics,
        }
    }

    pub(super) async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        while let Some(input) = inputs.recv().await {
            match input {
                Input::Update(update, reply) => {
                    let _ = reply.send(self.update(update));
                }
                Input::Ask(link, ask) => self.answer(&link, ask),
            }
        }
    }

    /// Applies news of the settings; whether changes were missed.
    fn update(&mut self, update: Update) -> bool {
        let before = self.settings.revision();
        let now = self.state.clock.now();
        let mut out = Vec::new();
        self.settings.step(now, update, &mut out);
        self.publish();
        let missed = out.iter().any(|o| matches!(o, Output::Missed { .. }));
        for output in out {
            self.follow(before, output);
        }
        missed
    }

    fn publish(&self) {
        let bad = self.settings.bad();
        let bad = bad.map(|(key, reason)| (key.to_owned(), reason.to_owned()));
        let state = State {
            revision: self.settings.revision(),
            view: self.settings.view().clone(),
            confirmed: self.settings.confirmed(),
            bad: bad.collect(),
        };
        let gauge = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        self.metrics.revision.set(gauge(state.revision.0));
        self.metrics.bad_texts.set(gauge(state.bad.len() as u64));
        self.state.state.store(Arc::new(state));
    }

    fn follow(&self, before: Revision, output: Output) {
        match output {
            Output::Applied { revision, paths } => {
                for path in &paths {
                    self.tell_scheduler(path);
                }
                self.tell_agents(before, revision);
            }
            Output::Bad { key, reason } => {
                self.metrics.bad_settings.inc();
                log::warn!("{key} is kept out of force: {reason}");
            }
            Output::StoreBehind { store, held } => {
                self.metrics.store_behind.inc();
                log::debug!("store is at revision {store}, below {held} in force here");
            }
            Output::Missed { held } => {
                log::debug!("changes above revision {held} were missed");
            }
        }
    }

    fn tell_scheduler(&self, path: &SettingPath) {
        let SettingPath::Batch(task) = path else {
            return;
        };
        let config = self.settings.view().tasks.get(task).cloned();
        self.scheduler.send(match config {
            Some(config) => SchedulerInput::Declared(task.clone(), config),
            None => SchedulerInput::Deleted(task.clone()),
        });
    }

    /// Passes the changes to the agents, or makes them ask where too much has changed.
    fn tell_agents(&self, before: Revision, revision: Revision) {
        let changes = self.settings.changes(before, Scope::Agents);
        let changes = changes.unwrap_or(Changes::Delta {
            from: revision,
            revision,
            changes: Vec::new(),
        });
        let parts = changes.into_parts();
        self.directory.send(DirectoryInput::Settings(parts));
    }

    fn answer(&self, link: &Link, ask: Ask) {
        if self.settings.revision() == Revision(0) {
            // The agents are told as soon as this entry has settings itself.
            return;
        }
        let update = self.settings.since(ask, Scope::Agents);
        for part in update.into_parts() {
            if let Err(error) = link.send(Frame::Settings(part)) {
                log::debug!("settings were not sent: {error}");
                return;
            }
        }
    }
}
