//! Applies what the store reports and passes it on.

use std::collections::BTreeMap;
use std::sync::Arc;

use parsleytally::settings::{
    Ask, Assembler, Input as Update, Output, Part, Scope, SettingPath, Settings, Source,
    Update as Changes,
};
use parsleytally::types::{NodeName, Revision};
use parsleytally_link::{Frame, Link, Role, SettingsNotice};
use tokio::sync::mpsc;

use super::{InForce, Input, State};
use crate::directory::{DirectoryRing, Input as DirectoryInput};
use crate::metrics::Metrics;
use crate::scheduler::{Input as SchedulerInput, SchedulerRing};

pub(super) struct Duty {
    settings: Settings,
    state: InForce,
    /// Links to other entries, with the parts that have come.
    links: BTreeMap<NodeName, (Link, Assembler)>,
    /// Links from entries that dialled this one and were not dialled by it.
    heard: BTreeMap<NodeName, Link>,
    /// Revisions in force at other entries.
    peers: BTreeMap<NodeName, Revision>,
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
            links: BTreeMap::new(),
            heard: BTreeMap::new(),
            peers: BTreeMap::new(),
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
                Input::PeerUp(link) => self.peer_up(link),
                Input::PeerDown(peer) => {
                    self.links.remove(&peer);
                    self.peers.remove(&peer);
                    self.publish();
                }
                Input::Part(link, part) => self.part(&link, part),
                Input::PeerAt(link, revision) => self.peer_at(link, revision),
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
            peers: self.peers.clone(),
        };
        let gauge = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        self.metrics.revision.set(gauge(state.revision.0));
        self.metrics.bad_texts.set(gauge(state.bad.len() as u64));
        self.state.state.store(Arc::new(state));
    }

    fn follow(&mut self, before: Revision, output: Output) {
        match output {
            Output::Applied { revision, paths } => {
                for path in &paths {
                    self.tell_scheduler(path);
                }
                if self.settings.confirmed().is_some() {
                    self.scheduler.send(SchedulerInput::Complete);
                }
                self.tell_agents(before, revision);
                self.tell_entries();
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
        let view = self.settings.view();
        if let SettingPath::Quota(team) = path {
            let quota = view.quotas.get(team).cloned().unwrap_or_default();
            self.scheduler
                .send(SchedulerInput::Quota(team.clone(), quota));
        }
        let SettingPath::Batch(task) = path else {
            return;
        };
        let config = view.tasks.get(task).cloned();
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
        let scope = match link.peer().role {
            Role::Entry => Scope::All,
            Role::Agent => Scope::Agents,
        };
        let update = self.settings.since(ask, scope);
        for part in update.into_parts() {
            if let Err(error) = link.send(Frame::Settings(part)) {
                log::debug!("settings were not sent: {error}");
                return;
            }
        }
    }

    fn peer_up(&mut self, link: Link) {
        self.ask(&link);
        tell_revision(&link, self.settings.revision());
        let peer = link.peer().node.clone();
        self.links.insert(peer, (link, Assembler::default()));
    }

    fn ask(&self, link: &Link) {
        if let Err(error) = link.send(Frame::SettingsRequest(self.settings.ask())) {
            log::debug!("settings were not asked for: {error}");
        }
    }

    /// Takes a part of another entry's update.
    fn part(&mut self, link: &Link, part: Part) {
        let Some((_, assembler)) = self.links.get_mut(&link.peer().node) else {
            return;
        };
        let Some(update) = assembler.take(part) else {
            return;
        };
        if self.update(Update::Update(update, Source::Peer)) {
            self.ask(link);
        }
    }

    /// Notes another entry's revision, asks it for what is lacking here, and tells it
    /// of a higher one.
    ///
    /// The store's own watch brings the changes as well; whichever is first counts.
    fn peer_at(&mut self, link: Link, revision: Revision) {
        let peer = link.peer().node.clone();
        let held = self.settings.revision();
        if revision > held
            && let Some((link, _)) = self.links.get(&peer)
        {
            self.ask(link);
        }
        if revision < held {
            tell_revision(&link, held);
        }
        if !self.links.contains_key(&peer) {
            self.heard.insert(peer.clone(), link);
        }
        let known = self.peers.entry(peer).or_default();
        *known = revision.max(*known);
        self.publish();
    }

    /// Tells the revision to the entries that were dialled and to those that dialled.
    fn tell_entries(&mut self) {
        self.heard.retain(|_, link| !link.is_closed());
        let dialled = self.links.values().map(|(link, _)| link);
        for link in dialled.chain(self.heard.values()) {
            tell_revision(link, self.settings.revision());
        }
    }
}

fn tell_revision(link: &Link, revision: Revision) {
    let notice = Frame::SettingsNotice(SettingsNotice { revision });
    if let Err(error) = link.send(notice) {
        log::debug!("revision in force was not told: {error}");
    }
}
