//! The cases 6 to 10 of the review: `stand-ins-2 CASE`, run from the repository's root. Exits with 1
//! if the rule was broken, 0 if it held, and 2 if the case could not run.

use std::process::ExitCode;

mod case_10;
mod case_6;
mod case_7;
mod case_8;
mod http;
mod json;
mod record;
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
    let verdict = match case.as_str() {
        "6" => case_6::run(trouble),
        "7" => case_7::run(trouble),
        "8" => case_8::run(trouble),
        "10" => case_10::run(trouble),
        _ => Verdict::NotRun,
    };
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::NotRun => ExitCode::from(2),
    }
}
