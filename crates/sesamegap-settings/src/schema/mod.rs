//! Definitions of all settings and their allowed values.
//!
//! Each kind of object has one table of [`Field`]s. It is the single source for the validation of
//! files and changes, the built-in defaults, the resolved values, and the test that compares
//! `docs/settings.md` with the code.

pub mod reader;
pub mod shape;
pub mod specs;
pub mod units;

pub use reader::Row;
pub use shape::Shape;
pub use specs::{Kind, built_in};

/// Definition of one setting.
#[derive(Debug)]
pub struct Field {
    /// Key of the setting.
    pub name: &'static str,
    /// Type and bounds of its value.
    pub shape: Shape,
    /// Built-in default as JSON; `None` if the setting is required.
    pub default: Option<&'static str>,
    /// Description of the setting.
    pub about: &'static str,
}

/// Defines a setting with a default.
pub const fn field(
    name: &'static str,
    shape: Shape,
    default: &'static str,
    about: &'static str,
) -> Field {
    Field {
        name,
        shape,
        default: Some(default),
        about,
    }
}

/// Defines a required setting.
pub const fn required(name: &'static str, shape: Shape, about: &'static str) -> Field {
    Field {
        name,
        shape,
        default: None,
        about,
    }
}

/// Defines an optional setting, which has no value if it is omitted.
pub const fn optional(name: &'static str, shape: Shape, about: &'static str) -> Field {
    field(name, shape, "null", about)
}
