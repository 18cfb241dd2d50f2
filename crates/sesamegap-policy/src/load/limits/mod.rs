//! Rate limits and fair shares of teams, retry budget and retry delays.

mod budget;
mod jitter;
mod line;
mod peers;
mod retry_schedule;
mod return_schedule;
mod shares;
mod teams;

pub use budget::RetryBudget;
pub use jitter::{Jitter, add_jitter};
pub use peers::PeerDemand;
pub use retry_schedule::RetrySchedule;
pub use return_schedule::{Refused, RequestHash, ReturnSchedule, ReturnTime};
pub use shares::{Claim, Shares, SharesBuilder};
pub use teams::TeamLimits;
