//! The page of the runs that the owner counts.

use parsleytally::types::NodeName;
use parsleytally_platform::process::metrics::MetricSet;
use tokio::sync::{mpsc, watch};

use super::super::messages::{OwnerInput, OwnerLocation};
use super::super::runs_page::{OperatorPages, lines};
use super::*;

/// Answers requests for the runs with this run.
async fn count_run(mut inputs: mpsc::Receiver<OwnerInput>, node: NodeName, run: RunRef) {
    while let Some(input) = inputs.recv().await {
        if let OwnerInput::Runs(reply) = input {
            let _ = reply.send(vec![(node.clone(), run)]);
        }
    }
}

/// Guards against a page that shows runs of an entry that is not the owner, or none of the owner.
#[tokio::test]
async fn only_the_owner_lists_the_runs_that_it_counts() {
    let (location, follower) = watch::channel(OwnerLocation::Unknown);
    let pages = OperatorPages {
        metrics: MetricSet::default(),
        location: follower,
    };
    assert_eq!(pages.runs().await, None);
    let (owner, inputs) = mpsc::channel(1);
    let node = NodeName::new("w1").expect("a valid name");
    let task = TaskId {
        job: JobId(7),
        round: 0,
        step: 1,
        index: 2,
    };
    let run = RunRef { task, run: 3 };
    tokio::spawn(count_run(inputs, node.clone(), run));
    location.send_replace(OwnerLocation::Local(owner));
    let runs = pages.runs().await.expect("the owner answers");
    assert_eq!(runs, [(node, run)]);
    assert_eq!(lines(&runs), format!("w1 {task} 3\n"));
}
