//! Command line of the agent's binary.

use std::process::{Command, Output};

fn agent(arguments: &[&str]) -> Output {
    let binary = env!("CARGO_BIN_EXE_parsleytally-agent");
    Command::new(binary).args(arguments).output().unwrap()
}

#[test]
fn help_names_the_settings_option() {
    let output = agent(&["--help"]);
    assert!(output.status.success(), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stdout).contains("--config"));
}

#[test]
fn check_accepts_or_refuses_a_settings_file() {
    struct Case {
        name: &'static str,
        text: &'static str,
        /// What standard error contains; none if the file is accepted.
        refusal: Option<&'static str>,
    }
    let cases = [
        Case {
            name: "site",
            text: "[site]\nname = a-1\nzone = a\nlinks = 127.0.0.1:1\nreports = 127.0.0.1:2\n\
                   worker = 127.0.0.1:3\nstore = 127.0.0.1:4\n[link]\nkey = \
                   00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n",
            refusal: None,
        },
        Case {
            name: "missing",
            text: "[site]\nname = a-1\nzone = a\n",
            refusal: Some("links"),
        },
        Case {
            name: "unknown",
            text: "[site]\nname = a-1\nzone = a\nlinks = 127.0.0.1:1\nreports = 127.0.0.1:2\n\
                   worker = 127.0.0.1:3\nstore = 127.0.0.1:4\ncolour = red\n[link]\nkey = \
                   00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n",
            refusal: Some("colour"),
        },
    ];
    for case in cases {
        let folder = env!("CARGO_TARGET_TMPDIR");
        let path = format!("{folder}/agent-{}-{}.ini", case.name, std::process::id());
        std::fs::write(&path, case.text).unwrap();
        let output = agent(&["--config", &path, "--check"]);
        std::fs::remove_file(&path).unwrap();
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.success(), case.refusal.is_none(), "{error}");
        assert!(error.contains(case.refusal.unwrap_or_default()), "{error}");
    }
}
