//! Weighs both sides of the hold time on a simple model of a day.
//!
//! A long hold time lets work go on through longer outages of the store; a short
//! one starts the work of a dead worker elsewhere sooner. The model counts task
//! seconds without progress, on an average day, for several hold times. The rates
//! of deaths follow the sizes in `docs/CAPACITY.md`; the outages are assumptions,
//! to be replaced by a deployment's own record.

const TASKS: f64 = 75_000.0;
const WORKERS: f64 = 3_000.0;
const STARTS_PER_SECOND: f64 = 180.0;
const DAYS_PER_YEAR: f64 = 365.0;

/// Workers that die on a day without an agent that comes back to tell.
const DEATHS_PER_DAY: f64 = 20.0;
/// Zones that are lost in a year, and the zones.
const ZONE_LOSSES_PER_YEAR: f64 = 4.0;
const ZONES: f64 = 30.0;

/// Outages of the store of one length.
struct Outage {
    seconds: f64,
    per_year: f64,
}

const OUTAGES: [Outage; 6] = [
    Outage {
        seconds: 5.0,
        per_year: 300.0,
    },
    Outage {
        seconds: 20.0,
        per_year: 100.0,
    },
    Outage {
        seconds: 45.0,
        per_year: 50.0,
    },
    Outage {
        seconds: 110.0,
        per_year: 24.0,
    },
    Outage {
        seconds: 600.0,
        per_year: 6.0,
    },
    Outage {
        seconds: 3_600.0,
        per_year: 2.0,
    },
];

/// Task seconds a day that wait for the deadlines of dead workers.
fn lost(hold: f64) -> f64 {
    let zones = ZONE_LOSSES_PER_YEAR / DAYS_PER_YEAR * WORKERS / ZONES;
    (DEATHS_PER_DAY + zones) * TASKS / WORKERS * hold
}

/// Task seconds a day that are paused by outages: the rest of each outage that is
/// longer than `hold`, and the mean wait until all tasks were started again.
fn paused(hold: f64) -> f64 {
    let ramp = TASKS / STARTS_PER_SECOND / 2.0;
    let long = OUTAGES.iter().filter(|outage| outage.seconds > hold);
    let cost = long.map(|o| o.per_year / DAYS_PER_YEAR * TASKS * (o.seconds - hold + ramp));
    cost.sum()
}

fn main() {
    println!("task seconds without progress on an average day");
    println!(
        "{:>7} {:>14} {:>14} {:>14} {:>9}",
        "hold s", "dead workers", "store outages", "together", "of work"
    );
    for hold in [15.0, 30.0, 60.0, 120.0, 180.0, 300.0, 600.0, 1_200.0] {
        let sum = lost(hold) + paused(hold);
        println!(
            "{hold:>7} {:>14.0} {:>14.0} {sum:>14.0} {:>8.4}%",
            lost(hold),
            paused(hold),
            sum / (TASKS * 86_400.0) * 100.0
        );
    }
}
