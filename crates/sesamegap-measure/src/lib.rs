//! What a router's state and decisions cost as their size grows.
//!
//! [`slopes`] measures each part alone, without sockets, at several sizes in one run. The binary
//! `sesamegap-slopes` prints the figures from which `docs/CAPACITY.md` is worked out.

pub mod slopes;
