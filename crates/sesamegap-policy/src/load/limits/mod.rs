//! Rate limits and fair shares of teams, retry budget and retry delays.

mod budget;
mod peers;
mod retry_schedule;
mod shares;
mod teams;

pub use budget::RetryBudget;
pub use peers::PeerDemand;
pub use retry_schedule::{RetrySchedule, add_jitter};
pub use shares::{Claim, Shares};
pub use teams::TeamLimits;
