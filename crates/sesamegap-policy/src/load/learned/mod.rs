//! What a router learns from its own traffic: service rates and first-token times.

mod first;
mod flow;
mod inflow;
mod pace;

pub use first::{TtftEstimate, TtftEstimates};
pub use flow::DecayingRate;
pub use inflow::AdmittedRates;
pub use pace::{ServiceRate, ServiceRates};
