//! Decides how an entry carries out a client's request: by its own call to the store, through
//! another entry, or not at all.
//!
//! A request is refused only if none of its calls can have taken effect; otherwise its
//! outcome is unknown. A request ends as soon as no further call can succeed, so that the
//! client can retry elsewhere instead of waiting for its timeout.

use std::time::Duration;

/// Least time left for which the first call is sent. The store answers in 4 ms, so a call
/// with less is likely to end as unknown.
const MIN_FIRST_TIME: Duration = Duration::from_millis(10);
/// Same for further calls, before which the entry pauses for 60 ms.
const MIN_REPEAT_TIME: Duration = Duration::from_millis(100);
/// Calls to the store for one request.
const MAX_STORE_CALLS: u32 = 4;
/// Calls to the store with an unknown outcome for one request. Each can take the whole
/// timeout of a call, and a store that has lost two answers is not going to give the third.
const MAX_UNKNOWN_CALLS: u32 = 2;
/// Other entries that are asked for one request; bounds the messages while the store answers
/// no entry.
const MAX_RELAYS: u32 = 16;

/// What a request can use for its next call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallContext {
    /// Time until the client must have its answer.
    pub left: Duration,
    /// Whether the store answers this entry, by the last call of any component.
    pub store_answers: bool,
    /// Whether there is another entry that was not asked yet and may reach the store.
    pub relay_available: bool,
}

/// Outcome of a call that did not complete its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// The call has had no effect and will have none.
    NoEffect,
    /// The call may have had an effect, or may have one later.
    Unknown,
}

/// How a request goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextCall {
    /// Call the store.
    Store,
    /// Ask another entry to call the store.
    Relay,
    /// End: the request has had no effect and will have none.
    Refuse,
    /// End: the request may have had an effect.
    Unknown,
}

/// Outcomes of the calls for one request so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallPlan {
    /// Whether the request begins with a read of the store.
    reads_first: bool,
    /// Whether a call may have had an effect.
    uncertain: bool,
    store_calls: u32,
    unknown_calls: u32,
    relays: u32,
}

impl CallPlan {
    /// Plan of a request that begins with a read. A read never has an effect, so it is tried
    /// also while the store does not answer, once no other entry can be asked.
    pub fn reading_first() -> Self {
        Self {
            reads_first: true,
            ..Self::default()
        }
    }

    /// Records a call to the store that did not complete the request.
    pub fn store_failed(&mut self, failure: CallFailure) {
        self.store_calls += 1;
        if failure == CallFailure::Unknown {
            self.uncertain = true;
            self.unknown_calls += 1;
        }
    }

    /// Records a request to another entry that did not complete the request.
    pub fn relay_failed(&mut self, failure: CallFailure) {
        self.relays += 1;
        self.uncertain |= failure == CallFailure::Unknown;
    }

    /// Whether the store was called before.
    pub fn has_called_store(&self) -> bool {
        self.store_calls > 0
    }

    /// Chooses the next call, or how the request ends.
    pub fn next(&self, context: &CallContext) -> NextCall {
        let is_first = self.store_calls + self.relays == 0;
        let least = if is_first {
            MIN_FIRST_TIME
        } else {
            MIN_REPEAT_TIME
        };
        if context.left < least {
            return self.end();
        }
        if context.store_answers && self.store_calls == 0 {
            return NextCall::Store;
        }
        if context.relay_available && self.relays < MAX_RELAYS {
            return NextCall::Relay;
        }
        if self.reads_first && self.store_calls == 0 {
            return NextCall::Store;
        }
        // Repeating a call whose outcome is unknown settles it. A call that certainly had no
        // effect is repeated only if another call has been answered since.
        let has_reason = context.store_answers || self.unknown_calls > 0;
        let may_repeat =
            self.store_calls < MAX_STORE_CALLS && self.unknown_calls < MAX_UNKNOWN_CALLS;
        if has_reason && may_repeat {
            return NextCall::Store;
        }
        self.end()
    }

    fn end(&self) -> NextCall {
        if self.uncertain {
            NextCall::Unknown
        } else {
            NextCall::Refuse
        }
    }
}
