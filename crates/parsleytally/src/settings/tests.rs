//! Tests of the settings replica and its updates.

use super::*;
use crate::types::{ServiceKey, ServiceName, TaskKey, TaskName, TeamName};

const NOW: Time = Time::from_secs(1);
const VALID: &str = "[task]\ncpu = 500\n";
const CHANGED: &str = "[task]\ncpu = 700\n";
const INVALID: &str = "[task]\ncpu = many\n";

fn key(name: &str) -> String {
    format!("{SETTINGS_PREFIX}demo/batch/{name}")
}

fn task(name: &str) -> TaskKey {
    TaskKey {
        team: TeamName::new("demo").unwrap(),
        task: TaskName::new(name).unwrap(),
    }
}

fn record(name: &str, revision: u64, text: &str) -> Record {
    Record {
        key: key(name),
        revision: Revision(revision),
        created: Revision(1),
        text: text.as_bytes().to_vec(),
        last_valid: None,
    }
}

fn full(revision: u64, records: Vec<Record>) -> Update {
    let revision = Revision(revision);
    Update::Full { revision, records }
}

fn delta(from: u64, revision: u64, changes: Vec<RecordChange>) -> Update {
    Update::Delta {
        from: Revision(from),
        revision: Revision(revision),
        changes,
    }
}

fn delete(name: &str, revision: u64) -> RecordChange {
    RecordChange::Delete {
        key: key(name),
        revision: Revision(revision),
    }
}

/// A request whose digest matches no replica.
fn request_at(revision: u64) -> UpdateRequest {
    UpdateRequest {
        revision: Revision(revision),
        digest: 1,
        incomplete: false,
    }
}

/// A replica with the outputs it has produced.
#[derive(Default)]
struct Replica {
    settings: Settings,
    out: Vec<Output>,
}

impl Replica {
    fn at(revision: u64, records: Vec<Record>) -> Self {
        let mut replica = Self::default();
        replica.update_from_store(full(revision, records));
        replica.out.clear();
        replica
    }

    fn update_from_store(&mut self, update: Update) {
        let input = Input::Update(update, Source::Store);
        self.settings.step(NOW, input, &mut self.out);
    }

    fn update_from_peer(&mut self, update: Update) {
        let input = Input::Update(update, Source::Peer);
        self.settings.step(NOW, input, &mut self.out);
    }

    fn cpu(&self, name: &str) -> Option<u64> {
        let config = self.settings.view().tasks.get(&task(name))?;
        Some(config.need.cpu.0)
    }

    fn texts(&self) -> Vec<(&str, Revision, &[u8])> {
        let keys = self.settings.keys.iter();
        keys.map(|(key, state)| (key.as_str(), state.revision, &*state.text))
            .collect()
    }

    fn missed(&self) -> bool {
        let missed = |output: &Output| matches!(output, Output::Missed { .. });
        self.out.iter().any(missed)
    }
}

struct UpdateCase {
    name: &'static str,
    update: Update,
    revision: u64,
    cpu: Option<u64>,
    missed: bool,
}

#[test]
fn updates_never_lower_the_revision_or_skip_changes() {
    let put = |revision, text| RecordChange::Put(record("a", revision, text));
    let cases = [
        UpdateCase {
            name: "next change",
            update: delta(10, 12, vec![put(12, CHANGED)]),
            revision: 12,
            cpu: Some(700),
            missed: false,
        },
        UpdateCase {
            name: "repeated change followed by a new one",
            update: delta(3, 12, vec![put(5, CHANGED), delete("b", 12)]),
            revision: 12,
            cpu: Some(500),
            missed: false,
        },
        UpdateCase {
            name: "late change",
            update: delta(3, 9, vec![put(9, CHANGED)]),
            revision: 10,
            cpu: Some(500),
            missed: false,
        },
        UpdateCase {
            name: "change after a gap",
            update: delta(11, 12, vec![put(12, CHANGED)]),
            revision: 10,
            cpu: Some(500),
            missed: true,
        },
        UpdateCase {
            name: "deletion",
            update: delta(10, 12, vec![delete("a", 12)]),
            revision: 12,
            cpu: None,
            missed: false,
        },
        UpdateCase {
            name: "higher revision without changes",
            update: delta(10, 20, vec![]),
            revision: 20,
            cpu: Some(500),
            missed: false,
        },
        UpdateCase {
            name: "older state",
            update: full(9, vec![record("a", 9, CHANGED)]),
            revision: 10,
            cpu: Some(500),
            missed: false,
        },
        UpdateCase {
            name: "newer state",
            update: full(11, vec![record("a", 11, CHANGED)]),
            revision: 11,
            cpu: Some(700),
            missed: false,
        },
        UpdateCase {
            name: "newer state without the key",
            update: full(11, vec![]),
            revision: 11,
            cpu: None,
            missed: false,
        },
    ];
    for case in cases {
        for source in [Source::Store, Source::Peer] {
            let mut replica = Replica::at(10, vec![record("a", 5, VALID)]);
            let input = Input::Update(case.update.clone(), source);
            replica.settings.step(NOW, input, &mut replica.out);
            let revision = replica.settings.revision();
            assert_eq!(revision, Revision(case.revision), "{}", case.name);
            assert_eq!(replica.cpu("a"), case.cpu, "{}", case.name);
            assert_eq!(replica.missed(), case.missed, "{}", case.name);
        }
    }
}

#[test]
fn a_store_at_a_lower_revision_is_reported_and_not_applied() {
    let mut replica = Replica::at(10, vec![record("a", 5, VALID)]);
    replica.update_from_store(full(4, vec![]));
    assert_eq!(replica.cpu("a"), Some(500));
    let behind = Output::StoreBehind {
        store: Revision(4),
        local: Revision(10),
    };
    assert_eq!(replica.out, [behind]);
}

#[test]
fn an_invalid_text_is_not_applied_and_the_last_valid_one_stays() {
    let mut replica = Replica::at(10, vec![record("a", 5, VALID)]);
    replica.update_from_store(delta(
        10,
        11,
        vec![RecordChange::Put(record("a", 11, INVALID))],
    ));
    assert_eq!(replica.cpu("a"), Some(500));
    assert_eq!(replica.settings.invalid_count(), 1);
    assert!(matches!(&replica.out[0], Output::Invalid { key: k, .. } if *k == key("a")));
    let fixed = RecordChange::Put(record("a", 12, CHANGED));
    replica.update_from_store(delta(11, 12, vec![fixed]));
    assert_eq!(replica.cpu("a"), Some(700));
    assert_eq!(replica.settings.invalid_count(), 0);
    replica.update_from_store(delta(
        12,
        13,
        vec![RecordChange::Put(record("a", 13, INVALID))],
    ));
    replica.update_from_store(delta(13, 14, vec![delete("a", 14)]));
    assert_eq!(replica.cpu("a"), None);
    assert_eq!(replica.settings.invalid_count(), 0);
}

#[test]
fn a_text_from_before_a_deletion_is_not_restored() {
    let mut replica = Replica::at(10, vec![record("a", 5, VALID)]);
    let mut recreated = record("a", 12, INVALID);
    recreated.created = Revision(12);
    replica.update_from_store(full(12, vec![recreated]));
    assert_eq!(replica.cpu("a"), None);
    replica.update_from_peer(full(11, vec![record("a", 5, VALID)]));
    assert_eq!(replica.cpu("a"), None);
}

#[test]
fn a_new_replica_adopts_the_last_valid_text_of_a_peer() {
    let mut old = Replica::at(10, vec![record("a", 5, VALID)]);
    old.update_from_store(delta(
        10,
        11,
        vec![RecordChange::Put(record("a", 11, INVALID))],
    ));
    let known = old.settings.update_for(request_at(0), Scope::All);
    let older = full(10, vec![record("a", 5, VALID)]);
    for update in [known, older] {
        let mut new = Replica::at(11, vec![record("a", 11, INVALID)]);
        assert_eq!(new.cpu("a"), None);
        new.update_from_peer(update);
        assert_eq!(new.cpu("a"), Some(500));
        assert_eq!(new.settings.revision(), Revision(11));
        assert_eq!(new.settings.invalid_count(), 1);
    }
}

#[test]
fn a_replica_without_the_store_uses_the_newest_peer() {
    let newest = full(12, vec![record("a", 12, CHANGED)]);
    let older = full(10, vec![record("a", 5, VALID), record("b", 6, VALID)]);
    for updates in [[&newest, &older], [&older, &newest]] {
        let mut replica = Replica::default();
        for update in updates {
            replica.update_from_peer(update.clone());
        }
        assert_eq!(replica.settings.revision(), Revision(12));
        assert_eq!((replica.cpu("a"), replica.cpu("b")), (Some(700), None));
        assert_eq!(replica.settings.confirmed_at(), None);
        replica.update_from_store(newest.clone());
        assert_eq!(replica.settings.confirmed_at(), Some(NOW));
    }
}

struct SummaryCase {
    name: &'static str,
    revision: u64,
    last_change: u64,
    count: u64,
    missed: bool,
    confirmed: bool,
}

#[test]
fn missed_changes_are_detected_by_revision_or_key_count() {
    let cases = [
        SummaryCase {
            name: "nothing missed, other keys written",
            revision: 99,
            last_change: 5,
            count: 1,
            missed: false,
            confirmed: true,
        },
        SummaryCase {
            name: "a put missed",
            revision: 99,
            last_change: 11,
            count: 1,
            missed: true,
            confirmed: false,
        },
        SummaryCase {
            name: "a deletion missed",
            revision: 99,
            last_change: 0,
            count: 0,
            missed: true,
            confirmed: false,
        },
        SummaryCase {
            name: "a deletion and a put missed",
            revision: 99,
            last_change: 12,
            count: 1,
            missed: true,
            confirmed: false,
        },
        SummaryCase {
            name: "store at a lower revision",
            revision: 4,
            last_change: 4,
            count: 1,
            missed: false,
            confirmed: false,
        },
    ];
    let later = Time::from_secs(9);
    for case in cases {
        let mut replica = Replica::at(10, vec![record("a", 5, VALID)]);
        let input = Input::StoreSummary {
            revision: Revision(case.revision),
            last_change: Revision(case.last_change),
            count: case.count,
        };
        replica.settings.step(later, input, &mut replica.out);
        assert_eq!(replica.missed(), case.missed, "{}", case.name);
        let confirmed = replica.settings.confirmed_at() == Some(later);
        assert_eq!(confirmed, case.confirmed, "{}", case.name);
    }
}

#[test]
fn an_update_contains_the_changes_the_requester_lacks() {
    let mut entry = Replica::at(10, vec![record("a", 5, VALID), record("b", 6, VALID)]);
    let mut agent = Replica::default();
    agent.update_from_peer(
        entry
            .settings
            .update_for(agent.settings.update_request(), Scope::All),
    );
    entry.update_from_store(delta(
        10,
        11,
        vec![RecordChange::Put(record("a", 11, CHANGED))],
    ));
    entry.update_from_store(full(
        20,
        vec![record("a", 11, CHANGED), record("c", 15, VALID)],
    ));
    let update = entry
        .settings
        .update_for(agent.settings.update_request(), Scope::All);
    assert!(matches!(&update, Update::Delta { changes, .. } if changes.len() == 3));
    agent.update_from_peer(update);
    assert_eq!(agent.settings.view(), entry.settings.view());
    assert_eq!(agent.settings.revision(), Revision(20));
    let for_agents = entry.settings.update_for(request_at(0), Scope::Agents);
    assert_eq!(for_agents, full(20, vec![]));
}

#[test]
fn a_requester_older_than_the_history_receives_a_full_update() {
    let mut replica = Replica::at(1, vec![]);
    for revision in 2..6_000 {
        let put = RecordChange::Put(record("a", revision, VALID));
        replica.update_from_store(delta(revision - 1, revision, vec![put]));
    }
    let near = replica.settings.update_for(request_at(5_990), Scope::All);
    assert!(matches!(near, Update::Delta { changes, .. } if changes.len() == 9));
    let far = replica.settings.update_for(request_at(10), Scope::All);
    assert!(matches!(far, Update::Full { records, .. } if records.len() == 1));
}

#[test]
fn reordered_lost_and_repeated_updates_converge_to_the_newest_state() {
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut entry = Replica::at(1, vec![]);
        let mut updates = Vec::new();
        for revision in 2..40 {
            let name = ["a", "b", "c"][rng.random_range(0..3)];
            let text = if rng.random_range(0..3) == 0 {
                INVALID
            } else {
                VALID
            };
            let mut put = record(name, revision, text);
            let known = entry.settings.keys.get(&key(name));
            put.created = known.map_or(Revision(revision), |state| state.created);
            let change = match rng.random_range(0..4) {
                0 => delete(name, revision),
                _ => RecordChange::Put(put),
            };
            entry.update_from_store(delta(revision - 1, revision, vec![change]));
            let request = request_at(rng.random_range(0..revision));
            updates.push(entry.settings.update_for(request, Scope::All));
        }
        let mut agent = Replica::default();
        let mut last = Revision(0);
        for _ in 0..100 {
            let update = updates[rng.random_range(0..updates.len())].clone();
            agent.update_from_peer(update);
            assert!(agent.settings.revision() >= last, "seed {seed}");
            last = agent.settings.revision();
        }
        agent.update_from_peer(
            entry
                .settings
                .update_for(agent.settings.update_request(), Scope::All),
        );
        assert_eq!(
            agent.settings.update_request(),
            entry.settings.update_request(),
            "seed {seed}"
        );
        assert_eq!(agent.settings.revision(), Revision(39), "seed {seed}");
        assert_eq!(agent.texts(), entry.texts(), "seed {seed}");
    }
}

struct PathCase {
    path: &'static str,
    valid: bool,
}

#[test]
fn malformed_paths_are_refused() {
    let cases = [
        ("demo/services/echo", true),
        ("demo/batch/count", true),
        ("demo/quota", true),
        ("demo/token", true),
        ("_deployment", true),
        ("", false),
        ("demo", false),
        ("demo/", false),
        ("demo/batch", false),
        ("demo/batch/", false),
        ("demo//count", false),
        ("/demo/batch/count", false),
        ("demo/batch/count/", false),
        ("demo/batch/../../other/quota", false),
        ("demo/batch/..", false),
        ("../demo/quota", false),
        ("demo/batch/%2e%2e", false),
        ("demo/batch/a%2fb", false),
        ("demo%2fquota", false),
        ("demo/batch/a\0", false),
        ("demo/quota/x", false),
        ("_deployment/quota", false),
        ("demo/journal/1", false),
    ];
    for (path, valid) in cases {
        let case = PathCase { path, valid };
        let parsed = SettingPath::parse(case.path);
        assert_eq!(parsed.is_ok(), case.valid, "{path:?}");
        if let Ok(parsed) = parsed {
            assert_eq!(parsed.to_string(), path);
            assert_eq!(SettingPath::from_key(&parsed.to_key()), Ok(parsed));
        }
    }
}

#[test]
fn an_unknown_key_is_counted_as_invalid_and_not_applied() {
    let mut unknown = record("a", 5, VALID);
    unknown.key = format!("{SETTINGS_PREFIX}demo/what");
    let replica = Replica::at(10, vec![unknown]);
    assert_eq!(replica.settings.invalid_count(), 1);
    assert_eq!(replica.settings.view(), &View::default());
}

struct AcceptCase {
    name: &'static str,
    path: SettingPath,
    text: &'static str,
    error: Option<&'static str>,
}

#[test]
fn a_change_is_checked_against_the_settings_of_its_team() {
    let demo = TeamName::new("demo").unwrap();
    let quota = SettingPath::Quota(demo.clone());
    let service = SettingPath::Service(ServiceKey {
        team: demo,
        service: ServiceName::new("echo").unwrap(),
    });
    let count = SettingPath::Batch(task("count"));
    let cases = [
        AcceptCase {
            name: "task within the quota",
            path: count.clone(),
            text: "[task]\ncpu = 1000\n",
            error: None,
        },
        AcceptCase {
            name: "task above the quota",
            path: count.clone(),
            text: "[task]\ncpu = 1001\n",
            error: Some("exceeds quota"),
        },
        AcceptCase {
            name: "quota below a task",
            path: quota.clone(),
            text: "[quota]\ncpu = 699\n",
            error: Some("demo/batch/there"),
        },
        AcceptCase {
            name: "quota that covers each task",
            path: quota.clone(),
            text: "[quota]\ncpu = 700\n",
            error: None,
        },
        AcceptCase {
            name: "invalid text",
            path: service,
            text: "[service]\ntarget = soon\n",
            error: Some("demo/services/echo: value \"soon\" of key \"target\""),
        },
    ];
    for case in cases {
        let team = [
            (quota.clone(), &b"[quota]\ncpu = 1000\n"[..]),
            (SettingPath::Batch(task("there")), CHANGED.as_bytes()),
            (SettingPath::Batch(task("broken")), INVALID.as_bytes()),
        ];
        let checked = check_change(&case.path, case.text.as_bytes(), team.into_iter());
        match (checked, case.error) {
            (Ok(_), None) => {}
            (Err(error), Some(expected)) => {
                assert!(error.to_string().contains(expected), "{error}");
            }
            (checked, _) => panic!("{}: {checked:?}", case.name),
        }
    }
}

#[test]
fn the_number_of_settings_of_a_team_is_limited() {
    let path = |n: usize| SettingPath::Batch(task(&n.to_string()));
    let team = |count| (0..count).map(|n| (path(n), VALID.as_bytes()));
    let new = path(MAX_TEAM_SETTINGS);
    let text = VALID.as_bytes();
    assert!(check_change(&new, text, team(MAX_TEAM_SETTINGS - 1)).is_ok());
    assert!(check_change(&new, text, team(MAX_TEAM_SETTINGS)).is_err());
    assert!(check_change(&path(0), text, team(MAX_TEAM_SETTINGS)).is_ok());
}

#[test]
fn an_up_to_date_requester_receives_only_the_revision() {
    let records = || vec![record("a", 5, VALID), record("b", 6, VALID)];
    let agent = Replica::at(10, records());
    let entry = Replica::at(500, records());
    let answer = entry
        .settings
        .update_for(agent.settings.update_request(), Scope::All);
    assert_eq!(answer, delta(10, 500, vec![]));
    let changed = Replica::at(500, vec![record("a", 5, VALID)]);
    let answer = changed
        .settings
        .update_for(agent.settings.update_request(), Scope::All);
    assert!(matches!(answer, Update::Full { .. }));
    let behind = Replica::at(9, vec![record("a", 5, VALID)]);
    let answer = behind
        .settings
        .update_for(agent.settings.update_request(), Scope::All);
    assert_eq!(answer, delta(9, 9, vec![]));
    let incomplete = Replica::at(10, vec![record("a", 10, INVALID)]);
    let answer = behind
        .settings
        .update_for(incomplete.settings.update_request(), Scope::All);
    assert_eq!(answer, full(9, vec![record("a", 5, VALID)]));
}

#[test]
fn an_update_is_assembled_unchanged_from_its_parts() {
    let text = "#".repeat(60_000);
    let records = (0..20).map(|n| record(&n.to_string(), n + 1, &text));
    let large = full(30, records.clone().collect());
    let changes = records.map(RecordChange::Put).chain([delete("a", 40)]);
    let updates = [
        large,
        delta(30, 40, changes.collect()),
        delta(40, 41, vec![]),
        full(50, vec![]),
    ];
    let mut assembler = Assembler::default();
    for update in updates {
        let parts = update.clone().into_parts();
        let sizes = parts
            .iter()
            .map(|part| part.changes.iter().map(RecordChange::size).sum());
        assert!(sizes.max().is_some_and(|size: usize| size < 512 << 10));
        let mut assembled = None;
        for part in parts {
            assert_eq!(assembled, None);
            assembled = assembler.push(part);
        }
        assert_eq!(assembled, Some(update));
    }
}

#[test]
fn lost_repeated_mixed_or_late_parts_yield_no_update() {
    let text = "#".repeat(60_000);
    let records: Vec<_> = (0..20)
        .map(|n| record(&n.to_string(), n + 1, &text))
        .collect();
    let parts = full(30, records.clone()).into_parts();
    let other = full(31, records).into_parts();
    let lost = [&parts[0], &parts[2]];
    let repeated = [&parts[0], &parts[0]];
    let mixed = [&parts[0], &other[1]];
    let late = [&parts[1], &parts[2]];
    for order in [lost, repeated, mixed, late] {
        let mut assembler = Assembler::default();
        let parts = order.into_iter().chain(&parts[3..]);
        assert!(parts.cloned().all(|part| assembler.push(part).is_none()));
    }
}
