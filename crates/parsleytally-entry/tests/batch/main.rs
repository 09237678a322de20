//! Tests of batch tasks over real sockets: process restarts, store outages and two entries
//! at once.

mod system;

use system::Builder;

/// Settings of a task that outlasts the test.
const LONG_TASK: &str = "[task]\ncpu = 600\nrun-time = 1h\n";

#[tokio::test(flavor = "multi_thread")]
async fn a_run_survives_an_agent_restart_and_is_not_started_again() {
    let mut system = Builder::default().start().await;
    system.declare("demo", "count", LONG_TASK).await;
    system.until_state("demo", "running").await;
    system.restart_agent().await;
    // The run can only be stopped if the new agent found it on the worker.
    system.delete("demo", "count").await;
    system.until(|s| s.worker.executing() == 0).await;
    assert_eq!(system.worker.starts(), ["demo/count#1"]);
    system.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn restarting_all_entries_neither_loses_nor_duplicates_tasks() {
    let builder = Builder {
        entries: 2,
        ..Builder::default()
    };
    let mut system = builder.start().await;
    let teams = ["one", "two", "three"];
    for team in teams {
        let text = "[task]\ncpu = 100\nrun-time = 1h\n";
        system.declare(team, "count", text).await;
    }
    let mut before = Vec::new();
    for team in teams {
        before.push(system.until_state(team, "running").await);
    }
    let starts = system.worker.starts();
    system.restart_entries().await;
    for (team, before) in teams.into_iter().zip(before) {
        let after = system.until_state(team, "running").await;
        assert_eq!(after["run"], before["run"], "{before} {after}");
    }
    assert_eq!(system.worker.starts(), starts);
    system.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_task_deleted_while_no_entry_runs_is_stopped() {
    let mut system = Builder::default().start().await;
    system.declare("demo", "count", LONG_TASK).await;
    system.until_state("demo", "running").await;
    let key = "/parsleytally/teams/demo/batch/count";
    system.restart_entries_without(key).await;
    system.until(|s| s.worker.executing() == 0).await;
    system.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_entries_never_overcommit_a_shared_worker() {
    let builder = Builder {
        entries: 2,
        ..Builder::default()
    };
    let system = builder.start().await;
    system.until_all_own_shards().await;
    let teams: Vec<_> = (0..8).map(|n| format!("team-{n}")).collect();
    for team in &teams {
        let text = "[task]\ncpu = 600\nrun-time = 100ms\n";
        system.declare(team, "count", text).await;
    }
    for team in &teams {
        system.until_state(team, "finished").await;
    }
    assert_eq!(
        system.worker.max_executing(),
        1,
        "the worker has capacity for one run"
    );
    let starts = system.worker.starts();
    assert_eq!(starts.len(), teams.len(), "{starts:?}");
    system.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_run_is_saved_after_the_hold_time_and_resumes_once() {
    let builder = Builder {
        ownership: "hold = 4s\ninterval = 200ms\n",
        ..Builder::default()
    };
    let system = builder.start().await;
    let text = "[task]\ncpu = 600\nrun-time = 6s\n";
    system.declare("demo", "count", text).await;
    system.until_state("demo", "running").await;
    system.store.set_down(true);
    system.until(|s| s.worker.executing() == 0).await;
    system.store.set_down(false);
    let view = system.until_state("demo", "finished").await;
    assert_eq!(system.worker.max_executing(), 1);
    let starts = system.worker.starts();
    assert_eq!(view["run"], starts.len(), "{starts:?}");
    assert!(starts.len() >= 2, "the outage stopped no run");
    assert!(
        system.worker.resumed(),
        "no run was started from a checkpoint"
    );
    system.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_restart_during_a_store_outage_starts_no_second_run() {
    let mut system = Builder::default().start().await;
    system.declare("demo", "count", LONG_TASK).await;
    system.until_state("demo", "running").await;
    system.store.set_down(true);
    // The entry can't release its shards, so their records keep the old incarnation.
    system.restart_entries().await;
    system.store.set_down(false);
    let view = system.until_state("demo", "running").await;
    assert_eq!(view["run"], 1, "{view}");
    assert_eq!(system.worker.starts(), ["demo/count#1"]);
    system.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_store_answers_duplicate_no_run() {
    let system = Builder::default().start().await;
    for n in 0..6 {
        system.store.lose_answers(1);
        let team = format!("team-{n}");
        let text = "[task]\ncpu = 100\nrun-time = 50ms\n";
        system.put(&team, "count", text).await;
    }
    for n in 0..6 {
        system.until_state(&format!("team-{n}"), "finished").await;
    }
    let starts = system.worker.starts();
    assert_eq!(starts.len(), 6, "{starts:?}");
    system.close().await;
}
