//! Applies updates of the settings and distributes them.

use std::collections::BTreeMap;
use std::sync::Arc;

use parsleytally::settings::{
    Assembler, Input as SettingsInput, Output, Part, Scope, SettingPath, Settings, Source, Update,
    UpdateRequest,
};
use parsleytally::types::{NodeName, Revision};
use parsleytally_link::{Frame, Link, Role, SettingsNotice};
use tokio::sync::mpsc;

use super::{InForce, Input, State};
use crate::directory::{DirectoryHandle, Input as DirectoryInput};
use crate::metrics::Metrics;
use crate::scheduler::{Input as SchedulerInput, SchedulerHandle};

/// Applies updates and notifies the scheduler, the agents and other entries.
pub(super) struct SettingsActor {
    settings: Settings,
    in_force: InForce,
    /// Links that this entry dialled to others, with the parts of an unfinished update.
    dialled: BTreeMap<NodeName, (Link, Assembler)>,
    /// Links from entries that dialled this one and that it has not dialled.
    accepted: BTreeMap<NodeName, Link>,
    /// Revisions in force at other entries.
    peer_revisions: BTreeMap<NodeName, Revision>,
    directory: DirectoryHandle,
    scheduler: SchedulerHandle,
    metrics: Metrics,
}

impl SettingsActor {
    pub(super) fn new(
        in_force: InForce,
        directory: DirectoryHandle,
        scheduler: SchedulerHandle,
        metrics: Metrics,
    ) -> Self {
        Self {
            settings: Settings::new(),
            in_force,
            dialled: BTreeMap::new(),
            accepted: BTreeMap::new(),
            peer_revisions: BTreeMap::new(),
            directory,
            scheduler,
            metrics,
        }
    }

    pub(super) async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        while let Some(input) = inputs.recv().await {
            match input {
                Input::Update(update, reply) => {
                    let _ = reply.send(self.apply(update));
                }
                Input::Request(link, ask) => self.answer_request(&link, ask),
                Input::PeerUp(link) => self.peer_up(link),
                Input::PeerDown(peer) => {
                    self.dialled.remove(&peer);
                    self.peer_revisions.remove(&peer);
                    self.publish();
                }
                Input::Part(link, part) => self.apply_part(&link, part),
                Input::PeerRevision(link, revision) => self.peer_revision(link, revision),
            }
        }
    }

    /// Applies an update; returns whether changes were missed.
    fn apply(&mut self, update: SettingsInput) -> bool {
        let before = self.settings.revision();
        let now = self.in_force.clock.now();
        let mut out = Vec::new();
        self.settings.step(now, update, &mut out);
        self.publish();
        let missed = out
            .iter()
            .any(|output| matches!(output, Output::Missed { .. }));
        for output in out {
            self.handle_output(before, output);
        }
        missed
    }

    /// Publishes the new state and its metrics.
    fn publish(&self) {
        let bad = self.settings.invalid_texts();
        let bad = bad.map(|(key, reason)| (key.to_owned(), reason.to_owned()));
        let state = State {
            revision: self.settings.revision(),
            view: self.settings.view().clone(),
            confirmed: self.settings.confirmed_at(),
            bad: bad.collect(),
            peers: self.peer_revisions.clone(),
        };
        let gauge = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        self.metrics.revision.set(gauge(state.revision.0));
        self.metrics
            .current_bad_settings
            .set(gauge(state.bad.len() as u64));
        self.in_force.state.store(Arc::new(state));
    }

    fn handle_output(&mut self, before: Revision, output: Output) {
        match output {
            Output::Applied { revision, paths } => {
                for path in &paths {
                    self.notify_scheduler(path);
                }
                if self.settings.confirmed_at().is_some() {
                    self.scheduler.send(SchedulerInput::AllDeclared);
                }
                self.send_to_agents(before, revision);
                self.announce_revision();
            }
            Output::Invalid { key, reason } => {
                self.metrics.bad_settings.inc();
                log::warn!("setting {key} is invalid and not applied: {reason}");
            }
            Output::StoreBehind { store, local: held } => {
                self.metrics.store_behind.inc();
                log::debug!("store is at revision {store}, below {held} in force here");
            }
            Output::Missed { local: held } => {
                log::debug!("changes above revision {held} were missed");
            }
        }
    }

    fn notify_scheduler(&self, path: &SettingPath) {
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

    /// Sends the changes to the agents, or only the new revision, so that they request
    /// the changes, if these are no longer held.
    fn send_to_agents(&self, before: Revision, revision: Revision) {
        let changes = self.settings.delta_since(before, Scope::Agents);
        let changes = changes.unwrap_or(Update::Delta {
            from: revision,
            revision,
            changes: Vec::new(),
        });
        let parts = changes.into_parts();
        self.directory.send(DirectoryInput::Settings(parts));
    }

    fn answer_request(&self, link: &Link, ask: UpdateRequest) {
        if self.settings.revision() == Revision(0) {
            // The agents are notified as soon as this entry itself has settings.
            return;
        }
        let scope = match link.peer().role {
            Role::Entry => Scope::All,
            Role::Agent => Scope::Agents,
        };
        let update = self.settings.update_for(ask, scope);
        for part in update.into_parts() {
            if let Err(error) = link.send(Frame::Settings(part)) {
                log::debug!("could not send settings: {error}");
                return;
            }
        }
    }

    fn peer_up(&mut self, link: Link) {
        self.request_update(&link);
        send_revision(&link, self.settings.revision());
        let peer = link.peer().node.clone();
        self.dialled.insert(peer, (link, Assembler::default()));
    }

    fn request_update(&self, link: &Link) {
        if let Err(error) = link.send(Frame::SettingsRequest(self.settings.update_request())) {
            log::debug!("could not request settings: {error}");
        }
    }

    /// Collects a part of another entry's update and applies the update once complete.
    fn apply_part(&mut self, link: &Link, part: Part) {
        let Some((_, assembler)) = self.dialled.get_mut(&link.peer().node) else {
            return;
        };
        let Some(update) = assembler.push(part) else {
            return;
        };
        if self.apply(SettingsInput::Update(update, Source::Peer)) {
            self.request_update(link);
        }
    }

    /// Records another entry's revision, requests an update from it if it is ahead, and
    /// sends it the own revision if it is behind.
    ///
    /// The watch of the store delivers the same changes; those that arrive first are
    /// applied.
    fn peer_revision(&mut self, link: Link, revision: Revision) {
        let peer = link.peer().node.clone();
        let held = self.settings.revision();
        if revision > held
            && let Some((link, _)) = self.dialled.get(&peer)
        {
            self.request_update(link);
        }
        if revision < held {
            send_revision(&link, held);
        }
        if !self.dialled.contains_key(&peer) {
            self.accepted.insert(peer.clone(), link);
        }
        let known = self.peer_revisions.entry(peer).or_default();
        *known = revision.max(*known);
        self.publish();
    }

    /// Sends the revision in force to all linked entries.
    fn announce_revision(&mut self) {
        self.accepted.retain(|_, link| !link.is_closed());
        let links = self.dialled.values().map(|(link, _)| link);
        for link in links.chain(self.accepted.values()) {
            send_revision(link, self.settings.revision());
        }
    }
}

fn send_revision(link: &Link, revision: Revision) {
    let notice = Frame::SettingsNotice(SettingsNotice { revision });
    if let Err(error) = link.send(notice) {
        log::debug!("could not send the revision in force: {error}");
    }
}
