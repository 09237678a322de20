//! Tests of the placer.

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

/// A placer with workers of 1,000 CPU thousandths each.
fn placer(workers: &[&str]) -> BalancedPlacer {
    let mut placer = BalancedPlacer::new(1);
    for worker in workers {
        add_worker(&mut placer, worker);
    }
    placer
}

fn add_worker(placer: &mut BalancedPlacer, worker: &str) {
    let zone = ZoneName::new("z").unwrap();
    placer.worker_up(NOW, &node(worker), &zone, Resources::new(1_000, 1 << 30, 0));
}

#[test]
fn a_refused_task_gets_another_worker_and_a_full_worker_gets_none() {
    let mut placer = placer(&["w0", "w1", "w2"]);
    let mut chosen = Vec::new();
    for _ in 0..2 {
        placer.submit(NOW, &key("t"), &config(800));
        let choices = placer.choose(NOW);
        let worker = choices[0].worker.clone();
        placer.record_refusal(&key("t"), &worker);
        placer.release(NOW, &key("t"));
        chosen.push(worker);
    }
    assert_ne!(chosen[0], chosen[1]);
    for name in ["t", "u", "v"] {
        placer.submit(NOW, &key(name), &config(800));
    }
    assert_eq!(placer.choose(NOW).len(), 3);
    placer.submit(NOW, &key("x"), &config(800));
    assert!(placer.choose(NOW).is_empty());
    let explanation = placer.explain(NOW, &key("x")).unwrap();
    assert_eq!(explanation, "waiting for room; workers 3, cpu 3");
}

#[test]
fn a_relinked_worker_keeps_its_tasks() {
    let mut placer = placer(&["w0"]);
    placer.record_assignment(NOW, &key("t"), &node("w0"), Resources::new(800, 1 << 20, 0));
    placer.worker_down(NOW, &node("w0"));
    placer.submit(NOW, &key("u"), &config(800));
    assert!(placer.choose(NOW).is_empty());
    add_worker(&mut placer, "w0");
    assert!(placer.choose(NOW).is_empty());
    placer.release(NOW, &key("t"));
    placer.refresh_worker(NOW, &node("w0"));
    assert_eq!(placer.choose(NOW).len(), 1);
}

#[test]
fn a_quota_and_an_impossible_size_are_explained() {
    let mut placer = placer(&["w0"]);
    placer.submit(NOW, &key("huge"), &config(2_000));
    assert!(placer.choose(NOW).is_empty());
    let explanation = placer.explain(NOW, &key("huge")).unwrap();
    assert!(
        explanation.starts_with("cannot run: no worker has cpu 2000m"),
        "{explanation}"
    );
    let quota = QuotaConfig {
        limit: Resources::new(500, 1 << 30, 0),
        weight: 1,
    };
    placer.set_quota(NOW, TeamName::new("a").unwrap(), quota);
    placer.submit(NOW, &key("t"), &config(400));
    placer.submit(NOW, &key("u"), &config(400));
    assert_eq!(placer.choose(NOW).len(), 1);
    let explanations = ["t", "u"].map(|name| placer.explain(NOW, &key(name)).unwrap());
    let used = "waiting: the team's quota is used up; workers 1";
    assert!(
        explanations
            .iter()
            .any(|explanation| explanation.starts_with(used)),
        "{explanations:?}"
    );
}
