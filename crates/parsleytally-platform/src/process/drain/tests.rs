//! Tests of the wait at shutdown, on paused time.

use super::*;

struct DrainCase {
    in_flight: usize,
    limit: Duration,
    left: usize,
}

#[tokio::test(start_paused = true)]
async fn a_drain_ends_with_the_last_request_or_at_its_limit() {
    let cases = [
        DrainCase {
            in_flight: 0,
            limit: Duration::from_secs(30),
            left: 0,
        },
        DrainCase {
            in_flight: 3,
            limit: Duration::from_secs(30),
            left: 0,
        },
        DrainCase {
            in_flight: 9,
            limit: STEP * 4,
            left: 5,
        },
    ];
    for case in cases {
        let start = Instant::now();
        // One request ends in each step.
        let in_flight = || {
            let steps = start.elapsed().as_millis() / STEP.as_millis();
            case.in_flight.saturating_sub(steps as usize)
        };
        assert_eq!(drain(in_flight, case.limit).await, case.left);
    }
}
