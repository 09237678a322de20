//! Tests of the limit of open handshakes.

use super::*;

fn entered(handshakes: &Handshakes, count: usize) -> Vec<(u64, CancellationToken)> {
    (0..count).map(|_| handshakes.open().enter()).collect()
}

#[test]
fn the_oldest_connection_makes_room_for_the_next() {
    let handshakes = Handshakes::default();
    let first = entered(&handshakes, MAX_HANDSHAKES);
    assert!(first.iter().all(|(_, closed)| !closed.is_cancelled()));
    entered(&handshakes, 3);
    let closed = first.iter().filter(|(_, closed)| closed.is_cancelled());
    let closed: Vec<u64> = closed.map(|(number, _)| *number).collect();
    assert_eq!(closed, [1, 2, 3]);
    assert_eq!(handshakes.open().waiting.len(), MAX_HANDSHAKES);
}

#[test]
fn a_connection_that_ends_gives_its_place_back() {
    let handshakes = Handshakes::default();
    let (number, oldest) = handshakes.open().enter();
    let ended = Entered {
        all: &handshakes,
        number,
    };
    let others = entered(&handshakes, MAX_HANDSHAKES - 1);
    drop(ended);
    entered(&handshakes, 1);
    assert!(!oldest.is_cancelled());
    assert!(others.iter().all(|(_, closed)| !closed.is_cancelled()));
}
