//! Keeps to the limits on requests that upstreams name; [`sesamegap_policy::routing::upstream_limits`] has the policy.
//!
//! [`observe`] records what answers say.

pub mod observe;
