//! The actor that holds the settings received from the entries.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};
use parsleytally::settings::{Assembler, Input as SettingsInput, Output, Part, Settings, Source};
use parsleytally::types::{NodeName, Revision};
use parsleytally_link::{Frame, Link, SettingsNotice};
use parsleytally_platform::process::Clock;
use rand::Rng;

/// Capacity of the channel to the actor. A full channel drops parts, which are requested
/// again.
const CHANNEL_CAPACITY: usize = 256;
/// Longest delay before missed settings are requested from an entry. The delay is random,
/// so that many agents don't send their requests at once.
const MAX_REQUEST_DELAY: Duration = Duration::from_secs(1);
/// Longest wait of the actor for an input while no request is scheduled.
const IDLE_WAIT: Duration = Duration::from_secs(1);

enum Input {
    /// A link to an entry was opened.
    LinkOpened(Link),
    /// An entry sent a part of an update.
    Part(Link, Part),
    Close,
}

/// Handle of the actor's thread and channel.
#[derive(Debug)]
pub(crate) struct SettingsHandle {
    inputs: Sender<Input>,
    revision: Arc<AtomicU64>,
    thread: thread::JoinHandle<()>,
}

/// Sends inputs to the actor.
#[derive(Clone)]
pub(crate) struct SettingsSender(Sender<Input>);

impl SettingsSender {
    /// Reports that a link to an entry was opened.
    pub(crate) fn link_opened(&self, link: &Link) {
        self.send(Input::LinkOpened(link.clone()));
    }

    /// Sends a part of an update that arrived on `link`.
    pub(crate) fn part(&self, link: &Link, part: Part) {
        self.send(Input::Part(link.clone(), part));
    }

    fn send(&self, input: Input) {
        if let Err(TrySendError::Full(_)) = self.0.try_send(input) {
            log::debug!("dropped a settings input: the channel of the settings actor is full");
        }
    }
}

impl SettingsHandle {
    pub(crate) fn start() -> std::io::Result<Self> {
        let (inputs, receiver) = bounded(CHANNEL_CAPACITY);
        let revision = Arc::new(AtomicU64::new(0));
        let mut actor = SettingsActor {
            settings: Settings::new(),
            assemblers: BTreeMap::new(),
            scheduled_requests: BTreeMap::new(),
            clock: Clock::start(),
            revision: revision.clone(),
        };
        let thread = thread::Builder::new()
            .name("settings".to_owned())
            .spawn(move || actor.run(&receiver))?;
        Ok(Self {
            inputs,
            revision,
            thread,
        })
    }

    pub(crate) fn sender(&self) -> SettingsSender {
        SettingsSender(self.inputs.clone())
    }

    /// Revision of the settings in force.
    pub(crate) fn revision(&self) -> Revision {
        Revision(self.revision.load(Ordering::SeqCst))
    }

    /// Revision of the settings in force, updated by the actor.
    pub(crate) fn shared_revision(&self) -> Arc<AtomicU64> {
        self.revision.clone()
    }

    /// Stops the actor.
    pub(crate) fn close(self) {
        let _ = self.inputs.send(Input::Close);
        let _ = self.thread.join();
    }
}

struct SettingsActor {
    settings: Settings,
    /// Incomplete updates, by entry.
    assemblers: BTreeMap<NodeName, Assembler>,
    /// Scheduled requests for missed settings, by entry.
    scheduled_requests: BTreeMap<NodeName, (Instant, Link)>,
    clock: Clock,
    revision: Arc<AtomicU64>,
}

impl SettingsActor {
    fn run(&mut self, inputs: &Receiver<Input>) {
        loop {
            match inputs.recv_timeout(self.next_wait()) {
                Ok(Input::LinkOpened(link)) => self.handle_link(&link),
                Ok(Input::Part(link, part)) => self.handle_part(&link, part),
                Ok(Input::Close) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
            self.send_due_requests();
        }
    }

    fn next_wait(&self) -> Duration {
        let next = self.scheduled_requests.values().map(|(due, _)| *due).min();
        let now = Instant::now();
        next.map_or(IDLE_WAIT, |due| due.saturating_duration_since(now))
    }

    fn handle_link(&mut self, link: &Link) {
        self.assemblers.remove(&link.peer().node);
        self.request_settings(link);
    }

    fn request_settings(&self, link: &Link) {
        if let Err(error) = link.send(Frame::SettingsRequest(self.settings.update_request())) {
            log::debug!("could not request settings: {error}");
        }
    }

    fn send_due_requests(&mut self) {
        let now = Instant::now();
        let due = self
            .scheduled_requests
            .extract_if(.., |_, (due, _)| *due <= now);
        let due: Vec<Link> = due.map(|(_, (_, link))| link).collect();
        for link in due {
            self.request_settings(&link);
        }
    }

    fn handle_part(&mut self, link: &Link, part: Part) {
        let assembler = self.assemblers.entry(link.peer().node.clone()).or_default();
        let Some(update) = assembler.push(part) else {
            return;
        };
        let mut out = Vec::new();
        let input = SettingsInput::Update(update, Source::Peer);
        self.settings.step(self.clock.now(), input, &mut out);
        for output in out {
            self.handle_output(link, output);
        }
        let revision = self.settings.revision();
        self.revision.store(revision.0, Ordering::SeqCst);
        self.report_revision(link, revision);
    }

    fn handle_output(&mut self, link: &Link, output: Output) {
        match output {
            Output::Missed { .. } => {
                let delay = MAX_REQUEST_DELAY.mul_f64(rand::rng().random());
                let due = Instant::now() + delay;
                let request = (due, link.clone());
                self.scheduled_requests
                    .insert(link.peer().node.clone(), request);
            }
            Output::Invalid { key, reason } => {
                log::warn!("ignoring invalid setting {key}: {reason}");
            }
            Output::Applied { .. } | Output::StoreBehind { .. } => {}
        }
    }

    fn report_revision(&self, link: &Link, revision: Revision) {
        let notice = Frame::SettingsNotice(SettingsNotice { revision });
        if let Err(error) = link.send(notice) {
            log::debug!("could not report the settings revision: {error}");
        }
    }
}
