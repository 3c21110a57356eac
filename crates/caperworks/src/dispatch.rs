//! A request's way through the proxy: its state chart, the choice of an instance, and the budgets.

mod choice;
mod failure;
mod instance_watch;
mod link_watch;
mod proxy_knowledge;
mod request_chart;
mod retry_budget;
mod service_shard;
mod silent_instances;
mod target;

pub use self::failure::*;
pub(crate) use self::instance_watch::*;
pub use self::link_watch::*;
pub use self::proxy_knowledge::*;
pub use self::request_chart::*;
pub use self::retry_budget::*;
pub use self::service_shard::*;
pub use self::silent_instances::*;
pub use self::target::*;
