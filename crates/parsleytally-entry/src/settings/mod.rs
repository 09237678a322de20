//! The actor that applies the settings and distributes them.
//!
//! One async task watches the platform's store ([`watcher`]). The actor applies what
//! the watcher reads, notifies the scheduler and the agents, and answers agents and
//! other entries that request missing settings. Both run on one thread of their own.

mod actor;
mod watcher;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;

use arc_swap::ArcSwap;
use parsleytally::settings::{Input as SettingsInput, Part, UpdateRequest, View};
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

/// Capacity of the actor's channel; while it is full, messages from links are dropped,
/// and the peers request them again.
const INPUT_CAPACITY: usize = 1_024;

/// The state of the settings that other components read.
#[derive(Debug, Clone, Default)]
pub(crate) struct State {
    /// Revision in force here.
    pub(crate) revision: Revision,
    /// Settings in force here.
    pub(crate) view: View,
    /// When the store last confirmed that the settings are complete.
    pub(crate) confirmed: Option<Time>,
    /// Keys whose text is invalid and not applied, with the reason.
    pub(crate) bad: Vec<(String, String)>,
    /// Revisions in force at the other entries, as they reported them.
    pub(crate) peers: BTreeMap<NodeName, Revision>,
}

/// Settings in force at this entry; clones share them.
#[derive(Debug, Clone)]
pub(crate) struct InForce {
    state: Arc<ArcSwap<State>>,
    clock: Clock,
}

impl InForce {
    /// The current state.
    pub(crate) fn state(&self) -> Arc<State> {
        self.state.load_full()
    }

    /// Whether the store has confirmed the settings within [`watcher::CONFIRM_EXPIRY`].
    pub(crate) fn is_confirmed(&self) -> bool {
        let confirmed = self.state.load().confirmed;
        confirmed.is_some_and(|at| self.clock.now().since(at) < watcher::CONFIRM_EXPIRY)
    }
}

/// An input of the actor.
enum Input {
    /// An update arrived; the reply is whether changes were missed.
    Update(SettingsInput, oneshot::Sender<bool>),
    /// An agent or another entry requested missing settings.
    Request(Link, UpdateRequest),
    /// A link to another entry was opened.
    PeerUp(Link),
    /// A link to another entry was closed.
    PeerDown(NodeName),
    /// Another entry sent a part of an update.
    Part(Link, Part),
    /// Another entry reported its revision in force on this link.
    PeerRevision(Link, Revision),
}

/// Sends inputs to the actor.
#[derive(Clone)]
pub(crate) struct SettingsHandle(mpsc::Sender<Input>);

impl SettingsHandle {
    /// Passes on a request for missing settings.
    pub(crate) fn request(&self, link: Link, ask: UpdateRequest) {
        self.send(Input::Request(link, ask));
    }

    /// Reports that a link to another entry was opened.
    pub(crate) fn peer_up(&self, link: Link) {
        self.send(Input::PeerUp(link));
    }

    /// Reports that a link to another entry was closed.
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
            log::debug!("settings message is dropped: channel is full or closed");
        }
    }
}

/// The running actor and watcher.
#[derive(Debug)]
pub(crate) struct Settings {
    state: InForce,
    inputs: mpsc::Sender<Input>,
    stop: CancellationToken,
    thread: thread::JoinHandle<()>,
}

impl Settings {
    /// Starts the actor and the watcher of the store.
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
        let both = async move { tokio::join!(actor.run(receiver), watcher.run()) };
        let thread = thread::Builder::new()
            .name("settings".to_owned())
            .spawn(move || {
                runtime.block_on(stopped.run_until_cancelled(both));
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

    /// Stops the actor and the watcher.
    pub(crate) fn close(self) {
        self.stop.cancel();
        let _ = self.thread.join();
    }
}

#[cfg(test)]
mod tests;
