//! Ids, stored records and queue lookup.

use super::*;

#[test]
fn valid_task_ids_are_parsed_and_others_refused() {
    struct Case {
        text: &'static str,
        valid: bool,
    }
    let cases = [
        Case {
            text: "5c0e7a21d94b36f8.0.1.17",
            valid: true,
        },
        Case {
            text: "5c0e7a21d94b36f8.0.1",
            valid: false,
        },
        Case {
            text: "5c0e7a21d94b36f8.0.1.17.2",
            valid: false,
        },
        Case {
            text: "5C0E7A21D94B36F8.0.1.17",
            valid: false,
        },
        Case {
            text: "5c0e7a21d94b36f.0.1.17",
            valid: false,
        },
        Case {
            text: "5c0e7a21d94b36f8.0.70000.17",
            valid: false,
        },
        Case {
            text: "+c0e7a21d94b36f8.0.1.17",
            valid: false,
        },
        Case {
            text: "",
            valid: false,
        },
    ];
    for case in cases {
        let parsed = case.text.parse::<TaskId>();
        assert_eq!(parsed.is_ok(), case.valid, "{:?}", case.text);
        if let Ok(task) = parsed {
            assert_eq!(task.to_string(), case.text);
        }
    }
}

#[test]
fn stored_records_are_decoded_and_others_refused() {
    let record = job(vec![step(3, &[]), step(2, &[0])]);
    let bytes = record.encode();
    assert_eq!(JobRecord::decode(&bytes).expect("a valid record"), record);
    for cut in 0..bytes.len() {
        assert!(JobRecord::decode(&bytes[..cut]).is_err(), "cut at {cut}");
    }
    let mut later = bytes;
    later[0] += 1;
    let error = JobRecord::decode(&later).expect_err("a later version");
    assert!(error.to_string().contains("version 2"), "{error}");
}

#[test]
fn progress_stores_done_tasks_as_index_ranges() {
    let mut progress = StepProgress::default();
    for index in [0, 1, 2, 5, 6, 9] {
        progress.push_done(index);
    }
    assert_eq!(progress.done_ranges, [(0, 2), (5, 6), (9, 9)]);
    let job_progress = JobProgress {
        state: JobState::Running,
        steps: vec![progress],
    };
    assert_eq!(
        JobProgress::decode(&job_progress.encode()).expect("a valid record"),
        job_progress
    );
}

#[test]
fn malformed_job_specs_are_invalid() {
    struct Case {
        what: &'static str,
        steps: Vec<StepSpec>,
        valid: bool,
    }
    let cases = [
        Case {
            what: "two dependent steps",
            steps: vec![step(1, &[]), step(1, &[0])],
            valid: true,
        },
        Case {
            what: "no step",
            steps: vec![],
            valid: false,
        },
        Case {
            what: "no task",
            steps: vec![step(0, &[])],
            valid: false,
        },
        Case {
            what: "a step that depends on itself",
            steps: vec![step(1, &[0])],
            valid: false,
        },
        Case {
            what: "a step that depends on a later one",
            steps: vec![step(1, &[1]), step(1, &[])],
            valid: false,
        },
    ];
    for case in cases {
        assert_eq!(job(case.steps).spec.is_valid(), case.valid, "{}", case.what);
    }
}

#[test]
fn queue_with_the_longest_matching_prefix_is_found() {
    let queue = |name: &str, prefix: &str| {
        let mut queue = queue();
        queue.name = QueueName(name.into());
        queue.prefix = prefix.to_owned();
        queue
    };
    let table = QueueTable::new(1, 0, vec![queue("a", "/q/"), queue("b", "/q/x/")]);
    let found = |host, path| {
        let found = table.find(host, path);
        found.map(|(queue, rest)| (queue.name.to_string(), rest.to_owned()))
    };
    assert_eq!(found("h", "/q/x/1"), Some(("b".to_owned(), "1".to_owned())));
    assert_eq!(found("h", "/q/1"), Some(("a".to_owned(), "1".to_owned())));
    assert_eq!(found("h", "/r/1"), None);
    assert_eq!(found("other", "/q/1"), None);
}
