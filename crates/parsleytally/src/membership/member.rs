//! The record of one worker.

use derive_more::Display;

use super::{Announcement, Heartbeat, Load, Phase};
use crate::configs::MembershipConfig;
use crate::types::{Incarnation, Time};

/// State of a worker as one entry sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum State {
    /// Known, but not yet able to take work.
    #[display("joining")]
    Joining,
    /// Takes new work.
    #[display("ready")]
    Ready,
    /// Takes nothing new.
    #[display("leaving")]
    Leaving,
    /// Silent or without a link; takes nothing new until it is heard again.
    #[display("suspected")]
    Suspected,
    /// Left or silent for long.
    #[display("gone")]
    Down,
}

/// What is known of one worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    incarnation: Incarnation,
    sequence: u64,
    phase: Phase,
    load: Load,
    reported: u64,
    offer: Option<Announcement>,
    heard: Time,
    lost: bool,
    pub(super) state: State,
}

impl Member {
    pub(super) fn new(incarnation: Incarnation, now: Time) -> Self {
        Self {
            incarnation,
            sequence: 0,
            phase: Phase::Joining,
            load: Load::default(),
            reported: 0,
            offer: None,
            heard: now,
            lost: false,
            state: State::Joining,
        }
    }

    /// Highest life that was heard of.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Highest message number within that life.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Furthest phase within that life.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Load by the newest heartbeat.
    pub fn load(&self) -> Load {
        self.load
    }

    /// What this life offers, once its announcement has come.
    pub fn offer(&self) -> Option<&Announcement> {
        self.offer.as_ref()
    }

    /// State as of the last step.
    pub fn state(&self) -> State {
        self.state
    }

    /// When the newest message came.
    pub fn last_message_at(&self) -> Time {
        self.heard
    }

    /// Takes a heartbeat in; returns whether it was news.
    pub(super) fn hear(&mut self, now: Time, beat: &Heartbeat) -> bool {
        if !self.enter_life(now, beat.incarnation) {
            return false;
        }
        self.phase = self.phase.max(beat.phase);
        self.touch(now, beat.sequence);
        let newer = beat.sequence > self.reported;
        if newer {
            self.reported = beat.sequence;
            self.load = beat.load;
        }
        newer
    }

    /// Takes an announcement in; returns whether it was news.
    pub(super) fn announce(&mut self, now: Time, offer: &Announcement) -> bool {
        if !self.enter_life(now, offer.incarnation) {
            return false;
        }
        self.touch(now, offer.sequence);
        let known = self.offer.as_ref().map(|known| known.sequence);
        let newer = known.is_none_or(|sequence| offer.sequence > sequence);
        if newer {
            self.offer = Some(offer.clone());
        }
        newer
    }

    /// Notes that the last link of this life is down.
    pub(super) fn lose_link(&mut self, incarnation: Incarnation) {
        if incarnation == self.incarnation {
            self.lost = true;
        }
    }

    /// State that follows from what is known at `now`.
    pub(super) fn judge(&self, now: Time, config: &MembershipConfig) -> State {
        let silence = now.since(self.heard);
        if self.phase == Phase::Stopped || silence >= config.gone_after {
            return State::Down;
        }
        if self.phase == Phase::Leaving {
            return State::Leaving;
        }
        if self.lost || silence >= config.suspect_after {
            return State::Suspected;
        }
        match (self.phase, &self.offer) {
            (Phase::Ready, Some(_)) => State::Ready,
            _ => State::Joining,
        }
    }

    /// Moves on to a higher life; returns whether `incarnation` is the current one.
    fn enter_life(&mut self, now: Time, incarnation: Incarnation) -> bool {
        if incarnation > self.incarnation {
            let state = self.state;
            *self = Self::new(incarnation, now);
            self.state = state;
        }
        incarnation == self.incarnation
    }

    /// Extends the deadline if `sequence` is the highest so far.
    fn touch(&mut self, now: Time, sequence: u64) {
        if sequence > self.sequence {
            self.sequence = sequence;
            self.heard = now;
            self.lost = false;
        }
    }
}
