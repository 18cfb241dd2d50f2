//! Keeps to the limits on requests that upstreams name; [`sesamegap_policy::routing::upstream_limits`] has the policy.
//!
//! [`acquire`] is the one place that permits a request to be sent to an upstream: [`crate::upstream::send`] takes a
//! [`permit::SendPermit`], which nothing else creates. A gateway acquires one too, so that a request counts where it leaves for
//! the upstream. [`observe`] records what answers say, [`client`] has the questions to VMs that count, and [`shared`] the limits.

pub mod acquire;
pub mod client;
pub mod observe;
pub mod permit;
pub mod shared;
