//! Tests of the settings texts.

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
