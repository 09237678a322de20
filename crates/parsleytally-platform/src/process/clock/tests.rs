//! Tests of the clock.

use std::time::{Duration, Instant};

use super::{BootTime, Clock};

#[test]
fn the_clock_goes_on_and_never_back() {
    let (clock, began, boot) = (Clock::start(), Instant::now(), BootTime::now());
    let mut last = clock.now();
    for _ in 0..20 {
        std::thread::sleep(Duration::from_millis(1));
        let now = clock.now();
        assert!(now > last);
        last = now;
    }
    // The resolution of the two clocks may differ.
    let slept = began.elapsed().saturating_sub(Duration::from_millis(1));
    assert!(boot.elapsed() >= slept);
}
