//! Rate limits and fair shares of teams, retry budget and retry delays.

mod budget;
mod comeback;
mod peers;
mod shares;
mod teams;

pub use budget::RetryBudget;
pub use comeback::{RetrySchedule, add_jitter};
pub use peers::PeerDemand;
pub use shares::{Claim, Shares};
pub use teams::TeamLimits;
