//! Tests of the agent's actor and of the deployed configuration template.

mod registration;
mod reports;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parsleytally::jobs::{
    CallError, JobId, Listing, OrderMessage, PollCall, RunRef, StartCall, StopCall, TaskId,
    ThrottleCall,
};
use parsleytally::types::{Epoch, Incarnation, NodeName, ZoneName};
use parsleytally_link::{Frame, Hello, Role, dial};
use parsleytally_platform::jobs::{JobFuture, TaskHost};
use parsleytally_platform::store::MemoryStore;
use tokio::net::TcpListener;
use tokio::time::timeout;

use super::Site;
use super::config::SiteConfig;

/// Longest time for a link to close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Raises that fit below the number of a link.
const RAISES: u32 = (1 << 12) - 1;

/// A worker that answers nothing.
struct SilentHost;

impl TaskHost for SilentHost {
    fn poll(&self, _: PollCall) -> JobFuture<'_, Result<Listing, CallError>> {
        Box::pin(async { Err(CallError::Unanswered) })
    }

    fn start<'a>(&'a self, _: &'a StartCall) -> JobFuture<'a, Result<(), CallError>> {
        Box::pin(async { Err(CallError::Unanswered) })
    }

    fn stop(&self, _: StopCall) -> JobFuture<'_, Result<(), CallError>> {
        Box::pin(async { Err(CallError::Unanswered) })
    }

    fn throttle(&self, _: ThrottleCall) -> JobFuture<'_, Result<(), CallError>> {
        Box::pin(async { Err(CallError::Unanswered) })
    }
}

/// Stop order of a run that the agent does not know, after which it raises its token.
fn stop_order(index: u32) -> OrderMessage {
    let task = TaskId {
        job: JobId(1),
        round: 0,
        step: 0,
        index,
    };
    OrderMessage::Stop(RunRef { task, run: 1 })
}

/// Guards against a token that is raised to those of later links: after a restart of the agent,
/// its worker refuses it, or carries out an earlier order after the first listing.
#[tokio::test]
async fn the_link_closes_before_its_raises_reach_the_next_link() {
    let links = free_address().await;
    let config = config(links);
    let host = Arc::new(SilentHost);
    let site = Site::start(&config, Arc::new(MemoryStore::new()), host).await;
    let site = site.expect("the address is free");
    let node = NodeName::new("owner").expect("a valid name");
    let zone = ZoneName::new("a").expect("a valid name");
    let hello = Hello::new(Role::Entry, node, zone, Incarnation(1));
    let linked = dial(links, &hello, &config.link).await;
    let (link, mut incoming) = linked.expect("a link");
    let fencing_token = (Epoch(3).0 + 1) << 32 | 7 << 12;
    let mut orders = vec![OrderMessage::Begin { fencing_token }];
    orders.extend((0..RAISES / 2 + 1).map(stop_order));
    link.send(Frame::JobOrders(orders))
        .expect("the link is open");
    let closed = timeout(CLOSE_TIMEOUT, async {
        while incoming.next().await.is_some() {}
    });
    assert!(closed.await.is_ok(), "the link stays open");
    site.close().await;
}

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let address = listener.expect("a free port").local_addr();
    address.expect("an address")
}

/// The deployed template with this address for links.
fn config(links: SocketAddr) -> SiteConfig {
    let template = include_str!("../../../../deploy/agent.ini");
    let text = template
        .replace("{{#bounds.evacuate_ms}}\n", "")
        .replace("{{/bounds.evacuate_ms}}\n", "")
        .replace("{{bounds.evacuate_ms}}", "5000")
        .replace("{{node}}", "side-a-1")
        .replace("{{zone}}", "a")
        .replace("{{listen.control}}", "127.0.0.1:8166")
        .replace("{{ip}}", &links.ip().to_string())
        .replace("{{internal_ports.0}}", &links.port().to_string())
        .replace("{{app}}", "127.0.0.1:8165")
        .replace("{{limits.memory_mb}}", "128")
        .replace("{{limits.max_fds}}", "4096")
        .replace("{{bounds.hold_max_ms}}", "6000")
        .replace("{{platform.address}}", "127.0.0.1:8169");
    SiteConfig::parse(text.as_bytes()).expect("the template is valid")
}

#[test]
fn the_deployed_template_is_accepted() {
    let config = config("127.0.0.1:7720".parse().expect("an address"));
    let limit = config
        .base
        .evacuation
        .map(|evacuation| evacuation.age_limit());
    assert_eq!(limit, Some(Duration::from_secs(3)));
    assert_eq!(
        (config.worker.port(), config.reports.port()),
        (8_165, 8_166)
    );
}
