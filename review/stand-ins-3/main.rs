//! Stand-ins of the third review: `stand CASE FOLDER` plays a case, writes `record.txt` into the
//! folder, and ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod http;
mod json;
mod record;
mod store;
mod system;
mod worker;

use std::path::Path;
use std::sync::Arc;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("stand CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match record::Record::new(&Path::new(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("record.txt: {error}");
            std::process::exit(2);
        }
    };
    let verdict = cases::play(case, &record, trouble);
    let (text, code) = match &verdict {
        Ok(None) => ("held".to_owned(), 0),
        Ok(Some(broken)) => (format!("broken: {broken}"), 1),
        Err(reason) => (format!("could not run: {reason}"), 2),
    };
    record.note(format!("result: {text}"));
    println!("{text}");
    std::process::exit(code);
}
