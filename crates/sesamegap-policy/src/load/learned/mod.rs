//! Estimates that a router derives from its own traffic: service rates, admitted work and times
//! to first token.

mod admitted_rates;
mod decaying_rate;
mod service_rate;
mod ttft;

pub use admitted_rates::AdmittedRates;
pub use decaying_rate::DecayingRate;
pub use service_rate::{ServiceRate, ServiceRates};
pub use ttft::{TtftEstimate, TtftEstimates};
