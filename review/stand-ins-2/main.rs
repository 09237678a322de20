//! The scripts of the review, cases 6 and 10 and two more: `stand-ins-2 NAME`, run from the repository's root. Exits with 1
//! if the rule was broken, 0 if it held, and 2 if the case could not run.

use std::process::ExitCode;

mod case_10;
mod case_6;
mod http;
mod json;
mod record;
mod repeated;
mod steps;
mod store;
mod worker;
mod world;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run = || match case.as_str() {
        "6" => case_6::run(trouble),
        "repeated" => repeated::run(trouble),
        "steps" => steps::run(trouble),
        "10" => case_10::run(trouble),
        _ => Verdict::NotRun,
    };
    // A panic of the script itself, as where a file is missing, shows nothing of the software.
    match std::panic::catch_unwind(run).unwrap_or(Verdict::NotRun) {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::NotRun => ExitCode::from(2),
    }
}
