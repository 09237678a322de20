//! Admission of requests and their hand-over to the endpoint.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use fastrace::Span;
use fastrace::collector::SpanContext;
use fastrace::future::FutureExt;
use parsleytally::types::ServiceKey;
use parsleytally_link::{Failure, Frame, Heartbeat, Link, Refusal, Request};
use parsleytally_platform::process::spans;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use crate::config::EndpointConfig;
use crate::endpoint::{Endpoint, EndpointError};
use crate::metrics::Metrics;

/// Requests of all links on their way to the endpoint.
pub(crate) struct Requests {
    service: ServiceKey,
    endpoint: Endpoint,
    slots: Arc<Semaphore>,
    busy: AtomicU32,
    leaving: AtomicBool,
    metrics: Metrics,
}

impl Requests {
    pub(crate) fn new(config: &EndpointConfig, metrics: Metrics) -> Result<Self, EndpointError> {
        Ok(Self {
            service: config.service.clone(),
            endpoint: Endpoint::new(config.address, config.connections)?,
            slots: Arc::new(Semaphore::new(config.slots as usize)),
            busy: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            metrics,
        })
    }

    /// Refuses every new request from now on.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// The current load.
    pub(crate) fn load(&self) -> Heartbeat {
        Heartbeat {
            busy: self.busy.load(Ordering::SeqCst),
            leaving: self.leaving.load(Ordering::SeqCst),
        }
    }

    /// Serves `request` and sends what became of it on `link`.
    pub(crate) async fn serve(&self, request: Request, link: &Link) {
        let id = request.id;
        let span = Span::root("agent.request", spans::context(Some(&request.trace)));
        let outcome = match self.admit(&request.service) {
            Ok(slot) => self.hand_over(&request, slot, &span).await,
            Err(reason) => Frame::Refused(Refusal { id, reason }),
        };
        self.metrics
            .requests
            .with_label_values(&[name(&outcome)])
            .inc();
        if let Err(error) = link.send(outcome) {
            log::debug!("outcome of request {id} was not sent: {error}");
        }
    }

    fn admit(&self, service: &ServiceKey) -> Result<OwnedSemaphorePermit, String> {
        if self.leaving.load(Ordering::SeqCst) {
            return Err("endpoint is leaving".to_owned());
        }
        if *service != self.service {
            return Err(format!("service {service} is not here"));
        }
        let slot = self.slots.clone().try_acquire_owned();
        slot.map_err(|_| "all slots are busy".to_owned())
    }

    async fn hand_over(&self, request: &Request, slot: OwnedSemaphorePermit, span: &Span) -> Frame {
        let id = request.id;
        let limit = Duration::from_micros(request.timeout);
        let hop = Span::enter_with_parent("agent.endpoint", span);
        let trace = SpanContext::from_span(&hop)
            .map(|context| context.encode_w3c_traceparent())
            .unwrap_or_default();
        let _busy = Busy::enter(self);
        let call = self.endpoint.call(request, &trace, limit).in_span(hop);
        let outcome = timeout(limit, call).await;
        drop(slot);
        match outcome {
            Ok(Ok(answer)) => Frame::Answer(answer),
            Ok(Err(error)) if error.is_not_run() => {
                let reason = error.to_string();
                Frame::Refused(Refusal { id, reason })
            }
            Ok(Err(error)) => {
                let reason = error.to_string();
                Frame::Failed(Failure {
                    id,
                    reason,
                    late: false,
                })
            }
            Err(_) => {
                let reason = "endpoint did not answer in time".to_owned();
                Frame::Failed(Failure {
                    id,
                    reason,
                    late: true,
                })
            }
        }
    }
}

/// Counts a request as in service while it lives.
struct Busy<'a>(&'a Requests);

impl<'a> Busy<'a> {
    fn enter(requests: &'a Requests) -> Self {
        requests.busy.fetch_add(1, Ordering::SeqCst);
        requests.metrics.busy.inc();
        Self(requests)
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, Ordering::SeqCst);
        self.0.metrics.busy.dec();
    }
}

fn name(outcome: &Frame) -> &'static str {
    match outcome {
        Frame::Answer(_) => "answered",
        Frame::Refused(_) => "refused",
        _ => "failed",
    }
}
