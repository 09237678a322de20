//! Replays recorded traces against a policy and its baselines.
//!
//! `cargo run --release --example replay -- TRACE.. --policy P --seed S`

mod driver;
mod ours;
mod outcomes;
mod policy;
mod results;
mod simple;
mod trace;
mod world;

use std::process::ExitCode;

use parsleytally::configs::DeploymentConfig;

use ours::Ours;
use policy::Policy;
use results::{Results, Row, print_head, print_row};
use simple::{Choice, Simple};
use trace::{Event, Record};

/// All policies, the baselines first.
const POLICIES: [&str; 4] = ["first-fit", "least-loaded", "no-learning", "ours"];

/// What the command line asks for.
struct Args {
    traces: Vec<String>,
    policies: Vec<String>,
    seeds: Vec<u64>,
    json: bool,
}

fn parse_args() -> Result<Option<Args>, String> {
    let mut options = getopts::Options::new();
    let policies = POLICIES.join(", ");
    options.optopt(
        "",
        "policy",
        &format!("one of {policies}, or all (default)"),
        "P",
    );
    options.optopt(
        "",
        "seed",
        "seed of measurements and candidates (default 1)",
        "S",
    );
    options.optopt(
        "",
        "seeds",
        "number of seeds, from --seed on (default 1)",
        "N",
    );
    options.optflag("", "json", "print JSON lines instead of a table");
    options.optflag("h", "help", "print this help");
    let matches = options
        .parse(std::env::args().skip(1))
        .map_err(|e| e.to_string())?;
    if matches.opt_present("help") {
        println!("{}", options.usage("usage: replay TRACE.. [options]"));
        return Ok(None);
    }
    if matches.free.is_empty() {
        return Err("no trace given".to_owned());
    }
    let policy = matches
        .opt_str("policy")
        .unwrap_or_else(|| "all".to_owned());
    let policies = match policy.as_str() {
        "all" => POLICIES.map(str::to_owned).to_vec(),
        known if POLICIES.contains(&known) => vec![policy],
        _ => return Err(format!("policy {policy:?} is not one of {policies}")),
    };
    let first = matches
        .opt_get_default("seed", 1_u64)
        .map_err(|e| e.to_string())?;
    let count = matches
        .opt_get_default("seeds", 1_u64)
        .map_err(|e| e.to_string())?;
    Ok(Some(Args {
        traces: matches.free.clone(),
        policies,
        seeds: (first..first + count).collect(),
        json: matches.opt_present("json"),
    }))
}

fn deployment(records: &[Record]) -> Result<DeploymentConfig, String> {
    let Some(Event::Trace(header)) = records.first().map(|r| &r.event) else {
        return Err("the first record is not about the trace".to_owned());
    };
    let text: &[u8] = match header.deployment.as_str() {
        "orgonahang" => include_bytes!("../../../../examples/orgonahang.ini"),
        "sonoro" => include_bytes!("../../../../examples/sonoro.ini"),
        other => return Err(format!("deployment {other:?} is not known")),
    };
    DeploymentConfig::parse(text).map_err(|e| e.to_string())
}

fn make(policy: &str, config: &DeploymentConfig, seed: u64) -> Box<dyn Policy> {
    match policy {
        "first-fit" => Box::new(Simple::new(Choice::First)),
        "least-loaded" => Box::new(Simple::new(Choice::LeastLoaded)),
        "no-learning" => Box::new(Ours::new(false, config.clone(), seed)),
        _ => Box::new(Ours::new(true, config.clone(), seed)),
    }
}

fn run(args: &Args) -> Result<bool, String> {
    let outcomes = outcomes::read()?;
    let mut sums: Vec<(String, u64, Results)> = Vec::new();
    let mut sound = true;
    if !args.json {
        print_head();
    }
    for path in &args.traces {
        let records = trace::read(path)?;
        let config = deployment(&records)?;
        let name = std::path::Path::new(path).file_stem().unwrap_or_default();
        let name = name.to_string_lossy().into_owned();
        for policy in &args.policies {
            for seed in &args.seeds {
                let fresh = || make(policy, &config, *seed);
                let results = driver::replay(&records, &fresh, *seed)?;
                let row = results.row(&name, policy, *seed);
                print(args, &row);
                for missed in outcomes::missed(&outcomes, &row, trace::sick_tasks(&records)) {
                    sound = false;
                    eprintln!("{name}, {policy}, seed {seed}: {missed}");
                }
                add(&mut sums, policy, *seed, results);
            }
        }
    }
    for (policy, seed, results) in &sums {
        let row = results.row("all traces", policy, *seed);
        print(args, &row);
    }
    if !args.json && args.policies.len() == POLICIES.len() {
        compare(&sums, args);
    }
    Ok(sound)
}

fn print(args: &Args, row: &Row) {
    if args.json {
        println!(
            "{}",
            serde_json::to_string(row).expect("a row is valid JSON")
        );
    } else {
        print_row(row);
    }
}

fn add(sums: &mut Vec<(String, u64, Results)>, policy: &str, seed: u64, results: Results) {
    let known = sums.iter_mut().find(|(p, s, _)| p == policy && *s == seed);
    match known {
        Some((_, _, sum)) => sum.add(&results),
        None => sums.push((policy.to_owned(), seed, results)),
    }
}

/// Prints every policy over all traces, as the lowest and highest over the seeds.
fn compare(sums: &[(String, u64, Results)], args: &Args) {
    let rows = sums.iter().map(|(p, s, r)| r.row("all traces", p, *s));
    let rows = rows.collect::<Vec<_>>();
    println!(
        "\nall traces, {} seeds, lowest to highest:",
        args.seeds.len()
    );
    for policy in POLICIES {
        let of = |f: fn(&Row) -> f64| {
            let values = rows.iter().filter(|row| row.policy == policy).map(f);
            spread(values)
        };
        println!(
            "  {policy:<14} within target {}, cpuh/h {}, evictions {}, lost cpuh {}",
            of(|row| row.within),
            of(|row| row.throughput),
            of(|row| row.taken_out as f64),
            of(|row| row.lost),
        );
    }
    for baseline in &POLICIES[..3] {
        let ours = rows.iter().filter(|row| row.policy == "ours");
        let ratios = ours.filter_map(|row| {
            let same = |b: &&Row| b.policy == *baseline && b.seed == row.seed;
            let other = rows.iter().find(same)?;
            Some(row.throughput / other.throughput)
        });
        println!("  ours over {baseline}: throughput {}", spread(ratios));
    }
}

fn spread(values: impl Iterator<Item = f64>) -> String {
    let ends = values.fold(
        (f64::INFINITY, f64::NEG_INFINITY),
        |(least, most), value| (least.min(value), most.max(value)),
    );
    format!("{:.4} to {:.4}", ends.0, ends.1)
}

fn main() -> ExitCode {
    let outcome = parse_args().and_then(|args| args.as_ref().map_or(Ok(true), run));
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("a stated outcome was missed");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
