//! Small fakes of what stands outside the project, for tests and the standalone mode.

mod endpoint;

pub use endpoint::SampleEndpoint;
