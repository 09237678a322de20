//! Lists of messages in bounded frames, which keep their order.

use parsleytally::jobs::{JobId, OrderMessage, RunRef, StartOrder, TaskId, WorkerIncarnation};
use parsleytally::types::Resources;
use tokio::time::timeout;

use super::{LONG_TIMEOUT, link_pair};
use crate::{FRAME_LIMIT_BYTES, Frame, MESSAGE_LIMIT_BYTES, batches, encoded_bytes};

fn run(index: u32) -> RunRef {
    let task = TaskId {
        job: JobId(1),
        round: 0,
        step: 0,
        index,
    };
    RunRef { task, run: 1 }
}

fn start(index: u32, spec_bytes: usize) -> OrderMessage {
    OrderMessage::Start(StartOrder {
        incarnation: WorkerIncarnation {
            id: "i-7f3a91c2".into(),
            started_ms: 1,
        },
        run: run(index),
        payload: "x".repeat(spec_bytes).into(),
        checkpoint: String::new(),
        target_ms: 0,
        best_effort: false,
        capacity: Resources::new(16_000, 1 << 36, 0),
        zones_read: None,
    })
}

fn index_of(order: &OrderMessage) -> u32 {
    match order {
        OrderMessage::Start(start) => start.run.task.index,
        OrderMessage::Stop(run) => run.task.index,
        other => panic!("unexpected order: {other:?}"),
    }
}

/// Guards against the loss of all starts once more than a frame of them waits for one agent,
/// and against a stop that passes the start that it is for.
#[tokio::test]
async fn a_backlog_of_orders_arrives_in_order() {
    struct Case {
        name: &'static str,
        orders: Vec<OrderMessage>,
    }
    let specs = |bytes: usize, count| (0..count).map(|i| start(i, bytes)).collect();
    let cases = [
        Case {
            name: "more than 2 MiB of specs of 4,000 bytes",
            orders: specs(4_000, 600),
        },
        Case {
            name: "more than the channel holds",
            orders: specs(4_000, 1_500),
        },
        Case {
            name: "stops behind starts of several chunks",
            orders: (0..200)
                .map(|i| match i % 2 {
                    0 => start(i, 200 << 10),
                    _ => OrderMessage::Stop(run(i)),
                })
                .collect(),
        },
    ];
    for Case { name, orders } in cases {
        let ((owner, _reports), (_agent, mut received)) = link_pair().await;
        let count = orders.len();
        let send = async {
            for frame in batches(orders).frames {
                owner.deliver(Frame::JobOrders(frame)).await.expect(name);
            }
        };
        let receive = async {
            let mut indexes = Vec::new();
            while indexes.len() < count {
                let frame = timeout(LONG_TIMEOUT, received.next()).await.expect(name);
                let Some(Frame::JobOrders(orders)) = frame else {
                    panic!("{name}: {frame:?}");
                };
                indexes.extend(orders.iter().map(index_of));
            }
            indexes
        };
        let ((), indexes) = tokio::join!(send, receive);
        assert!(indexes.into_iter().eq(0..count as u32), "{name}");
    }
}

/// Guards against a message that no frame can carry and that closes each link in turn.
#[test]
fn each_batch_fits_a_frame_and_the_order_is_kept() {
    let overhead = encoded_bytes(&start(0, 1 << 20)) - (1 << 20);
    let largest = MESSAGE_LIMIT_BYTES - overhead;
    let mut seed = 11_u64;
    let mut draw = move |below: usize| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (seed >> 33) as usize % below
    };
    for _ in 0..60 {
        let sizes = [0, 1, 4_000, 65_000, 65_536, largest, largest + 1];
        let orders: Vec<OrderMessage> = (0..draw(60) as u32)
            .map(|i| start(i, sizes[draw(sizes.len())]))
            .collect();
        let split = batches(orders.clone());
        for frame in &split.frames {
            assert!(!frame.is_empty());
            let size = encoded_bytes(&Frame::JobOrders(frame.clone()));
            assert!(size <= FRAME_LIMIT_BYTES, "{size}");
        }
        let is_sent = |order: &&OrderMessage| encoded_bytes(*order) <= MESSAGE_LIMIT_BYTES;
        let (sent, left): (Vec<_>, Vec<_>) = orders.iter().partition(is_sent);
        assert!(split.frames.iter().flatten().eq(sent));
        assert!(split.oversized.iter().eq(left));
    }
}
