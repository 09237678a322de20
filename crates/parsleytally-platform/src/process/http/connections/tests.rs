//! Tests of the account of a listener, on paused time.

use tokio::time::advance;

use super::*;

/// Limits in which `connections` fit with `kib` beside their fixed part.
fn limits(connections: usize, kib: usize) -> HttpConfig {
    HttpConfig {
        connections,
        requests: 2,
        memory: connections * CONNECTION_BYTES + (kib << 10),
        head: 8 << 10,
        ..HttpConfig::default()
    }
}

fn account(connections: usize, kib: usize) -> Arc<Connections> {
    let limits = limits(connections, kib);
    let metrics = HttpMetrics::unregistered();
    Arc::new(Connections::new("test", limits, metrics))
}

fn is_closed(connection: &Connection) -> bool {
    connection.closed.is_cancelled()
}

/// A connection when another one needs room.
#[derive(Debug, Clone, Copy)]
struct Client {
    /// Bytes of its body.
    held: usize,
    /// Milliseconds since its request began.
    age_ms: u64,
    phase: Phase,
}

struct RoomCase {
    name: &'static str,
    clients: [Client; 2],
    /// Which of them is closed for the newcomer.
    closed: Option<usize>,
}

fn client(held: usize, age_ms: u64, phase: Phase) -> Client {
    Client {
        held,
        age_ms,
        phase,
    }
}

fn play(client: Client, connection: &Connection) {
    connection.received(1).unwrap();
    connection.expects_body();
    connection.charge(client.held).unwrap();
    match client.phase {
        Phase::Answering => connection.received_whole().unwrap(),
        Phase::Sending => connection.answered(client.held).unwrap(),
        Phase::Idle | Phase::Head | Phase::Body => {}
    }
}

#[tokio::test(start_paused = true)]
async fn the_costliest_client_that_is_waited_for_makes_room() {
    let cases = [
        RoomCase {
            name: "more memory",
            clients: [
                client(9_000, 100, Phase::Body),
                client(90_000, 100, Phase::Body),
            ],
            closed: Some(1),
        },
        RoomCase {
            name: "a longer wait",
            clients: [
                client(9_000, 3_000, Phase::Body),
                client(9_000, 100, Phase::Body),
            ],
            closed: Some(0),
        },
        RoomCase {
            name: "a long wait with little memory against a short one with more",
            clients: [
                client(1_000, 5_000, Phase::Body),
                client(60_000, 100, Phase::Body),
            ],
            closed: Some(0),
        },
        RoomCase {
            name: "a request that is answered stays",
            clients: [
                client(90_000, 3_000, Phase::Answering),
                client(9, 1, Phase::Body),
            ],
            closed: Some(1),
        },
        RoomCase {
            name: "an answer that is on its way stays",
            clients: [
                client(90_000, 3_000, Phase::Sending),
                client(9, 1, Phase::Body),
            ],
            closed: Some(1),
        },
        RoomCase {
            name: "all are answered",
            clients: [
                client(9_000, 10, Phase::Answering),
                client(9_000, 1, Phase::Answering),
            ],
            closed: None,
        },
    ];
    for case in cases {
        let all = account(2, 256);
        let oldest = case.clients.iter().map(|client| client.age_ms).max();
        let mut connections = [None, None];
        for age in (0..=oldest.unwrap()).rev() {
            for (client, connection) in case.clients.iter().zip(&mut connections) {
                if client.age_ms == age {
                    let opened = all.open().unwrap();
                    play(*client, &opened);
                    *connection = Some(opened);
                }
            }
            advance(Duration::from_millis(1)).await;
        }
        let newcomer = all.open();
        assert_eq!(newcomer.is_some(), case.closed.is_some(), "{}", case.name);
        for (number, connection) in connections.iter().flatten().enumerate() {
            let expected = case.closed == Some(number);
            assert_eq!(is_closed(connection), expected, "{}: {number}", case.name);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn an_unread_answer_can_be_closed() {
    let all = account(1, 64);
    let client = all.open().unwrap();
    client.received_whole().unwrap();
    client.answered(1_000).unwrap();
    client.write_blocked();
    assert!(all.open().is_some());
    assert!(is_closed(&client));
}

#[tokio::test(start_paused = true)]
async fn all_that_was_charged_is_given_back() {
    let all = account(4, 256);
    let held = || all.state().bytes;
    let client = all.open().unwrap();
    assert_eq!(held(), CONNECTION_BYTES);
    for _ in 0..3 {
        client.received(100).unwrap();
        client.expects_body();
        client.charge(50_000).unwrap();
        client.received_whole().unwrap();
        client.charge(9_000).unwrap();
        assert_eq!(held(), CONNECTION_BYTES + 59_000);
        client.answered(700).unwrap();
        assert_eq!(held(), CONNECTION_BYTES + 700);
        client.flushed();
        assert_eq!(held(), CONNECTION_BYTES);
        assert_eq!(all.state().requests, 0);
    }
    client.received(SMALL_REQUEST_BYTES + 1).unwrap();
    let large = CONNECTION_BYTES + LARGE_BUFFERS * all.limits.head;
    assert_eq!(held(), large);
    client.received(90_000).unwrap();
    assert_eq!(held(), large);
    drop(client);
    assert_eq!(held(), 0);
    assert!(all.state().open.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_closed_connection_is_charged_no_more() {
    let all = account(1, 64);
    let client = all.open().unwrap();
    let other = all.open().unwrap();
    assert!(is_closed(&client));
    assert_eq!(client.charge(10), Err(Refusal::Closed));
    assert_eq!(client.received(10), Err(Refusal::Closed));
    assert_eq!(client.received_whole(), Err(Refusal::Closed));
    assert_eq!(client.answered(10), Err(Refusal::Closed));
    client.flushed();
    drop(client);
    assert_eq!(all.state().bytes, CONNECTION_BYTES);
    drop(other);
    assert_eq!(all.state().bytes, 0);
}

#[tokio::test(start_paused = true)]
async fn refusals_tell_whether_another_try_can_help() {
    let all = account(3, 64);
    let clients: Vec<_> = (0..3).map(|_| all.open().unwrap()).collect();
    clients[0].received_whole().unwrap();
    clients[1].received_whole().unwrap();
    assert_eq!(clients[2].received_whole(), Err(Refusal::Requests));
    clients[1].charge(40 << 10).unwrap();
    // The third connection is closed first; then nothing is left that waits for its client.
    assert_eq!(clients[0].charge(100 << 10), Err(Refusal::Memory));
    assert!(is_closed(&clients[2]));
    assert_eq!(clients[0].charge(all.limits.memory), Err(Refusal::TooLarge));
    assert_eq!(Refusal::TooLarge.retry_after(), None);
    assert!(Refusal::Memory.retry_after().is_some());
    clients[1].answered(0).unwrap();
    assert_eq!(clients[0].charge(60 << 10), Ok(()));
}

struct OverdueCase {
    phase: Phase,
    limit: Option<Limit>,
}

#[tokio::test(start_paused = true)]
async fn clients_have_a_time_for_each_part() {
    let cases = [
        OverdueCase {
            phase: Phase::Idle,
            limit: None,
        },
        OverdueCase {
            phase: Phase::Head,
            limit: Some(Limit::HeadTime),
        },
        OverdueCase {
            phase: Phase::Body,
            limit: Some(Limit::ReceiveTime),
        },
        OverdueCase {
            phase: Phase::Answering,
            limit: None,
        },
        OverdueCase {
            phase: Phase::Sending,
            limit: Some(Limit::SendTime),
        },
    ];
    for case in cases {
        let all = account(1, 64);
        let client = all.open().unwrap();
        if let Some(held) = all.state().open.get_mut(&client.id) {
            held.phase = case.phase;
        }
        all.state().requests += usize::from(case.phase == Phase::Answering);
        all.sweep();
        assert!(!is_closed(&client), "{:?}", case.phase);
        advance(Duration::from_secs(31)).await;
        let overdue = all.state().open[&client.id].overdue(&all.limits, Instant::now());
        assert_eq!(overdue, case.limit);
        all.sweep();
        assert_eq!(is_closed(&client), case.limit.is_some(), "{:?}", case.phase);
    }
}

#[tokio::test(start_paused = true)]
async fn a_crowd_makes_one_line_a_limit_and_second() {
    let mut log = LimitLog::default();
    let mut lines = Vec::new();
    for _ in 0..2_500 {
        log.note(Limit::Memory);
        lines.extend(log.take_due(Instant::now()));
        advance(Duration::from_millis(1)).await;
    }
    advance(Duration::from_secs(1)).await;
    lines.extend(log.take_due(Instant::now()));
    let counts: Vec<u64> = lines.iter().map(|(_, count)| *count).collect();
    assert_eq!(counts, [1, 1_000, 1_000, 499]);
    assert_eq!(log.take_due(Instant::now()), []);
}
