//! Request handling in the proxy: the request lifecycle, the choice of an instance, and the retry
//! budget.

mod choice;
mod failure;
mod instance_stats;
mod link_monitor;
mod passive_health;
mod proxy_state;
mod request_lifecycle;
mod retry_budget;
mod service_shard;
mod slow_start;
mod target;

pub use self::failure::{Failure, ReportedOutcome};
pub(crate) use self::instance_stats::{InstanceStats, KeyStats};
pub use self::link_monitor::{LinkMonitor, RecentConnects, SLOW_CONNECT};
pub use self::passive_health::RECENT_RESPONSE_WINDOW;
pub use self::proxy_state::ProxyState;
pub use self::request_lifecycle::{AttemptEnd, NextStep, RequestLifecycle, RequestState};
pub use self::retry_budget::{RetryBudget, MIN_RETRIES_PER_WINDOW, RETRY_PERCENT};
pub use self::service_shard::ServiceShard;
pub(crate) use self::slow_start::{HealthChecks, SlowStart};
pub use self::slow_start::{SlowStartReason, SlowStartSummary};
pub(crate) use self::target::target_of;
pub use self::target::Target;
