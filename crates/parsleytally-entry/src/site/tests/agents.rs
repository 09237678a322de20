//! Tests of the owner's link to an agent.

use std::sync::Arc;
use std::time::Duration;

use parsleytally::jobs::{
    AgentMessage, OrderMessage, RefusalReason, RunRef, StartOrder, TaskId, WorkerIncarnation,
};
use parsleytally::types::{NodeName, Resources};
use parsleytally_link::{FRAME_LIMIT_BYTES, Frame, Incoming, Link, Role, accept};
use parsleytally_platform::process::BootTime;
use parsleytally_platform::store::{Commit, MemoryStore, Store, Write};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::super::keys;
use super::super::messages::OwnerInput;
use super::super::owner::Ownership;
use super::owner::{context, owner, write_epoch};
use super::{JOB, agent_link, hello, link_config};

/// Time in which an owner that keeps connecting does so several times.
const SEVERAL_DIALS: Duration = Duration::from_millis(800);
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

/// An agent that accepts links, and the first frame of the link: none if the owner closes it.
async fn accept_agent(listener: &TcpListener, name: &str) -> (Link, Incoming, Option<Frame>) {
    let (stream, _) = listener.accept().await.expect("a connection");
    let accepted = accept(stream, &hello(Role::Agent, name), &link_config()).await;
    let (link, mut incoming) = accepted.expect("a link");
    let first = timeout(WAIT, incoming.next())
        .await
        .expect("a frame or an end");
    (link, incoming, first)
}

async fn publish(store: &MemoryStore, name: &str, listener: &TcpListener) {
    let node = NodeName::new(name).expect("a valid name");
    let address = listener.local_addr().expect("an address");
    let put = Write::Put {
        key: keys::agent(&node),
        value: address.to_string().into_bytes(),
        lease: None,
    };
    let commit = Commit {
        compares: Vec::new(),
        writes: vec![put],
    };
    store.commit(commit).await.expect("the store answers");
}

/// Guards against a link under the name of an agent whose address another one has now: both names
/// were linked in turn, and each link stopped what the other had started.
#[tokio::test]
async fn an_agent_is_linked_under_its_own_name_only() {
    let store = Arc::new(MemoryStore::new());
    let since = write_epoch(&store).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let moved = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    publish(&store, "former", &listener).await;
    publish(&store, "present", &listener).await;
    let ownership = Ownership::start(context(store.clone()), owner(), since, BootTime::now());
    let mut linked = Vec::new();
    for _ in 0..2 {
        let (link, incoming, first) = accept_agent(&listener, "present").await;
        if first.is_some() {
            linked.push((link, incoming));
        }
    }
    assert_eq!(linked.len(), 1, "names that are linked");
    let again = timeout(SEVERAL_DIALS, listener.accept()).await;
    assert!(again.is_err(), "the owner connects again");
    publish(&store, "former", &listener).await;
    let (_, _, first) = accept_agent(&listener, "present").await;
    assert!(first.is_none(), "linked under the former name: {first:?}");
    publish(&store, "former", &moved).await;
    let (_link, _incoming, first) = accept_agent(&moved, "former").await;
    assert!(
        first.is_some(),
        "the former agent lives again and is not linked"
    );
    assert!(
        !linked[0].0.is_closed(),
        "the link to the present agent is lost"
    );
    ownership.close().await;
}

/// Guards against LOST: an agent at whose address another one had answered was not dialed again, so its
/// worker stayed unused for as long as the owner lived.
#[tokio::test]
async fn an_agent_is_dialed_again_after_another_one_has_answered() {
    let store = Arc::new(MemoryStore::new());
    let since = write_epoch(&store).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    publish(&store, "present", &listener).await;
    let ownership = Ownership::start(context(store.clone()), owner(), since, BootTime::now());
    let (_, _, first) = accept_agent(&listener, "former").await;
    assert!(first.is_none(), "linked under another name: {first:?}");
    let again = timeout(WAIT, accept_agent(&listener, "present")).await;
    let (link, _incoming, first) = again.expect("the owner dials again");
    assert!(first.is_some(), "the owner closes the link");
    // Its link stays, also when it writes its address again.
    publish(&store, "present", &listener).await;
    let further = timeout(SEVERAL_DIALS, listener.accept()).await;
    assert!(further.is_err(), "the owner dials a linked agent");
    assert!(!link.is_closed());
    ownership.close().await;
}
