//! A repeated job all of whose rounds are due at once.

use std::time::{Duration, Instant};

use parsleytally::jobs::Input;

use crate::fleet::Fleet;
use crate::load::Load;
use crate::{BATCH, BATCHES_PER_TICK};

/// Simulated time.
const PLAYED: Duration = Duration::from_secs(5);

/// Needs of the tasks, in thousandths of a processor.
const NEEDS: [(&str, u64); 2] = [("fits", 690), ("fits nowhere", 1_000_000)];

/// Prints what a job of so many rounds costs the owner of `workers`.
pub(crate) fn play(workers: usize, rounds: usize) {
    for (name, cpu) in NEEDS {
        let mut fleet = Fleet::new(workers);
        let job = Load::new(workers, 1.0).rounds(fleet.now(), rounds, cpu);
        let mut inputs = vec![job];
        let (mut busy, mut longest, mut starts) = (Duration::ZERO, Duration::ZERO, 0);
        let batches = PLAYED.as_millis() / BATCH.as_millis();
        for batch in 0..u32::try_from(batches).expect("a small number") {
            if batch % BATCHES_PER_TICK == 0 {
                inputs.push(Input::Confirmed(fleet.now()));
                inputs.push(Input::Tick);
            }
            let began = Instant::now();
            let outputs = fleet.decide(inputs);
            let elapsed = began.elapsed();
            busy += elapsed;
            longest = longest.max(elapsed);
            starts += fleet.carry_out(&outputs);
            inputs = fleet.advance(BATCH);
        }
        println!(
            "workers {workers}, rounds {rounds}, {name}: busy {:.1}% longest batch {:.1} ms starts {starts}",
            100.0 * busy.as_secs_f64() / PLAYED.as_secs_f64(),
            longest.as_secs_f64() * 1e3,
        );
    }
}
