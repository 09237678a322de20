//! Tests of the agent's configuration.

use super::*;

const VALID: &str = "\
[agent]
name = worker-1
zone = a
rack = a1
entries = 127.0.0.1:1, 127.0.0.1:2
[endpoint]
team = demo
service = echo
address = 127.0.0.1:9000
[worker]
cpu = 16000
memory = 60GB
[link]
key = 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff
";

struct RefusalCase {
    from: &'static str,
    to: &'static str,
    error: &'static str,
}

#[test]
fn a_valid_configuration_is_accepted() {
    let config = AgentConfig::parse(VALID.as_bytes()).unwrap();
    assert_eq!(config.entries.len(), 2);
    assert_eq!(config.endpoint.limits.slots, 8);
    assert_eq!(config.endpoint.limits.connections, 64);
    assert_eq!(config.capacity, Resources::new(16_000, 60_000_000_000, 0));
}

#[test]
fn an_invalid_configuration_is_refused() {
    let cases = [
        RefusalCase {
            from: "name = worker-1\n",
            to: "",
            error: "key \"name\" is missing in section [agent]",
        },
        RefusalCase {
            from: "127.0.0.1:2",
            to: "nowhere",
            error: "value \"127.0.0.1:1, nowhere\" of key \"entries\" in section [agent]: \
                    invalid socket address syntax",
        },
        RefusalCase {
            from: "cpu = 16000",
            to: "cpus = 16000",
            error: "key \"cpu\" is missing in section [worker]",
        },
        RefusalCase {
            from: "[link]\nkey = 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n",
            to: "",
            error: "key \"key\" is missing in section [link]",
        },
        RefusalCase {
            from: "[worker]",
            to: "[wroker]\n[worker]",
            error: "section [wroker] is not known here",
        },
    ];
    for case in cases {
        let text = VALID.replace(case.from, case.to);
        let error = AgentConfig::parse(text.as_bytes()).unwrap_err();
        assert_eq!(error.to_string(), case.error);
    }
}
