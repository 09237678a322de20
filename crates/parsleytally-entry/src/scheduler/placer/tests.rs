//! Tests of the choice of workers.

use parsleytally::types::TaskName;

use super::*;

const NOW: Time = Time::from_secs(1);

fn node(name: &str) -> NodeName {
    NodeName::new(name).unwrap()
}

fn key(name: &str) -> TaskKey {
    TaskKey {
        team: TeamName::new("a").unwrap(),
        task: TaskName::new(name).unwrap(),
    }
}

fn config(cpu: u64) -> BatchConfig {
    BatchConfig {
        need: Resources::new(cpu, 1 << 20, 0),
        ..BatchConfig::default()
    }
}

/// A placer over workers of 1,000 thousandths each.
fn placer(workers: &[&str]) -> Balanced {
    let mut placer = Balanced::new(1);
    for worker in workers {
        up(&mut placer, worker);
    }
    placer
}

fn up(placer: &mut Balanced, worker: &str) {
    let zone = ZoneName::new("z").unwrap();
    placer.up(NOW, &node(worker), &zone, Resources::new(1_000, 1 << 30, 0));
}

#[test]
fn a_refused_task_goes_elsewhere_and_a_full_worker_gets_nothing() {
    let mut placer = placer(&["w0", "w1", "w2"]);
    let mut seen = Vec::new();
    for _ in 0..2 {
        placer.wants(NOW, &key("t"), &config(800));
        let choices = placer.choose(NOW);
        let worker = choices[0].worker.clone();
        placer.refused(&key("t"), &worker);
        placer.freed(NOW, &key("t"));
        seen.push(worker);
    }
    assert_ne!(seen[0], seen[1]);
    for name in ["t", "u", "v"] {
        placer.wants(NOW, &key(name), &config(800));
    }
    assert_eq!(placer.choose(NOW).len(), 3);
    placer.wants(NOW, &key("x"), &config(800));
    assert!(placer.choose(NOW).is_empty());
    let why = placer.explain(NOW, &key("x")).unwrap();
    assert_eq!(why, "waiting for room; workers 3, cpu 3");
}

#[test]
fn a_worker_that_comes_back_still_holds_its_tasks() {
    let mut placer = placer(&["w0"]);
    placer.held(NOW, &key("t"), &node("w0"), Resources::new(800, 1 << 20, 0));
    placer.down(NOW, &node("w0"));
    placer.wants(NOW, &key("u"), &config(800));
    assert!(placer.choose(NOW).is_empty());
    up(&mut placer, "w0");
    assert!(placer.choose(NOW).is_empty());
    placer.freed(NOW, &key("t"));
    placer.seen(NOW, &node("w0"));
    assert_eq!(placer.choose(NOW).len(), 1);
}

#[test]
fn a_quota_and_an_impossible_size_are_explained() {
    let mut placer = placer(&["w0"]);
    placer.wants(NOW, &key("huge"), &config(2_000));
    assert!(placer.choose(NOW).is_empty());
    let why = placer.explain(NOW, &key("huge")).unwrap();
    assert!(
        why.starts_with("cannot run: no worker has cpu 2000m"),
        "{why}"
    );
    let quota = QuotaConfig {
        limit: Resources::new(500, 1 << 30, 0),
        weight: 1,
    };
    placer.quota(NOW, TeamName::new("a").unwrap(), quota);
    placer.wants(NOW, &key("t"), &config(400));
    placer.wants(NOW, &key("u"), &config(400));
    assert_eq!(placer.choose(NOW).len(), 1);
    let waits = ["t", "u"].map(|name| placer.explain(NOW, &key(name)).unwrap());
    let used = "waiting: the team's quota is used up; workers 1";
    assert!(waits.iter().any(|why| why.starts_with(used)), "{waits:?}");
}
