//! Bounded priority queue of requests, one lane per class.

use std::collections::VecDeque;

use super::{Class, Ticket};
use crate::types::Time;

/// A request in the queue, which has no slot yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueuedRequest {
    pub(super) ticket: Ticket,
    pub(super) class: Class,
    pub(super) deadline: Time,
}

impl QueuedRequest {
    pub(super) fn new(ticket: Ticket, class: Class, deadline: Time) -> Self {
        Self {
            ticket,
            class,
            deadline,
        }
    }
}

/// Pops latency-critical requests before bulk ones, each lane first in, first out.
#[derive(Debug)]
pub(super) struct Queue {
    capacity: usize,
    critical: VecDeque<QueuedRequest>,
    bulk: VecDeque<QueuedRequest>,
}

impl Queue {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
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
        self.iter().any(|request| request.ticket == ticket)
    }

    /// Number of requests that would start before a new one of `class`.
    pub(super) fn count_ahead(&self, class: Class) -> usize {
        match class {
            Class::Critical => self.critical.len(),
            Class::Bulk => self.len(),
        }
    }

    /// Appends `request` and returns the bulk request that it displaced, if any.
    ///
    /// Returns `request` as the error if the queue is full and none can be displaced.
    pub(super) fn push(
        &mut self,
        request: QueuedRequest,
    ) -> Result<Option<QueuedRequest>, QueuedRequest> {
        let mut displaced = None;
        if self.len() >= self.capacity {
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

    pub(super) fn pop(&mut self) -> Option<QueuedRequest> {
        self.critical.pop_front().or_else(|| self.bulk.pop_front())
    }

    /// Removes a request; returns whether it was queued.
    pub(super) fn remove(&mut self, ticket: Ticket) -> bool {
        let before = self.len();
        self.critical.retain(|request| request.ticket != ticket);
        self.bulk.retain(|request| request.ticket != ticket);
        self.len() < before
    }

    pub(super) fn remove_expired(&mut self, now: Time) -> Vec<Ticket> {
        let is_expired = |request: &&QueuedRequest| request.deadline <= now;
        let expired: Vec<_> = self
            .iter()
            .filter(is_expired)
            .map(|request| request.ticket)
            .collect();
        if !expired.is_empty() {
            self.critical.retain(|request| request.deadline > now);
            self.bulk.retain(|request| request.deadline > now);
        }
        expired
    }

    pub(super) fn next_deadline(&self) -> Option<Time> {
        self.iter().map(|request| request.deadline).min()
    }

    fn lane(&mut self, class: Class) -> &mut VecDeque<QueuedRequest> {
        match class {
            Class::Critical => &mut self.critical,
            Class::Bulk => &mut self.bulk,
        }
    }

    fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.critical.iter().chain(&self.bulk)
    }
}
