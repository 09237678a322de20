//! Per-worker record and the state derived from it.

use derive_more::Display;

use super::{Announcement, Heartbeat, Load, Phase};
use crate::configs::MembershipConfig;
use crate::types::{Incarnation, Time};

/// State of a worker, as derived by one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum State {
    /// Known, but not yet ready or not yet announced.
    #[display("joining")]
    Joining,
    /// Accepts new work.
    #[display("ready")]
    Ready,
    /// Completes its current work and accepts no new work.
    #[display("leaving")]
    Leaving,
    /// No recent message or no link; receives no new work until its next new message.
    #[display("suspected")]
    Suspected,
    /// Stopped, or sent no message for `gone_after`.
    #[display("gone")]
    Down,
}

/// Record of one worker, merged from the messages of its latest incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    incarnation: Incarnation,
    sequence: u64,
    phase: Phase,
    load: Load,
    load_sequence: u64,
    offer: Option<Announcement>,
    last_message_at: Time,
    link_lost: bool,
    pub(super) state: State,
}

impl Member {
    pub(super) fn new(incarnation: Incarnation, now: Time) -> Self {
        Self {
            incarnation,
            sequence: 0,
            phase: Phase::Joining,
            load: Load::default(),
            load_sequence: 0,
            offer: None,
            last_message_at: now,
            link_lost: false,
            state: State::Joining,
        }
    }

    /// Highest incarnation received.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Highest message number within that incarnation.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Latest phase within that incarnation.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Load reported by the newest heartbeat.
    pub fn load(&self) -> Load {
        self.load
    }

    /// Announcement of this incarnation, if one was received.
    pub fn offer(&self) -> Option<&Announcement> {
        self.offer.as_ref()
    }

    /// State as of the last step.
    pub fn state(&self) -> State {
        self.state
    }

    /// Arrival time of the newest message.
    pub fn last_message_at(&self) -> Time {
        self.last_message_at
    }

    /// Applies a heartbeat; returns whether it is newer than all earlier ones. The phase of a
    /// late heartbeat counts too.
    pub(super) fn apply_heartbeat(&mut self, now: Time, heartbeat: &Heartbeat) -> bool {
        if !self.advance_to(now, heartbeat.incarnation) {
            return false;
        }
        self.phase = self.phase.max(heartbeat.phase);
        self.record_message(now, heartbeat.sequence);
        let newer = heartbeat.sequence > self.load_sequence;
        if newer {
            self.load_sequence = heartbeat.sequence;
            self.load = heartbeat.load;
        }
        newer
    }

    /// Applies an announcement; returns whether it is newer than all earlier ones.
    pub(super) fn apply_announcement(&mut self, now: Time, offer: &Announcement) -> bool {
        if !self.advance_to(now, offer.incarnation) {
            return false;
        }
        self.record_message(now, offer.sequence);
        let known = self.offer.as_ref().map(|known| known.sequence);
        let newer = known.is_none_or(|sequence| offer.sequence > sequence);
        if newer {
            self.offer = Some(offer.clone());
        }
        newer
    }

    /// Marks the last link of `incarnation` as lost; ignored unless it is the current one.
    pub(super) fn mark_link_lost(&mut self, incarnation: Incarnation) {
        if incarnation == self.incarnation {
            self.link_lost = true;
        }
    }

    /// Derives the state at `now` from the phase, the link and the time of the last message.
    pub(super) fn state_at(&self, now: Time, config: &MembershipConfig) -> State {
        let silence = now.since(self.last_message_at);
        if self.phase == Phase::Stopped || silence >= config.gone_after {
            return State::Down;
        }
        if self.phase == Phase::Leaving {
            return State::Leaving;
        }
        if self.link_lost || silence >= config.suspect_after {
            return State::Suspected;
        }
        match (self.phase, &self.offer) {
            (Phase::Ready, Some(_)) => State::Ready,
            _ => State::Joining,
        }
    }

    /// Resets the record, except its state, for a higher incarnation; returns `false` for an
    /// earlier one.
    fn advance_to(&mut self, now: Time, incarnation: Incarnation) -> bool {
        if incarnation > self.incarnation {
            let state = self.state;
            *self = Self::new(incarnation, now);
            self.state = state;
        }
        incarnation == self.incarnation
    }

    /// Restarts the silence timeouts and clears a lost link if `sequence` is the highest so far.
    fn record_message(&mut self, now: Time, sequence: u64) {
        if sequence > self.sequence {
            self.sequence = sequence;
            self.last_message_at = now;
            self.link_lost = false;
        }
    }
}
