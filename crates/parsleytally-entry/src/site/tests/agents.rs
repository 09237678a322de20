//! Tests of the owner's link to an agent.

use std::time::Duration;

use parsleytally::jobs::{
    AgentMessage, OrderMessage, RefusalReason, RunRef, StartOrder, TaskId, WorkerIncarnation,
};
use parsleytally::types::Resources;
use parsleytally_link::{FRAME_LIMIT_BYTES, Frame, Role, accept};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::super::owner::OwnerInput;
use super::{JOB, agent_link, hello, link_config};

/// Longest wait for a frame or an input.
const WAIT: Duration = Duration::from_secs(30);

fn start(index: u32, bytes: usize) -> OrderMessage {
    let task = TaskId {
        job: JOB,
        round: 0,
        step: 0,
        index,
    };
    OrderMessage::Start(StartOrder {
        incarnation: WorkerIncarnation {
            id: "i-1".into(),
            started_ms: 1,
        },
        run: RunRef { task, run: 1 },
        payload: "x".repeat(bytes).into(),
        checkpoint: String::new(),
        target_ms: 0,
        best_effort: false,
        capacity: Resources::default(),
        zones_read: None,
    })
}

/// Guards against the loss of all orders of an agent, again with each link, once they exceed a
/// frame together or one does alone.
#[tokio::test]
async fn a_backlog_of_orders_reaches_the_agent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let (sender, mut inputs) = mpsc::channel(16);
    let owner = tokio::spawn(agent_link(&listener, sender).run());
    let (stream, _) = listener.accept().await.expect("a connection");
    let accepted = accept(stream, &hello(Role::Agent, "agent"), &link_config()).await;
    let (_agent, mut incoming) = accepted.expect("a link");
    let linked = timeout(WAIT, inputs.recv()).await;
    let Ok(Some(OwnerInput::Linked(_, orders))) = linked else {
        panic!("not linked: {linked:?}");
    };
    let mut batch: Vec<_> = (0..700).map(|index| start(index, 4_000)).collect();
    batch.insert(300, start(u32::MAX, FRAME_LIMIT_BYTES));
    orders.send(batch).expect("the link is open");
    let mut received = Vec::new();
    while received.len() < 700 {
        let frame = timeout(WAIT, incoming.next()).await.expect("a frame");
        let Some(Frame::JobOrders(orders)) = frame else {
            panic!("the link closed after {} orders", received.len());
        };
        received.extend(orders.into_iter().filter_map(|order| match order {
            OrderMessage::Start(start) => Some(start.run.task.index),
            _ => None,
        }));
    }
    assert!(received.into_iter().eq(0..700));
    let refused = timeout(WAIT, inputs.recv()).await;
    let Ok(Some(OwnerInput::Agent(_, messages))) = refused else {
        panic!("no refusal: {refused:?}");
    };
    let [AgentMessage::Refused { run, reason }] = messages[..] else {
        panic!("not a refusal: {messages:?}");
    };
    assert_eq!((run.task.index, reason), (u32::MAX, RefusalReason::Invalid));
    owner.abort();
}
