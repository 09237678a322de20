//! Stated outcomes of the traces, and whether a replay met them.

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::results::Row;

/// What our policy must reach on one trace.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Outcome {
    /// Least share of service time within the target.
    within: f64,
    /// Least number of finished tasks.
    finished: Option<u64>,
    /// Class of which every wanted task must finish.
    whole_class: Option<String>,
    /// Most runs stopped for lack of memory.
    kills: Option<u64>,
    /// Most failed runs for each task that always fails.
    failures_per_sick_task: Option<u64>,
}

/// Outcomes by the name of the trace.
pub(crate) type Outcomes = BTreeMap<String, Outcome>;

/// Reads the outcomes beside the traces.
pub(crate) fn read() -> Result<Outcomes, String> {
    let text = include_str!("../../traces/outcomes.json");
    serde_json::from_str(text).map_err(|e| format!("outcomes.json: {e}"))
}

/// Names every stated outcome that a replay missed.
///
/// `sick_tasks` counts the tasks of the trace that always fail. The promises hold for
/// every policy, the outcomes for ours.
pub(crate) fn missed(outcomes: &Outcomes, row: &Row, sick_tasks: u64) -> Vec<String> {
    let mut missed = Vec::new();
    if row.overcommit + row.doubled > 0 {
        missed.push(format!(
            "overcommit {}, doubled {}",
            row.overcommit, row.doubled
        ));
    }
    let Some(outcome) = outcomes.get(&row.trace).filter(|_| row.policy == "ours") else {
        return missed;
    };
    if row.within < outcome.within {
        missed.push(format!("within {} < {}", row.within, outcome.within));
    }
    if let Some(least) = outcome.finished.filter(|least| row.finished < *least) {
        missed.push(format!("finished {} < {least}", row.finished));
    }
    let left = |class: &String| row.unfinished.get(class).is_some_and(|left| *left > 0);
    if let Some(class) = outcome.whole_class.as_ref().filter(|class| left(class)) {
        missed.push(format!("unfinished {class}: {}", row.unfinished[class]));
    }
    if let Some(most) = outcome.kills.filter(|most| row.kills > *most) {
        missed.push(format!("kills {} > {most}", row.kills));
    }
    let failures = outcome.failures_per_sick_task.map(|each| each * sick_tasks);
    if let Some(most) = failures.filter(|most| row.failures > *most) {
        missed.push(format!("failures {} > {most}", row.failures));
    }
    missed
}
