//! What every process of the project needs around its duties: logs, spans, HTTP, time.

mod clock;
pub mod command;
pub mod http;
pub mod logs;
pub mod spans;

pub use clock::Clock;
