//! Counters of calls and open watches by kind, since the platform counts them too.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

use super::StoreError;

/// Kinds of calls to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A range read.
    Range,
    /// A read of the newest revision under a prefix.
    Newest,
    /// A commit.
    Commit,
    /// A grant of a lease.
    Grant,
    /// A renewal of a lease.
    Renew,
    /// The opening of a watch.
    Watch,
}

impl CallKind {
    /// All kinds.
    pub const ALL: [Self; 6] = [
        Self::Range,
        Self::Newest,
        Self::Commit,
        Self::Grant,
        Self::Renew,
        Self::Watch,
    ];

    /// The kind's name in metrics and errors.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Range => "range",
            Self::Newest => "newest",
            Self::Commit => "commit",
            Self::Grant => "grant",
            Self::Renew => "renew",
            Self::Watch => "watch",
        }
    }
}

/// Counters of one process's calls to the store.
#[derive(Debug, Clone)]
pub struct CallMetrics {
    calls: IntCounterVec,
    errors: IntCounterVec,
    watches: IntGauge,
}

impl Default for CallMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl CallMetrics {
    /// Creates counters at zero.
    ///
    /// # Panics
    ///
    /// Never: the names are fixed and valid.
    pub fn new() -> Self {
        let calls = Opts::new(
            "parsleytally_store_calls_total",
            "Calls sent to the store, by kind",
        );
        let errors = Opts::new(
            "parsleytally_store_errors_total",
            "Calls to the store that failed, by kind and error",
        );
        let watches = Opts::new("parsleytally_store_watches", "Open watches on the store");
        Self {
            calls: IntCounterVec::new(calls, &["call"]).expect("valid metric"),
            errors: IntCounterVec::new(errors, &["call", "error"]).expect("valid metric"),
            watches: IntGauge::with_opts(watches).expect("valid metric"),
        }
    }

    /// Registers the counters for `/metrics`.
    ///
    /// # Errors
    ///
    /// Returns an error when metrics of the same names are registered already.
    pub fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        registry.register(Box::new(self.calls.clone()))?;
        registry.register(Box::new(self.errors.clone()))?;
        registry.register(Box::new(self.watches.clone()))
    }

    /// Calls of a kind that were sent.
    pub fn calls(&self, kind: CallKind) -> u64 {
        self.calls.with_label_values(&[kind.name()]).get()
    }

    /// Calls of all kinds that were sent.
    pub fn total(&self) -> u64 {
        CallKind::ALL.iter().map(|kind| self.calls(*kind)).sum()
    }

    /// Watches that are open now.
    pub fn watches(&self) -> i64 {
        self.watches.get()
    }

    pub(super) fn sent(&self, kind: CallKind) {
        self.calls.with_label_values(&[kind.name()]).inc();
    }

    pub(super) fn failed(&self, kind: CallKind, error: &StoreError) {
        let labels = [kind.name(), error.name()];
        self.errors.with_label_values(&labels).inc();
    }

    /// Counts an open watch until the guard is dropped.
    pub(super) fn open_watch(&self) -> OpenWatch {
        self.watches.inc();
        OpenWatch(self.watches.clone())
    }
}

/// One open watch in the count of [`CallMetrics::watches`].
#[derive(Debug)]
pub(super) struct OpenWatch(IntGauge);

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.0.dec();
    }
}
