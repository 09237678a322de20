//! Bounded queue of admitted requests, one lane per class.

use std::collections::VecDeque;

use super::{Class, Ticket};
use crate::types::Time;

/// A request that waits for a slot.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    pub(super) class: Class,
    pub(super) deadline: Time,
}

impl Waiting {
    pub(super) fn new(ticket: Ticket, class: Class, deadline: Time) -> Self {
        Self {
            ticket,
            class,
            deadline,
        }
    }
}

/// Latency-critical requests leave before bulk ones, each lane in order of arrival.
#[derive(Debug)]
pub(super) struct Queue {
    room: usize,
    critical: VecDeque<Waiting>,
    bulk: VecDeque<Waiting>,
}

impl Queue {
    pub(super) fn new(room: usize) -> Self {
        Self {
            room,
            critical: VecDeque::new(),
            bulk: VecDeque::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.critical.len() + self.bulk.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub(super) fn contains(&self, ticket: Ticket) -> bool {
        self.iter().any(|waiting| waiting.ticket == ticket)
    }

    /// Requests that would leave before a new one of `class`.
    pub(super) fn ahead_of(&self, class: Class) -> usize {
        match class {
            Class::Critical => self.critical.len(),
            Class::Bulk => self.len(),
        }
    }

    /// Appends `request`; gives back the one that it displaced, or itself as an error.
    pub(super) fn push(&mut self, request: Waiting) -> Result<Option<Waiting>, Waiting> {
        let mut displaced = None;
        if self.len() >= self.room {
            displaced = match request.class {
                Class::Critical => self.bulk.pop_back(),
                Class::Bulk => None,
            };
            if displaced.is_none() {
                return Err(request);
            }
        }
        self.lane(request.class).push_back(request);
        Ok(displaced)
    }

    pub(super) fn pop(&mut self) -> Option<Waiting> {
        self.critical.pop_front().or_else(|| self.bulk.pop_front())
    }

    /// Whether `ticket` waited and has been taken out.
    pub(super) fn remove(&mut self, ticket: Ticket) -> bool {
        let before = self.len();
        self.critical.retain(|waiting| waiting.ticket != ticket);
        self.bulk.retain(|waiting| waiting.ticket != ticket);
        self.len() < before
    }

    pub(super) fn take_expired(&mut self, now: Time) -> Vec<Ticket> {
        let is_expired = |waiting: &&Waiting| waiting.deadline <= now;
        let expired: Vec<_> = self.iter().filter(is_expired).map(|w| w.ticket).collect();
        if !expired.is_empty() {
            self.critical.retain(|waiting| waiting.deadline > now);
            self.bulk.retain(|waiting| waiting.deadline > now);
        }
        expired
    }

    pub(super) fn next_deadline(&self) -> Option<Time> {
        self.iter().map(|waiting| waiting.deadline).min()
    }

    fn lane(&mut self, class: Class) -> &mut VecDeque<Waiting> {
        match class {
            Class::Critical => &mut self.critical,
            Class::Bulk => &mut self.bulk,
        }
    }

    fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.critical.iter().chain(&self.bulk)
    }
}
