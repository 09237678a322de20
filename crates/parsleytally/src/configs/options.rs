//! Every option of the operators' settings, for documentation and help.

use humantime::format_duration;

use super::{BatchConfig, DeploymentConfig, QuotaConfig, ServiceConfig, StoreConfig};

/// One option of a settings text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigOption {
    /// Name of its section.
    pub section: &'static str,
    /// Name of its key.
    pub key: &'static str,
    /// Value where it is not given; none where it then does not apply.
    pub default: Option<String>,
    /// Unit or form of its value.
    pub unit: &'static str,
    /// What it does.
    pub meaning: &'static str,
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "keeps the long lists below free of references"
)]
fn option(
    section: &'static str,
    key: &'static str,
    default: impl ToString,
    unit: &'static str,
    meaning: &'static str,
) -> ConfigOption {
    ConfigOption {
        section,
        key,
        default: Some(default.to_string()),
        unit,
        meaning,
    }
}

fn without_default(
    section: &'static str,
    key: &'static str,
    unit: &'static str,
    meaning: &'static str,
) -> ConfigOption {
    ConfigOption {
        section,
        key,
        default: None,
        unit,
        meaning,
    }
}

/// Options of `TEAM/services/NAME`.
pub fn service_options() -> Vec<ConfigOption> {
    let base = ServiceConfig::default();
    let service = "service";
    vec![
        option(
            service,
            "target",
            format_duration(base.target),
            "time, up to 1h",
            "latency that answers keep at the 99th percentile",
        ),
        option(
            service,
            "timeout",
            format_duration(base.timeout),
            "time, up to 1h",
            "time after which a caller gets an error",
        ),
        option(
            service,
            "class",
            base.class,
            "name",
            "class of services that behave alike",
        ),
    ]
}

/// Options of `TEAM/batch/NAME`.
pub fn batch_options() -> Vec<ConfigOption> {
    let base = BatchConfig::default();
    let task = "task";
    vec![
        option(
            task,
            "cpu",
            base.need.cpu.0,
            "thousandths of a processor, at least 1",
            "processors that a run is granted",
        ),
        option(
            task,
            "memory",
            base.need.memory,
            "bytes, such as `2GiB`",
            "memory that a run is granted",
        ),
        option(
            task,
            "accelerators",
            base.need.accelerators,
            "whole accelerators",
            "accelerators that a run is granted",
        ),
        option(
            task,
            "run-time",
            format_duration(base.run_time),
            "time, up to 30 days",
            "declared run time",
        ),
        option(
            task,
            "class",
            base.class,
            "name",
            "class of tasks that behave alike",
        ),
        option(
            task,
            "urgent",
            base.urgent,
            "`true` or `false`",
            "goes before work that is not urgent",
        ),
        option(
            task,
            "command",
            base.command,
            "text, up to 4096 bytes",
            "what the worker runs, passed on unread",
        ),
    ]
}

/// Options of `TEAM/quota`.
pub fn quota_options() -> Vec<ConfigOption> {
    let base = QuotaConfig::default();
    let quota = "quota";
    vec![
        without_default(
            quota,
            "cpu",
            "thousandths of a processor",
            "processors that the team's runs may take together",
        ),
        without_default(
            quota,
            "memory",
            "bytes, such as `64GiB`",
            "memory that the team's runs may take together",
        ),
        without_default(
            quota,
            "accelerators",
            "whole accelerators",
            "accelerators that the team's runs may take together",
        ),
        option(
            quota,
            "weight",
            base.weight,
            "number, at least 1",
            "share against other teams when workers are short",
        ),
    ]
}

/// Options of `TEAM/token`.
pub fn token_options() -> Vec<ConfigOption> {
    vec![
        without_default(
            "token",
            "hash",
            "64 hexadecimal digits, required",
            "BLAKE3 hash of the team's bearer token",
        ),
        without_default(
            "token",
            "previous",
            "64 hexadecimal digits",
            "hash of a second token, accepted while tokens are changed",
        ),
    ]
}

/// Options of `_deployment`.
pub fn deployment_options() -> Vec<ConfigOption> {
    let base = DeploymentConfig::default();
    let old = base.reaction;
    let (weights, reaction) = ("weights", "reaction");
    vec![
        option(
            weights,
            "latency",
            base.latency,
            "number, 0 to 1000",
            "weight of a second in which a service misses its target",
        ),
        option(
            weights,
            "throughput",
            base.throughput,
            "number, 0 to 1000",
            "weight of a second of batch work that is lost",
        ),
        option(
            weights,
            "evictions",
            base.evictions,
            "number, 0 to 1000",
            "weight of an eviction beside its lost work",
        ),
        option(
            reaction,
            "high",
            old.high,
            "tail latency over target, 0.01 to 1",
            "strain at which runs are throttled",
        ),
        option(
            reaction,
            "low",
            old.low,
            "tail latency over target, less than `high`",
            "strain that throttling aims at",
        ),
        option(
            reaction,
            "settle",
            format_duration(old.settle),
            "time",
            "time between two changes on a worker",
        ),
        option(
            reaction,
            "calm",
            format_duration(old.calm),
            "time",
            "time below `low` before room is given back",
        ),
        option(
            reaction,
            "stale",
            format_duration(old.stale),
            "time",
            "age past which a measurement changes nothing",
        ),
        option(
            reaction,
            "memory",
            old.memory,
            "share of a worker, 0.01 to 1",
            "memory in use at which runs are moved",
        ),
        option(
            reaction,
            "budget",
            old.budget,
            "number, 0 to 1000",
            "moves and evictions per worker and hour",
        ),
    ]
}

/// Options of the section `[store]` of an entry's process.
pub fn store_options() -> Vec<ConfigOption> {
    let base = StoreConfig::default();
    let store = "store";
    vec![
        without_default(
            store,
            "endpoints",
            "addresses with port, split by commas",
            "the store's HTTP gateway; without it settings end with the process",
        ),
        option(
            store,
            "deadline",
            format_duration(base.deadline),
            "time, up to 60s",
            "time within which a call is answered or given up",
        ),
        option(
            store,
            "hedge-after",
            format_duration(base.hedge_after),
            "time, up to 60s",
            "time after which a read is also sent over a new connection",
        ),
        option(
            store,
            "rate",
            base.rate,
            "calls a second, at least 1",
            "calls that the process sends on average",
        ),
        option(
            store,
            "burst",
            base.burst,
            "calls, at least 1",
            "calls that it may send at once",
        ),
        option(
            store,
            "backoff-min",
            format_duration(base.backoff_min),
            "time, up to 60s",
            "first pause after a failed call",
        ),
        option(
            store,
            "backoff-max",
            format_duration(base.backoff_max),
            "time, up to 60s",
            "longest pause after failed calls",
        ),
    ]
}
