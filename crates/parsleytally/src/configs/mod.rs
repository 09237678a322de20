//! Settings of operators, one file per kind.
//!
//! Every kind is a plain struct whose `Default` is the documented default. A text
//! is parsed as INI and refused whole on the first problem, with section, key and
//! reason; unknown sections and keys are problems.

mod admission;
mod batch;
mod check;
mod deployment;
mod estimates;
mod evacuation;
mod health;
mod http;
mod ini;
mod interference;
mod jobs;
mod limits;
mod membership;
mod once;
pub mod options;
mod ownership;
mod placement;
mod quota;
mod retry;
mod routing;
mod service;
mod shares;
mod store;
mod token;
mod workers;

pub use admission::AdmissionConfig;
pub use batch::BatchConfig;
pub use deployment::{DeploymentConfig, ReactionConfig};
pub use estimates::EstimatesConfig;
pub use evacuation::EvacuationConfig;
pub use health::HealthConfig;
pub use http::{HttpConfig, VmConfig};
pub use ini::{ConfigError, Document, Section};
pub use interference::InterferenceConfig;
pub use jobs::{BestEffortConfig, BestEffortOrder, JobsConfig, SiteBase, is_site};
pub use limits::{AdaptKind, LimitsConfig};
pub use membership::MembershipConfig;
pub use once::OnceConfig;
pub use ownership::OwnershipConfig;
pub use placement::{PlacementConfig, ScoreWeights};
pub use quota::QuotaConfig;
pub use retry::RetryConfig;
pub use routing::RoutingConfig;
pub use service::ServiceConfig;
pub use shares::{QueueShare, SharesConfig};
pub use store::StoreConfig;
pub use token::{TokenConfig, TokenHash};
pub use workers::WorkersConfig;

/// Largest accepted settings text, in bytes.
pub const MAX_CONFIG_BYTES: usize = 64 * 1024;

#[cfg(test)]
mod tests;
