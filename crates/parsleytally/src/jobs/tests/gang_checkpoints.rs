//! Checkpoints of the members of a gang.

use super::scheduler::{Bench, starts};
use super::*;

/// Guards against members that wait for each other in vain: they work together only if all
/// resume from the same checkpoint, and the workers' reports differ in age.
#[test]
fn all_members_of_a_gang_resume_from_the_same_checkpoint() {
    let mut bench = Bench::with_workers(1);
    let gang = StepSpec {
        gang: true,
        ..step(2, &[])
    };
    let members = starts(&bench.submit(1, job(vec![gang]), 11));
    let status = |member: usize, checkpoint: &str| RunStatus {
        run: members[member].1,
        checkpoint: checkpoint.to_owned(),
        percent: 10,
        measurement: 0,
    };
    let reported = vec![status(0, "earlier"), status(1, "earlier")];
    bench.agent(0, AgentMessage::Measurements(reported));
    bench.agent(0, AgentMessage::Measurements(vec![status(1, "later")]));
    bench.agent(0, AgentMessage::LeasesExpired);
    let out = bench.join(0, report(0, 7));
    let checkpoint = |output: &Output| match output {
        Output::Order(_, OrderMessage::Start(order)) => Some(order.checkpoint.clone()),
        _ => None,
    };
    let checkpoints: Vec<String> = out.iter().filter_map(checkpoint).collect();
    assert_eq!(checkpoints, ["later", "later"]);
}
