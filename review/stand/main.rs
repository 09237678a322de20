//! Cases of the independent review that are shown by a script: `stand CASE FOLDER`.
//!
//! A case exits with 1 if the rule was broken, 0 if it held and 2 if it could not run. With
//! `TROUBLE=0` in the environment it does the same without the disruption.

mod cases;
mod http;
mod json;
mod record;
mod store;
mod system;
mod worker;

use std::path::Path;
use std::process::ExitCode;

use cases::Outcome;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: stand CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = Path::new(&folder);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let run = || cases::run(&name, trouble, folder);
    let outcome = std::panic::catch_unwind(run);
    let outcome = outcome.unwrap_or_else(|_| Err("the script itself failed".to_owned()));
    match outcome {
        Ok(Outcome::Held) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Outcome::Broken) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Err(reason) => {
            println!("the case could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
