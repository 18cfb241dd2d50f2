//! Estimates that a router derives from its own traffic: service rates, admitted work and times
//! to first token.

mod first;
mod flow;
mod inflow;
mod pace;

pub use first::{TtftEstimate, TtftEstimates};
pub use flow::DecayingRate;
pub use inflow::AdmittedRates;
pub use pace::{ServiceRate, ServiceRates};
