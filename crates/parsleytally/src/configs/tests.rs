//! Tests of the settings texts.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;

use super::options::ConfigOption;
use super::*;
use crate::types::Resources;

struct RefusalCase {
    text: &'static [u8],
    error: &'static str,
}

#[test]
fn a_bad_text_is_refused_with_section_key_and_reason() {
    let cases = [
        RefusalCase {
            text: b"[task]\ncpu = many\n",
            error: "value \"many\" of key \"cpu\" in section [task]: invalid digit found in string",
        },
        RefusalCase {
            text: b"[task]\ncolour = red\n",
            error: "key \"colour\" is not known in section [task]",
        },
        RefusalCase {
            text: b"[job]\ncpu = 1\n",
            error: "section [job] is not known here",
        },
        RefusalCase {
            text: b"cpu = 1\n",
            error: "section [] is not known here",
        },
        RefusalCase {
            text: b"[task]\ncpu = 1\ncpu = 2\n",
            error: "key \"cpu\" stands twice in section [task]",
        },
        RefusalCase {
            text: b"[task]\nclass = \xff\n",
            error: "settings are not UTF-8 text",
        },
    ];
    for case in cases {
        let error = BatchConfig::parse(case.text).unwrap_err();
        assert_eq!(error.to_string(), case.error);
    }
}

#[test]
fn a_truncated_section_and_an_oversized_text_are_refused() {
    assert!(matches!(
        BatchConfig::parse(b"[tas"),
        Err(ConfigError::Syntax { .. })
    ));
    let text = vec![b'#'; MAX_CONFIG_BYTES + 1];
    assert!(matches!(
        BatchConfig::parse(&text),
        Err(ConfigError::TooLarge { .. })
    ));
}

#[test]
fn an_empty_text_gives_the_defaults() {
    assert_eq!(BatchConfig::parse(b"").unwrap(), BatchConfig::default());
    assert_eq!(ServiceConfig::parse(b"").unwrap(), ServiceConfig::default());
    assert_eq!(QuotaConfig::parse(b"").unwrap(), QuotaConfig::default());
}

#[test]
fn units_are_read() {
    let text = b"[task]\ncpu = 500\nmemory = 2GiB\naccelerators = 1\nrun-time = 90s\n";
    let config = BatchConfig::parse(text).unwrap();
    assert_eq!(config.need, Resources::new(500, 2 << 30, 1));
    assert_eq!(config.run_time, std::time::Duration::from_secs(90));
}

#[test]
fn a_deployment_with_bad_thresholds_is_refused() {
    let cases = [
        RefusalCase {
            text: b"[reaction]\nlow = 0.9\nhigh = 0.8\n",
            error: "value \"0.9\" of key \"low\" in section [reaction]: \
                    expected less than high, 0.8",
        },
        RefusalCase {
            text: b"[weights]\nlatency = -1\n",
            error: "value \"-1\" of key \"latency\" in section [weights]: expected 0 to 1000",
        },
        RefusalCase {
            text: b"[weights]\nlatency = NaN\n",
            error: "value \"NaN\" of key \"latency\" in section [weights]: expected 0 to 1000",
        },
    ];
    for case in cases {
        let error = DeploymentConfig::parse(case.text).unwrap_err();
        assert_eq!(error.to_string(), case.error);
    }
    let empty = DeploymentConfig::parse(b"").unwrap();
    assert_eq!(empty, DeploymentConfig::default());
}

thread_local! {
    /// Keys that parsers on this thread have asked for, by section.
    static ASKED: RefCell<BTreeSet<(String, String)>> = RefCell::default();
}

/// Notes that a parser has asked for a key.
pub(super) fn note_asked(section: &str, key: &str) {
    let asked = (section.to_owned(), key.to_owned());
    ASKED.with_borrow_mut(|all| all.insert(asked));
}

struct OptionsCase {
    place: &'static str,
    options: Vec<ConfigOption>,
    /// Parses a text; whether it gives the defaults.
    is_default: fn(&[u8]) -> Result<bool, ConfigError>,
}

fn options_cases() -> [OptionsCase; 6] {
    let store = |text: &[u8]| {
        let mut document = Document::parse(text)?;
        let config = StoreConfig::take(&mut document)?;
        document.finish()?;
        Ok(config == StoreConfig::default())
    };
    [
        OptionsCase {
            place: "TEAM/services/NAME",
            options: options::service_options(),
            is_default: |text| Ok(ServiceConfig::parse(text)? == ServiceConfig::default()),
        },
        OptionsCase {
            place: "TEAM/batch/NAME",
            options: options::batch_options(),
            is_default: |text| Ok(BatchConfig::parse(text)? == BatchConfig::default()),
        },
        OptionsCase {
            place: "TEAM/quota",
            options: options::quota_options(),
            is_default: |text| Ok(QuotaConfig::parse(text)? == QuotaConfig::default()),
        },
        OptionsCase {
            place: "TEAM/token",
            options: options::token_options(),
            is_default: |text| match TokenConfig::parse(text) {
                Err(ConfigError::MissingKey { .. }) => Ok(true),
                other => Ok(other? == TokenConfig::default()),
            },
        },
        OptionsCase {
            place: "_deployment",
            options: options::deployment_options(),
            is_default: |text| Ok(DeploymentConfig::parse(text)? == DeploymentConfig::default()),
        },
        OptionsCase {
            place: "process, `[store]`",
            options: options::store_options(),
            is_default: store,
        },
    ]
}

/// A text with the default of every option that has one.
fn text_of(options: &[ConfigOption]) -> String {
    let mut text = String::new();
    let mut section = "";
    for option in options {
        let Some(default) = &option.default else {
            continue;
        };
        if option.section != section {
            section = option.section;
            text += &format!("[{section}]\n");
        }
        text += &format!("{} = {default}\n", option.key);
    }
    text
}

#[test]
fn the_options_are_those_that_the_parsers_know_with_their_defaults() {
    for case in options_cases() {
        ASKED.take();
        let text = text_of(&case.options);
        let is_default = (case.is_default)(text.as_bytes());
        assert_eq!(is_default, Ok(true), "{}: {text}", case.place);
        (case.is_default)(b"").unwrap();
        let mut asked = ASKED.take();
        if case.place == "TEAM/token" {
            // The parser stops at the required key.
            asked.insert(("token".to_owned(), "previous".to_owned()));
        }
        let listed = case.options.iter();
        let listed = listed.map(|o| (o.section.to_owned(), o.key.to_owned()));
        assert_eq!(listed.collect::<BTreeSet<_>>(), asked, "{}", case.place);
    }
}

#[test]
fn the_operators_page_lists_every_option() {
    let page = include_str!("../../../../docs/operators/settings.md");
    let mut rows = Vec::new();
    for case in options_cases() {
        rows.push(format!("### {}", case.place));
        for option in case.options {
            let default = option.default.as_deref();
            let default = default.map_or(String::new(), |text| format!("`{text}`"));
            rows.push(format!(
                "| `[{}] {}` | {default} | {} | {} |",
                option.section, option.key, option.unit, option.meaning
            ));
        }
    }
    let listed = page.lines();
    let listed = listed.filter(|line| line.starts_with("### ") || line.starts_with("| `["));
    assert_eq!(listed.collect::<Vec<_>>(), rows);
}

#[test]
fn values_out_of_bounds_are_refused() {
    let cases = [
        RefusalCase {
            text: b"[task]\ncpu = 0\n",
            error: "value \"0\" of key \"cpu\" in section [task]: expected at least 1",
        },
        RefusalCase {
            text: b"[task]\nrun-time = 0s\n",
            error: "value \"0s\" of key \"run-time\" in section [task]: \
                    expected more than 0 and at most 30days",
        },
        RefusalCase {
            text: b"[task]\nrun-time = 31days\n",
            error: "value \"31days\" of key \"run-time\" in section [task]: \
                    expected more than 0 and at most 30days",
        },
        RefusalCase {
            text: b"[task]\nclass = ../x\n",
            error: "value \"../x\" of key \"class\" in section [task]: \"../x\" is not a name: \
                    expected 1 to 63 of a-z, 0-9, '-', '_' and '.', starting with a letter or digit",
        },
    ];
    for case in cases {
        let error = BatchConfig::parse(case.text).unwrap_err();
        assert_eq!(error.to_string(), case.error);
    }
    let long = format!("[task]\ncommand = {}\n", "x".repeat(4_097));
    assert!(BatchConfig::parse(long.as_bytes()).is_err());
    assert!(ServiceConfig::parse(b"[service]\ntimeout = 0s\n").is_err());
    assert!(ServiceConfig::parse(b"[service]\ntarget = 2h\n").is_err());
    assert!(QuotaConfig::parse(b"[quota]\nweight = 0\n").is_err());
    assert!(TokenConfig::parse(b"[token]\nhash = 12\n").is_err());
}

#[test]
fn a_hold_time_without_room_for_a_lost_confirmation_is_refused() {
    let parse = |text: &[u8]| {
        let mut document = Document::parse(text).unwrap();
        OwnershipConfig::take(&mut document.take("ownership"))
    };
    let error = parse(b"[ownership]\nhold = 7s\n").unwrap_err();
    assert_eq!(
        error.to_string(),
        "value \"7s\" of key \"hold\" in section [ownership]: \
         it is shorter than 4 times the interval"
    );
    assert!(parse(b"[ownership]\nhold = 7s\ninterval = 1s\n").is_ok());
}

type ReadShares = (bool, u32, Option<u32>);

#[test]
fn shares_of_queues_are_read_or_refused_with_a_reason() {
    struct Case {
        text: &'static str,
        /// Whether runs may be preempted, and weight and quota of the queue `q`.
        expected: Result<Option<ReadShares>, &'static str>,
    }
    const EXPECTED: &str = "expected a weight, or a weight and a quota of 1% to 100%";
    let cases = [
        Case {
            text: "",
            expected: Ok(None),
        },
        Case {
            text: "[shares]\n",
            expected: Ok(Some((false, 1, None))),
        },
        Case {
            text: "[shares]\npreempt = true\nother = 7\n",
            expected: Ok(Some((true, 1, None))),
        },
        Case {
            text: "[shares]\nq = 3, 40%\n",
            expected: Ok(Some((false, 3, Some(40)))),
        },
        Case {
            text: "[shares]\nq = 0\n",
            expected: Err("expected at least 1"),
        },
        Case {
            text: "[shares]\nq = 1, 0%\n",
            expected: Err(EXPECTED),
        },
        Case {
            text: "[shares]\nq = 1, 101%\n",
            expected: Err(EXPECTED),
        },
        Case {
            text: "[shares]\nq = 1, 40\n",
            expected: Err(EXPECTED),
        },
        Case {
            text: "[shares]\npreempt = often\n",
            expected: Err("provided string was not `true` or `false`"),
        },
    ];
    for Case { text, expected } in cases {
        let mut document = Document::parse(text.as_bytes()).expect("INI");
        let read = SharesConfig::take(&mut document);
        let read = read.map(|config| {
            let config = config?;
            let share = config.share("q");
            Some((config.preempt, share.weight, share.quota_percent))
        });
        match (read, expected) {
            (Err(error), Err(reason)) => {
                assert!(error.to_string().ends_with(reason), "{text}: {error}");
            }
            (read, expected) => assert_eq!(read.ok(), expected.ok(), "{text}"),
        }
    }
}

struct VmCase {
    memory: &'static str,
    descriptors: &'static str,
    /// Connections, requests and bytes of the listener for clients.
    clients: (usize, usize, usize),
}

#[test]
fn limits_of_clients_follow_from_the_vm() {
    let cases = [
        VmCase {
            memory: "260MB",
            descriptors: "4100",
            clients: (1_950, 975, 65_000_000),
        },
        VmCase {
            memory: "160MB",
            descriptors: "4100",
            clients: (1_950, 975, 40_000_000),
        },
        VmCase {
            memory: "512MB",
            descriptors: "8192",
            clients: (3_996, 1_998, 128_000_000),
        },
    ];
    for case in cases {
        let text = format!(
            "[vm]\nmemory = {}\ndescriptors = {}\n",
            case.memory, case.descriptors
        );
        let mut document = Document::parse(text.as_bytes()).unwrap();
        let vm = VmConfig::take(&mut document.take("vm")).unwrap();
        let limits = HttpConfig::take(&mut document.take("clients"), &vm).unwrap();
        let (pages, probe) = (HttpConfig::of_pages(&vm), HttpConfig::of_probe(&vm));
        assert_eq!(
            (limits.connections, limits.requests, limits.memory),
            case.clients
        );
        // Descriptors for links and watches, and memory for the state of the jobs, are left.
        let sockets = limits.connections + limits.requests + pages.connections + probe.connections;
        assert!(sockets * 6 <= vm.descriptors * 5, "{sockets}");
        let memory = limits.memory + pages.memory + probe.memory;
        assert!(memory as u64 * 5 <= vm.memory.0 * 2, "{memory}");
    }
}

#[test]
fn limits_of_clients_can_be_set_within_bounds() {
    let vm = VmConfig::default();
    let take = |text: &str| {
        let mut document = Document::parse(format!("[clients]\n{text}\n").as_bytes()).unwrap();
        HttpConfig::take(&mut document.take("clients"), &vm)
    };
    let set = take("connections = 10\nmemory = 1MB\nhead = 16KiB\nsend-time = 5s").unwrap();
    assert_eq!(
        (set.connections, set.memory, set.head),
        (10, 1_000_000, 16 << 10)
    );
    assert_eq!(set.send_time, Duration::from_secs(5));
    for refused in [
        "connections = 0",
        "requests = 0",
        "memory = 1KB",
        "memory = 300MB",
        "head = 4KiB",
        "head = 2MiB",
        "head-time = 0s",
        "receive-time = 11m",
    ] {
        assert!(take(refused).is_err(), "{refused}");
    }
    for refused in ["memory = 1MB", "memory = much", "descriptors = 399"] {
        let mut document = Document::parse(format!("[vm]\n{refused}\n").as_bytes()).unwrap();
        assert!(
            VmConfig::take(&mut document.take("vm")).is_err(),
            "{refused}"
        );
    }
}
