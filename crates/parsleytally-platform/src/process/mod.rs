//! What every process of the project needs around its duties: logs, spans, HTTP, time.

mod clock;
pub mod command;
mod drain;
mod headers;
pub mod http;
pub mod logs;
pub mod metrics;
pub mod spans;

pub use clock::{BootTime, Clock};
pub use drain::drain;
pub use headers::end_to_end;
