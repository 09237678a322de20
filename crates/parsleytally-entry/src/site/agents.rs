//! The owner's link to one agent.

use std::net::SocketAddr;
use std::time::Duration;

use parsleytally::jobs::{AgentMessage, OrderMessage};
use parsleytally::types::{Epoch, NodeName};
use parsleytally_link::{Frame, Hello, Incoming, Link, LinkConfig, dial};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::owner::{Confirmed, OwnerInput};

/// Pause between two attempts to link.
const DIAL_PAUSE: Duration = Duration::from_millis(200);
/// Bits of a fence below the owner's number.
const EPOCH_SHIFT: u32 = 32;
/// Bits of a fence below the number of the link; agents count there.
const LINK_SHIFT: u32 = 12;

/// Messages for one agent.
pub(super) type Orders = Vec<OrderMessage>;

/// How an agent is reached.
pub(super) struct AgentLink {
    pub(super) node: NodeName,
    pub(super) address: SocketAddr,
    pub(super) epoch: Epoch,
    pub(super) hello: Hello,
    pub(super) config: LinkConfig,
    pub(super) confirmed: Confirmed,
    pub(super) owner: mpsc::Sender<OwnerInput>,
}

impl AgentLink {
    /// Keeps a link to the agent until it is cancelled.
    pub(super) async fn keep(self) {
        let mut number = 0;
        loop {
            match dial(self.address, &self.hello, &self.config).await {
                Ok((link, incoming)) => {
                    number += 1;
                    self.serve(number, &link, incoming).await;
                    link.close();
                }
                Err(error) => log::debug!("agent {} is not linked: {error}", self.node),
            }
            sleep(DIAL_PAUSE).await;
        }
    }

    async fn serve(&self, number: u64, link: &Link, mut incoming: Incoming) {
        let fence = ((self.epoch.0 + 1) << EPOCH_SHIFT) | (number << LINK_SHIFT);
        let begin = Frame::JobOrders(vec![OrderMessage::Begin {
            fencing_token: fence,
        }]);
        if link.send(begin).is_err() {
            return;
        }
        let (sender, mut orders) = mpsc::unbounded_channel();
        let linked = OwnerInput::Linked(self.node.clone(), sender);
        if self.owner.send(linked).await.is_err() {
            return;
        }
        loop {
            tokio::select! {
                frame = incoming.next() => {
                    let Some(frame) = frame else { break };
                    if !self.take(link, frame).await {
                        break;
                    }
                }
                Some(messages) = orders.recv() => {
                    if link.deliver(Frame::JobOrders(messages)).await.is_err() {
                        break;
                    }
                }
            }
        }
        let _ = self
            .owner
            .send(OwnerInput::Unlinked(self.node.clone()))
            .await;
    }

    /// Takes one frame of the agent; false once the link is of no use.
    async fn take(&self, link: &Link, frame: Frame) -> bool {
        let Frame::JobReports(messages) = frame else {
            log::warn!(agent:% = self.node; "agent sent a frame that agents do not send");
            return true;
        };
        let mut news = Vec::with_capacity(messages.len());
        for message in messages {
            if let AgentMessage::Ping { sent } = message {
                let age = u64::try_from(self.confirmed.age().as_micros()).unwrap_or(u64::MAX);
                let pong = Frame::JobOrders(vec![OrderMessage::Pong {
                    sent,
                    confirmation_age: age,
                }]);
                if link.deliver(pong).await.is_err() {
                    return false;
                }
            } else {
                news.push(message);
            }
        }
        if news.is_empty() {
            return true;
        }
        let input = OwnerInput::Agent(self.node.clone(), news);
        self.owner.send(input).await.is_ok()
    }
}
