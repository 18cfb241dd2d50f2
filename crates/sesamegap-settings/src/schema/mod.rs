//! Which settings there are, and what each allows.
//!
//! One table of [`Field`]s a kind of object serves all who need to know it: the check of files
//! and of changes, the built-in defaults, the resolved values, and the test that compares
//! `docs/settings.md` with the code.

pub mod reader;
pub mod shape;
pub mod specs;
pub mod units;

pub use reader::Row;
pub use shape::Shape;
pub use specs::{Kind, built_in};

/// One setting.
#[derive(Debug)]
pub struct Field {
    /// Its key.
    pub name: &'static str,
    /// What it allows.
    pub shape: Shape,
    /// Its value where nobody sets it, as JSON; `None` means it must be set.
    pub default: Option<&'static str>,
    /// What it does.
    pub about: &'static str,
}

/// Describes a setting that has a default.
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

/// Describes a setting that must be set.
pub const fn required(name: &'static str, shape: Shape, about: &'static str) -> Field {
    Field {
        name,
        shape,
        default: None,
        about,
    }
}

/// Describes a setting that may be left out and then has no value.
pub const fn optional(name: &'static str, shape: Shape, about: &'static str) -> Field {
    field(name, shape, "null", about)
}
