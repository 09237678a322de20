//! The owner's link to one agent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parsleytally::jobs::{AgentMessage, OrderMessage, fencing};
use parsleytally::types::{Epoch, NodeName, Time};
use parsleytally_link::{Frame, Hello, Incoming, Link, LinkConfig, dial};
use parsleytally_platform::process::Clock;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::confirmation::LastConfirmation;
use super::owner::OwnerInput;

/// Pause before the next attempt to connect to the agent.
const DIAL_PAUSE: Duration = Duration::from_millis(200);

/// Orders for one agent.
pub(super) type Orders = Vec<OrderMessage>;

/// An agent, and the number of the task that links the owner to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AgentId {
    pub(crate) node: NodeName,
    pub(crate) dialer: u64,
}

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
    /// Connects to the agent, and again whenever the link is lost or the owner drops the sender
    /// of its orders, until cancelled.
    pub(super) async fn run(self) {
        loop {
            match dial(self.address, &self.hello, &self.config).await {
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
        let (sender, mut orders) = mpsc::unbounded_channel();
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
                messages = orders.recv() => {
                    let Some(messages) = messages else { break };
                    if link.deliver(Frame::JobOrders(messages)).await.is_err() {
                        break;
                    }
                }
            }
        }
        let unlinked = OwnerInput::Unlinked(self.agent.clone());
        let _ = self.owner.send(unlinked).await;
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
