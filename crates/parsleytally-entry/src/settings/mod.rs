//! The duty that holds the settings in force and passes them on.
//!
//! One task follows the platform's store ([`follow`]); the duty applies what it
//! reads, tells the scheduler and the agents, and answers agents that ask for
//! what they lack. A thread of its own runs both.

mod actor;
mod watcher;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;

use arc_swap::ArcSwap;
use parsleytally::settings::{Ask, Input as Update, Part, View};
use parsleytally::types::{NodeName, Revision, Time};
use parsleytally_link::Link;
use parsleytally_platform::process::Clock;
use parsleytally_platform::store::Store;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::directory::DirectoryHandle;
use crate::metrics::Metrics;
use crate::scheduler::SchedulerHandle;
use actor::SettingsActor;
use watcher::SettingsWatcher;

/// Inputs that wait for the duty; a full ring drops news from links, which
/// are asked for again.
const INPUT_CAPACITY: usize = 1_024;

/// What other duties see of the settings.
#[derive(Debug, Clone, Default)]
pub(crate) struct State {
    /// Revision in force here.
    pub(crate) revision: Revision,
    /// Settings in force here.
    pub(crate) view: View,
    /// Time of the store's last confirmation that they are complete.
    pub(crate) confirmed: Option<Time>,
    /// Keys whose text is kept out of force, with the reason.
    pub(crate) bad: Vec<(String, String)>,
    /// Revisions in force at the other entries that have told theirs.
    pub(crate) peers: BTreeMap<NodeName, Revision>,
}

/// Settings in force at this entry; clones share them.
#[derive(Debug, Clone)]
pub(crate) struct InForce {
    state: Arc<ArcSwap<State>>,
    clock: Clock,
}

impl InForce {
    pub(crate) fn state(&self) -> Arc<State> {
        self.state.load_full()
    }

    /// Whether the store has confirmed the settings of late.
    pub(crate) fn is_confirmed(&self) -> bool {
        let confirmed = self.state.load().confirmed;
        confirmed.is_some_and(|at| self.clock.now().since(at) < watcher::CONFIRM_EXPIRY)
    }
}

enum Input {
    /// Settings, or news of them, have come; the reply tells whether changes were missed.
    Update(Update, oneshot::Sender<bool>),
    /// An agent or another entry asks for what it lacks.
    Ask(Link, Ask),
    /// A link to another entry is open.
    PeerUp(Link),
    /// A link to another entry is gone.
    PeerDown(NodeName),
    /// Another entry has sent a part of an update.
    Part(Link, Part),
    /// Another entry has this revision in force, told on this link.
    PeerRevision(Link, Revision),
}

/// Passes inputs to the duty.
#[derive(Clone)]
pub(crate) struct SettingsHandle(mpsc::Sender<Input>);

impl SettingsHandle {
    /// Passes on what an agent or another entry lacks.
    pub(crate) fn ask(&self, link: Link, ask: Ask) {
        self.send(Input::Ask(link, ask));
    }

    /// Notes that a link to another entry is open.
    pub(crate) fn peer_up(&self, link: Link) {
        self.send(Input::PeerUp(link));
    }

    /// Notes that a link to another entry is gone.
    pub(crate) fn peer_down(&self, peer: NodeName) {
        self.send(Input::PeerDown(peer));
    }

    /// Passes on a part of another entry's update.
    pub(crate) fn part(&self, link: Link, part: Part) {
        self.send(Input::Part(link, part));
    }

    /// Passes on the revision in force at another entry.
    pub(crate) fn peer_revision(&self, link: Link, revision: Revision) {
        self.send(Input::PeerRevision(link, revision));
    }

    fn send(&self, input: Input) {
        if self.0.try_send(input).is_err() {
            log::debug!("news of settings is dropped: ring is full");
        }
    }
}

/// The duty and its ring.
#[derive(Debug)]
pub(crate) struct Settings {
    state: InForce,
    inputs: mpsc::Sender<Input>,
    stop: CancellationToken,
    thread: thread::JoinHandle<()>,
}

impl Settings {
    pub(crate) fn start(
        store: Arc<dyn Store>,
        directory: DirectoryHandle,
        scheduler: SchedulerHandle,
        metrics: Metrics,
    ) -> std::io::Result<Self> {
        let (inputs, receiver) = mpsc::channel(INPUT_CAPACITY);
        let clock = Clock::start();
        let state = InForce {
            state: Arc::default(),
            clock,
        };
        let actor = SettingsActor::new(state.clone(), directory, scheduler, metrics.clone());
        let watcher = SettingsWatcher::new(store, inputs.clone(), metrics);
        let stop = CancellationToken::new();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let stopped = stop.clone();
        let work = async move { tokio::join!(actor.run(receiver), watcher.run()) };
        let thread = thread::Builder::new()
            .name("settings".to_owned())
            .spawn(move || {
                runtime.block_on(stopped.run_until_cancelled(work));
            })?;
        Ok(Self {
            state,
            inputs,
            stop,
            thread,
        })
    }

    pub(crate) fn in_force(&self) -> InForce {
        self.state.clone()
    }

    pub(crate) fn handle(&self) -> SettingsHandle {
        SettingsHandle(self.inputs.clone())
    }

    /// Ends the duty.
    pub(crate) fn close(self) {
        self.stop.cancel();
        let _ = self.thread.join();
    }
}

#[cfg(test)]
mod tests;
