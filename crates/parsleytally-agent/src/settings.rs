//! The duty that holds the settings that the entries pass on.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};
use parsleytally::settings::{Assembler, Input as Update, Output, Part, Settings, Source};
use parsleytally::types::{NodeName, Revision};
use parsleytally_link::{Frame, Link, SettingsNotice};
use parsleytally_platform::process::Clock;
use rand::Rng;

/// Inputs that wait for the duty; a full ring drops parts, which are asked for again.
const INPUT_RING: usize = 256;
/// Longest wait before an entry is asked for what is lacking, so that many agents
/// do not ask at once.
const ASK_SPREAD: Duration = Duration::from_secs(1);
/// Longest sleep of the duty.
const IDLE_WAIT: Duration = Duration::from_secs(1);

enum Input {
    /// A link to an entry is open.
    Up(Link),
    /// An entry has sent a part of an update.
    Part(Link, Part),
    Close,
}

/// The duty and its ring.
#[derive(Debug)]
pub(crate) struct SettingsDuty {
    inputs: Sender<Input>,
    in_force: Arc<AtomicU64>,
    thread: thread::JoinHandle<()>,
}

/// Passes inputs to the duty.
#[derive(Clone)]
pub(crate) struct SettingsRing(Sender<Input>);

impl SettingsRing {
    /// Notes that a link to an entry is open.
    pub(crate) fn up(&self, link: &Link) {
        self.send(Input::Up(link.clone()));
    }

    /// Passes a part of an update on.
    pub(crate) fn part(&self, link: &Link, part: Part) {
        self.send(Input::Part(link.clone(), part));
    }

    fn send(&self, input: Input) {
        if let Err(TrySendError::Full(_)) = self.0.try_send(input) {
            log::debug!("settings are dropped: ring is full");
        }
    }
}

impl SettingsDuty {
    pub(crate) fn start() -> std::io::Result<Self> {
        let (inputs, receiver) = bounded(INPUT_RING);
        let in_force = Arc::new(AtomicU64::new(0));
        let mut duty = Duty {
            settings: Settings::new(),
            senders: BTreeMap::new(),
            asks: BTreeMap::new(),
            clock: Clock::start(),
            in_force: in_force.clone(),
        };
        let thread = thread::Builder::new()
            .name("settings".to_owned())
            .spawn(move || duty.run(&receiver))?;
        Ok(Self {
            inputs,
            in_force,
            thread,
        })
    }

    pub(crate) fn ring(&self) -> SettingsRing {
        SettingsRing(self.inputs.clone())
    }

    /// Revision in force here.
    pub(crate) fn revision(&self) -> Revision {
        Revision(self.in_force.load(Ordering::SeqCst))
    }

    /// Revision in force here, as it changes.
    pub(crate) fn in_force(&self) -> Arc<AtomicU64> {
        self.in_force.clone()
    }

    /// Ends the duty.
    pub(crate) fn close(self) {
        let _ = self.inputs.send(Input::Close);
        let _ = self.thread.join();
    }
}

struct Duty {
    settings: Settings,
    /// Parts that have come, by entry.
    senders: BTreeMap<NodeName, Assembler>,
    /// Entries to be asked, and when.
    asks: BTreeMap<NodeName, (Instant, Link)>,
    clock: Clock,
    in_force: Arc<AtomicU64>,
}

impl Duty {
    fn run(&mut self, inputs: &Receiver<Input>) {
        loop {
            match inputs.recv_timeout(self.wait()) {
                Ok(Input::Up(link)) => self.up(&link),
                Ok(Input::Part(link, part)) => self.take(&link, part),
                Ok(Input::Close) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
            self.ask_due();
        }
    }

    fn wait(&self) -> Duration {
        let next = self.asks.values().map(|(due, _)| *due).min();
        let now = Instant::now();
        next.map_or(IDLE_WAIT, |due| due.saturating_duration_since(now))
    }

    fn up(&mut self, link: &Link) {
        self.senders.remove(&link.peer().node);
        self.ask(link);
    }

    fn ask(&self, link: &Link) {
        if let Err(error) = link.send(Frame::SettingsAsk(self.settings.update_request())) {
            log::debug!("settings were not asked for: {error}");
        }
    }

    fn ask_due(&mut self) {
        let now = Instant::now();
        let due = self.asks.extract_if(.., |_, (due, _)| *due <= now);
        let due: Vec<Link> = due.map(|(_, (_, link))| link).collect();
        for link in due {
            self.ask(&link);
        }
    }

    fn take(&mut self, link: &Link, part: Part) {
        let sender = self.senders.entry(link.peer().node.clone()).or_default();
        let Some(update) = sender.push(part) else {
            return;
        };
        let mut out = Vec::new();
        let input = Update::Update(update, Source::Peer);
        self.settings.step(self.clock.now(), input, &mut out);
        for output in out {
            self.follow(link, output);
        }
        let revision = self.settings.revision();
        self.in_force.store(revision.0, Ordering::SeqCst);
        self.confirm(link, revision);
    }

    fn follow(&mut self, link: &Link, output: Output) {
        match output {
            Output::Missed { .. } => {
                let spread = ASK_SPREAD.mul_f64(rand::rng().random());
                let due = Instant::now() + spread;
                let ask = (due, link.clone());
                self.asks.insert(link.peer().node.clone(), ask);
            }
            Output::Invalid { key, reason } => log::warn!("{key} is kept out of force: {reason}"),
            Output::Applied { .. } | Output::StoreBehind { .. } => {}
        }
    }

    fn confirm(&self, link: &Link, revision: Revision) {
        let notice = Frame::InForce(SettingsNotice { revision });
        if let Err(error) = link.send(notice) {
            log::debug!("revision in force was not told: {error}");
        }
    }
}
