//! Measures placement policies over fake engines in virtual time.

fn main() {}
