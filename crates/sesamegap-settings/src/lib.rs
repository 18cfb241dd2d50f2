//! The settings tree of sesamegap: reading, checking, inheriting, folding.
//!
//! Operators publish changes to a tree of teams, model deployments, plain services and traffic
//! classes. What the rest of the system reads is the [`Catalogue`]: the tree with every
//! inheritance resolved and every value checked.

pub mod catalogue;

pub use catalogue::{Catalogue, ClassSpec, ModelSpec, ServiceSpec, TeamSpec};
