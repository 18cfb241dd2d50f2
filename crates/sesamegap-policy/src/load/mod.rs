//! Limits under load: queues, windows, shares and budgets.

mod windows;

pub use windows::Windows;
