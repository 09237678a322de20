//! The owner's link to one agent.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parsleytally::jobs::{AgentMessage, OrderMessage, RefusalReason, fencing};
use parsleytally::types::{Epoch, Time};
use parsleytally_link::{Batches, Frame, Hello, Incoming, Link, LinkConfig, batches, dial};
use parsleytally_platform::process::Clock;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::confirmation::LastConfirmation;
use super::messages::{AgentId, Orders, OwnerInput};

/// Pause before the next attempt to connect to the agent.
const DIAL_PAUSE: Duration = Duration::from_millis(200);
/// Same after another agent has answered: this one may follow it at the address, or be gone.
const OTHER_PAUSE: Duration = Duration::from_secs(2);

/// Connects the owner to one agent.
pub(super) struct AgentLink {
    pub(super) agent: AgentId,
    pub(super) address: SocketAddr,
    pub(super) epoch: Epoch,
    pub(super) hello: Hello,
    pub(super) config: LinkConfig,
    pub(super) confirmation: LastConfirmation,
    /// Clock of the ownership.
    pub(super) clock: Clock,
    /// Until when the answers to pings keep the runs of an agent alive that has not listed them.
    pub(super) support_end: Time,
    pub(super) owner: mpsc::Sender<OwnerInput>,
    /// Number of links that this ownership has opened, over all agents.
    pub(super) link_counter: Arc<AtomicU64>,
}

impl AgentLink {
    /// Connects to the agent, and again whenever the link is lost, another agent answers at the
    /// address or the owner drops the sender of its orders, until cancelled.
    pub(super) async fn run(self) {
        loop {
            match dial(self.address, &self.hello, &self.config).await {
                Ok((link, _)) if link.peer().node != self.agent.node => {
                    self.close_other(link).await;
                    sleep(OTHER_PAUSE).await;
                    continue;
                }
                Ok((link, incoming)) => {
                    let number = self.link_counter.fetch_add(1, Ordering::Relaxed) + 1;
                    self.serve(number, &link, incoming).await;
                    link.close();
                }
                Err(error) => {
                    log::debug!("connecting to agent {} failed: {error}", self.agent.node);
                }
            }
            sleep(DIAL_PAUSE).await;
        }
    }

    /// Closes a link to another agent, which now has the address.
    async fn close_other(&self, link: Link) {
        log::warn!(agent:% = self.agent.node, found:% = link.peer().node, address:% = self.address;
            "another agent answers at the address of an agent");
        link.close();
        let input = OwnerInput::OtherAgent(self.agent.clone());
        let _ = self.owner.send(input).await;
    }

    async fn serve(&self, link_number: u64, link: &Link, mut incoming: Incoming) {
        let Some(fencing_token) = fencing::link_token(self.epoch, link_number) else {
            log::warn!(epoch:% = self.epoch; "ending the epoch: its link numbers are used up");
            let _ = self.owner.send(OwnerInput::Replaced).await;
            return;
        };
        let begin = Frame::JobOrders(vec![OrderMessage::Begin { fencing_token }]);
        if link.send(begin).is_err() {
            return;
        }
        let (sender, orders) = mpsc::unbounded_channel();
        let mut orders = OrderFrames::new(orders);
        let linked = OwnerInput::Linked(self.agent.clone(), sender);
        if self.owner.send(linked).await.is_err() {
            return;
        }
        loop {
            tokio::select! {
                frame = incoming.next() => {
                    let Some(frame) = frame else { break };
                    if !self.handle_frame(link, frame).await {
                        break;
                    }
                }
                next = orders.next() => {
                    let Some(next) = next else { break };
                    if !self.send_orders(link, next).await {
                        break;
                    }
                }
            }
        }
        let unlinked = OwnerInput::Unlinked(self.agent.clone());
        let _ = self.owner.send(unlinked).await;
    }

    /// Sends a frame of orders; returns false once the link or the owner's channel is closed.
    async fn send_orders(&self, link: &Link, next: NextOrders) -> bool {
        match next {
            NextOrders::Frame(orders) => link.deliver(Frame::JobOrders(orders)).await.is_ok(),
            NextOrders::Oversized(orders) => self.refuse(orders).await,
        }
    }

    /// Refuses starts that no frame can carry, so that the owner does not wait for them; returns
    /// false once its channel is closed.
    async fn refuse(&self, orders: Orders) -> bool {
        let starts = orders.into_iter().filter_map(|order| match order {
            OrderMessage::Start(start) => Some(start.run),
            _ => None,
        });
        let mut refusals = Vec::new();
        for run in starts {
            log::error!(agent:% = self.agent.node, task:% = run.task, run = run.run;
                "start not sent: it exceeds the size of a frame");
            let reason = RefusalReason::Invalid;
            refusals.push(AgentMessage::Refused { run, reason });
        }
        let input = OwnerInput::Agent(self.agent.clone(), refusals);
        self.owner.send(input).await.is_ok()
    }

    fn pong(&self, sent: u64) -> Frame {
        let age = self.confirmation.age().as_micros();
        let now = self.clock.now();
        Frame::JobOrders(vec![OrderMessage::Pong {
            sent,
            confirmation_age: u64::try_from(age).unwrap_or(u64::MAX),
            owner_clock: now.as_micros(),
            supports: now < self.support_end,
        }])
    }

    /// Ends the ownership if the agent's token shows that a later one has begun.
    async fn superseded(&self, fencing_token: u64) {
        if !fencing::is_of_later_epoch(fencing_token, self.epoch) {
            return;
        }
        log::warn!(agent:% = self.agent.node, epoch:% = self.epoch, fencing_token;
            "a later owner has taken over an agent");
        let _ = self.owner.send(OwnerInput::Replaced).await;
    }

    /// Handles one frame of the agent; returns false once the link or the owner's channel is
    /// closed.
    async fn handle_frame(&self, link: &Link, frame: Frame) -> bool {
        let Frame::JobReports(messages) = frame else {
            log::warn!(agent:% = self.agent.node; "unexpected frame type from an agent");
            return true;
        };
        let mut reports = Vec::with_capacity(messages.len());
        for message in messages {
            match message {
                AgentMessage::Ping { sent } => {
                    if link.deliver(self.pong(sent)).await.is_err() {
                        return false;
                    }
                }
                AgentMessage::Superseded { fencing_token } => {
                    self.superseded(fencing_token).await;
                    return false;
                }
                message => reports.push(message),
            }
        }
        if reports.is_empty() {
            return true;
        }
        let input = OwnerInput::Agent(self.agent.clone(), reports);
        self.owner.send(input).await.is_ok()
    }
}

/// The next orders for an agent.
enum NextOrders {
    /// Orders of one frame.
    Frame(Orders),
    /// Orders that no frame can carry.
    Oversized(Orders),
}

/// The orders for an agent in frames of bounded size.
struct OrderFrames {
    orders: mpsc::UnboundedReceiver<Orders>,
    ready: VecDeque<NextOrders>,
}

impl OrderFrames {
    fn new(orders: mpsc::UnboundedReceiver<Orders>) -> Self {
        let ready = VecDeque::new();
        Self { orders, ready }
    }

    /// The next orders; `None` once the owner has dropped the sender. Nothing is lost if this is
    /// cancelled.
    async fn next(&mut self) -> Option<NextOrders> {
        while self.ready.is_empty() {
            let Batches { frames, oversized } = batches(self.orders.recv().await?);
            self.ready.extend(frames.into_iter().map(NextOrders::Frame));
            if !oversized.is_empty() {
                self.ready.push_back(NextOrders::Oversized(oversized));
            }
        }
        self.ready.pop_front()
    }
}
