//! A request's way through the proxy: its state chart, the choice of an instance, and the budgets.

mod choice;
mod failure;
mod instance_watch;
mod link_monitor;
mod proxy_knowledge;
mod request_chart;
mod retry_budget;
mod service_shard;
mod silent_instances;
mod target;

pub use self::failure::{Failure, ReportedOutcome};
pub(crate) use self::instance_watch::{InstanceWatch, KeyWatch, SlowStartBucket};
pub use self::link_monitor::{LinkWatch, RecentConnects, SLOW_CONNECT};
pub use self::proxy_knowledge::ProxyKnowledge;
pub use self::request_chart::{AttemptEnd, NextStep, RequestLifecycle, RequestState};
pub use self::retry_budget::{RetryBudget, RETRY_FLOOR, RETRY_PERCENT};
pub use self::service_shard::ServiceShard;
pub use self::silent_instances::RECENT_RESPONSE_WINDOW;
pub(crate) use self::target::target_of;
pub use self::target::Target;
