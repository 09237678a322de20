//! Tests of the entry's settings.

use super::*;

struct RefusalCase {
    text: &'static str,
    error: &'static str,
}

/// Adds the required link key to `text`.
fn with_link_key(text: &str) -> String {
    format!("{text}[link]\nkey = {}\n", "0".repeat(64))
}

#[test]
fn the_link_key_is_required() {
    let error = EntryConfig::parse(b"[entry]\nname = e1\nzone = a\n").unwrap_err();
    let expected = "key \"key\" is missing in section [link]";
    assert_eq!(error.to_string(), expected);
}

#[test]
fn defaults_apply_and_invalid_settings_are_refused() {
    let config =
        EntryConfig::parse(with_link_key("[entry]\nname = e1\nzone = a\n").as_bytes()).unwrap();
    assert_eq!(config.callers.port(), 8080);
    let cases = [
        RefusalCase {
            text: "[entry]\nzone = a\n",
            error: "key \"name\" is missing in section [entry]",
        },
        RefusalCase {
            text: "[entry]\nname = E1\nzone = a\n",
            error: "value \"E1\" of key \"name\" in section [entry]: \"E1\" is not a name: \
                    expected 1 to 63 of a-z, 0-9, '-', '_' and '.', starting with a letter or digit",
        },
        RefusalCase {
            text: "[entry]\nname = e1\nzone = a\ngrace = soon\n",
            error: "value \"soon\" of key \"grace\" in section [entry]: expected number at 0",
        },
    ];
    for case in cases {
        let error = EntryConfig::parse(with_link_key(case.text).as_bytes()).unwrap_err();
        assert_eq!(error.to_string(), case.error);
    }
}
