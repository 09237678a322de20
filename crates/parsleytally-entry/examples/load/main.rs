//! Callers' traffic at one or several entries, with every answer checked.
//!
//! `cargo run --release --example load -- --rate 2000 --requests 20000` starts a
//! system in this process; `--callers` and `--endpoints` name a running one.
//! Arrivals are open-loop, and latency counts from the time a request was due.
//! The exit code is 1 when a promise broke: an answer that is not the request's
//! own, a "not run" that ran, a booking that is doubled or lost.
//!
//! Faults of a system in this process, `--faults kill@4,restart@7`: an agent is
//! killed, leaves or comes back; the open links go silent while new ones work;
//! one endpoint is slow, or fast again.

mod caller;
mod options;
mod relay;
mod report;
mod system;
mod traffic;

use std::process::ExitCode;

use tokio::runtime::{Builder, Runtime};
use tokio::sync::mpsc;

use caller::Caller;
use options::Options;
use report::Report;
use system::System;

type Failure = Box<dyn std::error::Error + Send + Sync>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let options = match Options::parse(&arguments) {
        Ok(options) => options,
        Err(text) => {
            eprintln!("{text}");
            return ExitCode::from(2);
        }
    };
    match run(&options) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

/// Runs the load; `false` if a promise broke.
fn run(options: &Options) -> Result<bool, Failure> {
    // Two runtimes, so that callers do not wait for the system's threads.
    let inside = runtime()?;
    let outside = runtime()?;
    let (callers, endpoints) = if options.callers.is_empty() {
        let system = inside.block_on(System::start(options))?;
        let addresses = (system.callers(), system.endpoints());
        inside.spawn(cause_faults(system, options.clone()));
        addresses
    } else {
        (options.callers.clone(), options.endpoints.clone())
    };
    let caller = Caller::new()?;
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let collector = outside.spawn(async move {
        let mut report = Report::new();
        while let Some(ended) = receiver.recv().await {
            report.add(ended);
        }
        report
    });
    let handle = outside.handle();
    let paced = traffic::pace(
        options,
        callers,
        endpoints.clone(),
        &caller,
        handle,
        &sender,
    );
    drop(sender);
    let mut report = outside.block_on(collector)?;
    outside.block_on(report.check(&caller, &endpoints));
    report.print(&paced);
    if options.json {
        println!("{}", report.json(&paced));
    }
    Ok(report.is_good())
}

fn runtime() -> std::io::Result<Runtime> {
    Builder::new_multi_thread().enable_all().build()
}

/// Switches the faults in at their times and keeps the system alive.
async fn cause_faults(mut system: System, options: Options) {
    let start = tokio::time::Instant::now();
    for (fault, at) in options.faults {
        tokio::time::sleep_until(start + at).await;
        eprintln!("fault: {fault:?}");
        if let Err(error) = system.cause(fault).await {
            eprintln!("fault {fault:?} failed: {error}");
        }
    }
    std::future::pending::<()>().await;
}
