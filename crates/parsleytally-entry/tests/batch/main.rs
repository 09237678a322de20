//! Batch tasks over real sockets: restarts, outages and two entries at once.

mod system;

use system::Builder;

const LONG: &str = "[task]\ncpu = 600\nrun-time = 1h\n";

#[tokio::test(flavor = "multi_thread")]
async fn a_run_survives_its_agent_and_is_not_started_again() {
    let mut system = Builder::default().start().await;
    system.declare("demo", "count", LONG).await;
    system.until_state("demo", "running").await;
    system.restart_agent().await;
    // The new agent stops the run, so it has found it; and it found one only.
    system.delete("demo", "count").await;
    system.until(|s| s.worker.executing() == 0).await;
    assert_eq!(system.worker.starts(), ["demo/count#1"]);
    system.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_entries_replaced_at_once_lose_and_double_no_task() {
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
async fn a_task_deleted_while_no_entry_ran_is_stopped() {
    let mut system = Builder::default().start().await;
    system.declare("demo", "count", LONG).await;
    system.until_state("demo", "running").await;
    let key = "/parsleytally/teams/demo/batch/count";
    system.restart_entries_after(key).await;
    system.until(|s| s.worker.executing() == 0).await;
    system.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_entries_that_place_on_one_worker_never_overcommit_it() {
    let builder = Builder {
        entries: 2,
        ..Builder::default()
    };
    let system = builder.start().await;
    system.until_shared().await;
    let teams: Vec<_> = (0..8).map(|n| format!("team-{n}")).collect();
    for team in &teams {
        let text = "[task]\ncpu = 600\nrun-time = 100ms\n";
        system.declare(team, "count", text).await;
    }
    for team in &teams {
        system.until_state(team, "finished").await;
    }
    assert_eq!(system.worker.most(), 1, "runs at once on a worker for one");
    let starts = system.worker.starts();
    assert_eq!(starts.len(), teams.len(), "{starts:?}");
    system.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn past_the_hold_time_work_is_saved_and_resumes_once() {
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
    assert_eq!(system.worker.most(), 1);
    let starts = system.worker.starts();
    assert_eq!(view["run"], starts.len(), "{starts:?}");
    assert!(starts.len() >= 2, "the outage stopped nothing");
    assert!(system.worker.resumed(), "no start from a saved state");
    system.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_dies_while_the_store_is_down_is_followed_without_a_second_run() {
    let mut system = Builder::default().start().await;
    system.declare("demo", "count", LONG).await;
    system.until_state("demo", "running").await;
    system.store.set_down(true);
    // Nothing can be released, so the shard's record stays with the old life.
    system.restart_entries().await;
    system.store.set_down(false);
    let view = system.until_state("demo", "running").await;
    assert_eq!(view["run"], 1, "{view}");
    assert_eq!(system.worker.starts(), ["demo/count#1"]);
    system.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_store_double_no_run() {
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
