//! Tests of the holder of settings.

use super::*;
use crate::types::{ServiceKey, ServiceName, TaskKey, TaskName, TeamName};

const NOW: Time = Time::from_secs(1);
const GOOD: &str = "[task]\ncpu = 500\n";
const BETTER: &str = "[task]\ncpu = 700\n";
const BAD: &str = "[task]\ncpu = many\n";

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

/// The question of a holder whose keys are not known.
fn unknown(revision: u64) -> UpdateRequest {
    UpdateRequest {
        revision: Revision(revision),
        digest: 1,
        incomplete: false,
    }
}

/// A holder that is driven from outside.
#[derive(Default)]
struct Holder {
    settings: Settings,
    out: Vec<Output>,
}

impl Holder {
    fn at(revision: u64, records: Vec<Record>) -> Self {
        let mut holder = Self::default();
        holder.store(full(revision, records));
        holder.out.clear();
        holder
    }

    fn store(&mut self, update: Update) {
        let input = Input::Update(update, Source::Store);
        self.settings.step(NOW, input, &mut self.out);
    }

    fn peer(&mut self, update: Update) {
        let input = Input::Update(update, Source::Peer);
        self.settings.step(NOW, input, &mut self.out);
    }

    fn cpu(&self, name: &str) -> Option<u64> {
        let config = self.settings.view().tasks.get(&task(name))?;
        Some(config.need.cpu.0)
    }

    fn texts(&self) -> Vec<(&str, Revision, &[u8])> {
        let held = self.settings.held.iter();
        held.map(|(key, held)| (key.as_str(), held.revision, &*held.text))
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
fn no_update_leads_to_a_lower_revision_or_over_a_gap() {
    let put = |revision, text| RecordChange::Put(record("a", revision, text));
    let cases = [
        UpdateCase {
            name: "next change",
            update: delta(10, 12, vec![put(12, BETTER)]),
            revision: 12,
            cpu: Some(700),
            missed: false,
        },
        UpdateCase {
            name: "change that comes a second time, with a new one",
            update: delta(3, 12, vec![put(5, BETTER), delete("b", 12)]),
            revision: 12,
            cpu: Some(500),
            missed: false,
        },
        UpdateCase {
            name: "change that comes late",
            update: delta(3, 9, vec![put(9, BETTER)]),
            revision: 10,
            cpu: Some(500),
            missed: false,
        },
        UpdateCase {
            name: "change after a gap",
            update: delta(11, 12, vec![put(12, BETTER)]),
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
            name: "progress alone",
            update: delta(10, 20, vec![]),
            revision: 20,
            cpu: Some(500),
            missed: false,
        },
        UpdateCase {
            name: "older state",
            update: full(9, vec![record("a", 9, BETTER)]),
            revision: 10,
            cpu: Some(500),
            missed: false,
        },
        UpdateCase {
            name: "newer state",
            update: full(11, vec![record("a", 11, BETTER)]),
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
            let mut holder = Holder::at(10, vec![record("a", 5, GOOD)]);
            let input = Input::Update(case.update.clone(), source);
            holder.settings.step(NOW, input, &mut holder.out);
            let held = holder.settings.revision();
            assert_eq!(held, Revision(case.revision), "{}", case.name);
            assert_eq!(holder.cpu("a"), case.cpu, "{}", case.name);
            assert_eq!(holder.missed(), case.missed, "{}", case.name);
        }
    }
}

#[test]
fn a_store_that_went_back_changes_nothing_and_is_reported() {
    let mut holder = Holder::at(10, vec![record("a", 5, GOOD)]);
    holder.store(full(4, vec![]));
    assert_eq!(holder.cpu("a"), Some(500));
    let behind = Output::StoreBehind {
        store: Revision(4),
        local: Revision(10),
    };
    assert_eq!(holder.out, [behind]);
}

#[test]
fn a_bad_value_is_kept_out_and_the_last_good_one_stays() {
    let mut holder = Holder::at(10, vec![record("a", 5, GOOD)]);
    holder.store(delta(10, 11, vec![RecordChange::Put(record("a", 11, BAD))]));
    assert_eq!(holder.cpu("a"), Some(500));
    assert_eq!(holder.settings.invalid_count(), 1);
    assert!(matches!(&holder.out[0], Output::Invalid { key: k, .. } if *k == key("a")));
    let fixed = RecordChange::Put(record("a", 12, BETTER));
    holder.store(delta(11, 12, vec![fixed]));
    assert_eq!(holder.cpu("a"), Some(700));
    assert_eq!(holder.settings.invalid_count(), 0);
    holder.store(delta(12, 13, vec![RecordChange::Put(record("a", 13, BAD))]));
    holder.store(delta(13, 14, vec![delete("a", 14)]));
    assert_eq!(holder.cpu("a"), None);
    assert_eq!(holder.settings.invalid_count(), 0);
}

#[test]
fn a_value_from_before_a_deletion_does_not_come_back() {
    let mut holder = Holder::at(10, vec![record("a", 5, GOOD)]);
    let mut again = record("a", 12, BAD);
    again.created = Revision(12);
    holder.store(full(12, vec![again]));
    assert_eq!(holder.cpu("a"), None);
    holder.peer(full(11, vec![record("a", 5, GOOD)]));
    assert_eq!(holder.cpu("a"), None);
}

#[test]
fn a_new_holder_learns_the_last_good_value_from_a_peer() {
    let mut old = Holder::at(10, vec![record("a", 5, GOOD)]);
    old.store(delta(10, 11, vec![RecordChange::Put(record("a", 11, BAD))]));
    let known = old.settings.update_for(unknown(0), Scope::All);
    let older = full(10, vec![record("a", 5, GOOD)]);
    for update in [known, older] {
        let mut new = Holder::at(11, vec![record("a", 11, BAD)]);
        assert_eq!(new.cpu("a"), None);
        new.peer(update);
        assert_eq!(new.cpu("a"), Some(500));
        assert_eq!(new.settings.revision(), Revision(11));
        assert_eq!(new.settings.invalid_count(), 1);
    }
}

#[test]
fn a_start_during_an_outage_takes_the_highest_of_all_peers() {
    let newest = full(12, vec![record("a", 12, BETTER)]);
    let older = full(10, vec![record("a", 5, GOOD), record("b", 6, GOOD)]);
    for updates in [[&newest, &older], [&older, &newest]] {
        let mut holder = Holder::default();
        for update in updates {
            holder.peer(update.clone());
        }
        assert_eq!(holder.settings.revision(), Revision(12));
        assert_eq!((holder.cpu("a"), holder.cpu("b")), (Some(700), None));
        assert_eq!(holder.settings.confirmed_at(), None);
        holder.store(newest.clone());
        assert_eq!(holder.settings.confirmed_at(), Some(NOW));
    }
}

struct NewestCase {
    name: &'static str,
    revision: u64,
    changed: u64,
    count: u64,
    missed: bool,
    confirmed: bool,
}

#[test]
fn a_silent_watch_is_found_by_the_newest_revision_or_the_count() {
    let cases = [
        NewestCase {
            name: "nothing missed, other keys written",
            revision: 99,
            changed: 5,
            count: 1,
            missed: false,
            confirmed: true,
        },
        NewestCase {
            name: "a put missed",
            revision: 99,
            changed: 11,
            count: 1,
            missed: true,
            confirmed: false,
        },
        NewestCase {
            name: "a deletion missed",
            revision: 99,
            changed: 0,
            count: 0,
            missed: true,
            confirmed: false,
        },
        NewestCase {
            name: "a deletion and a put missed",
            revision: 99,
            changed: 12,
            count: 1,
            missed: true,
            confirmed: false,
        },
        NewestCase {
            name: "answer of a store that went back",
            revision: 4,
            changed: 4,
            count: 1,
            missed: false,
            confirmed: false,
        },
    ];
    let later = Time::from_secs(9);
    for case in cases {
        let mut holder = Holder::at(10, vec![record("a", 5, GOOD)]);
        let input = Input::StoreSummary {
            revision: Revision(case.revision),
            last_change: Revision(case.changed),
            count: case.count,
        };
        holder.settings.step(later, input, &mut holder.out);
        assert_eq!(holder.missed(), case.missed, "{}", case.name);
        let confirmed = holder.settings.confirmed_at() == Some(later);
        assert_eq!(confirmed, case.confirmed, "{}", case.name);
    }
}

#[test]
fn a_holder_hands_on_what_another_lacks() {
    let mut entry = Holder::at(10, vec![record("a", 5, GOOD), record("b", 6, GOOD)]);
    let mut agent = Holder::default();
    agent.peer(
        entry
            .settings
            .update_for(agent.settings.update_request(), Scope::All),
    );
    entry.store(delta(
        10,
        11,
        vec![RecordChange::Put(record("a", 11, BETTER))],
    ));
    entry.store(full(
        20,
        vec![record("a", 11, BETTER), record("c", 15, GOOD)],
    ));
    let lacking = entry
        .settings
        .update_for(agent.settings.update_request(), Scope::All);
    assert!(matches!(&lacking, Update::Delta { changes, .. } if changes.len() == 3));
    agent.peer(lacking);
    assert_eq!(agent.settings.view(), entry.settings.view());
    assert_eq!(agent.settings.revision(), Revision(20));
    let for_agents = entry.settings.update_for(unknown(0), Scope::Agents);
    assert_eq!(for_agents, full(20, vec![]));
}

#[test]
fn changes_that_are_no_longer_kept_cost_a_full_update() {
    let mut holder = Holder::at(1, vec![]);
    for revision in 2..6_000 {
        let put = RecordChange::Put(record("a", revision, GOOD));
        holder.store(delta(revision - 1, revision, vec![put]));
    }
    let near = holder.settings.update_for(unknown(5_990), Scope::All);
    assert!(matches!(near, Update::Delta { changes, .. } if changes.len() == 9));
    let far = holder.settings.update_for(unknown(10), Scope::All);
    assert!(matches!(far, Update::Full { records, .. } if records.len() == 1));
}

#[test]
fn any_order_loss_and_doubling_of_updates_leads_to_the_newest_state() {
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut entry = Holder::at(1, vec![]);
        let mut updates = Vec::new();
        for revision in 2..40 {
            let name = ["a", "b", "c"][rng.random_range(0..3)];
            let text = if rng.random_range(0..3) == 0 {
                BAD
            } else {
                GOOD
            };
            let mut put = record(name, revision, text);
            let known = entry.settings.held.get(&key(name));
            put.created = known.map_or(Revision(revision), |held| held.created);
            let change = match rng.random_range(0..4) {
                0 => delete(name, revision),
                _ => RecordChange::Put(put),
            };
            entry.store(delta(revision - 1, revision, vec![change]));
            let known = unknown(rng.random_range(0..revision));
            updates.push(entry.settings.update_for(known, Scope::All));
        }
        let mut agent = Holder::default();
        let mut last = Revision(0);
        for _ in 0..100 {
            let update = updates[rng.random_range(0..updates.len())].clone();
            agent.peer(update);
            assert!(agent.settings.revision() >= last, "seed {seed}");
            last = agent.settings.revision();
        }
        agent.peer(
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
fn hostile_paths_are_refused() {
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
fn an_unknown_key_under_the_prefix_is_counted_and_left_out() {
    let mut unknown = record("a", 5, GOOD);
    unknown.key = format!("{SETTINGS_PREFIX}demo/what");
    let holder = Holder::at(10, vec![unknown]);
    assert_eq!(holder.settings.invalid_count(), 1);
    assert_eq!(holder.settings.view(), &View::default());
}

struct AcceptCase {
    name: &'static str,
    path: SettingPath,
    text: &'static str,
    error: Option<&'static str>,
}

#[test]
fn a_change_is_checked_against_its_team() {
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
            name: "bad text",
            path: service,
            text: "[service]\ntarget = soon\n",
            error: Some("demo/services/echo: value \"soon\" of key \"target\""),
        },
    ];
    for case in cases {
        let team = [
            (quota.clone(), &b"[quota]\ncpu = 1000\n"[..]),
            (SettingPath::Batch(task("there")), BETTER.as_bytes()),
            (SettingPath::Batch(task("broken")), BAD.as_bytes()),
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
fn a_team_may_not_have_too_many_settings() {
    let path = |n: usize| SettingPath::Batch(task(&n.to_string()));
    let team = |count| (0..count).map(|n| (path(n), GOOD.as_bytes()));
    let new = path(MAX_TEAM_SETTINGS);
    let text = GOOD.as_bytes();
    assert!(check_change(&new, text, team(MAX_TEAM_SETTINGS - 1)).is_ok());
    assert!(check_change(&new, text, team(MAX_TEAM_SETTINGS)).is_err());
    assert!(check_change(&path(0), text, team(MAX_TEAM_SETTINGS)).is_ok());
}

#[test]
fn a_holder_that_lacks_nothing_is_sent_nothing_but_the_revision() {
    let records = || vec![record("a", 5, GOOD), record("b", 6, GOOD)];
    let agent = Holder::at(10, records());
    let entry = Holder::at(500, records());
    let answer = entry
        .settings
        .update_for(agent.settings.update_request(), Scope::All);
    assert_eq!(answer, delta(10, 500, vec![]));
    let changed = Holder::at(500, vec![record("a", 5, GOOD)]);
    let answer = changed
        .settings
        .update_for(agent.settings.update_request(), Scope::All);
    assert!(matches!(answer, Update::Full { .. }));
    let behind = Holder::at(9, vec![record("a", 5, GOOD)]);
    let answer = behind
        .settings
        .update_for(agent.settings.update_request(), Scope::All);
    assert_eq!(answer, delta(9, 9, vec![]));
    let lost = Holder::at(10, vec![record("a", 10, BAD)]);
    let answer = behind
        .settings
        .update_for(lost.settings.update_request(), Scope::All);
    assert_eq!(answer, full(9, vec![record("a", 5, GOOD)]));
}

#[test]
fn an_update_in_parts_is_put_together_as_it_was() {
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
        let mut whole = None;
        for part in parts {
            assert_eq!(whole, None);
            whole = assembler.push(part);
        }
        assert_eq!(whole, Some(update));
    }
}

#[test]
fn a_lost_doubled_or_crossed_part_yields_no_update() {
    let text = "#".repeat(60_000);
    let records: Vec<_> = (0..20)
        .map(|n| record(&n.to_string(), n + 1, &text))
        .collect();
    let parts = full(30, records.clone()).into_parts();
    let other = full(31, records).into_parts();
    let lost = [&parts[0], &parts[2]];
    let doubled = [&parts[0], &parts[0]];
    let crossed = [&parts[0], &other[1]];
    let late = [&parts[1], &parts[2]];
    for order in [lost, doubled, crossed, late] {
        let mut assembler = Assembler::default();
        let taken = order.into_iter().chain(&parts[3..]);
        assert!(taken.cloned().all(|part| assembler.push(part).is_none()));
    }
}
