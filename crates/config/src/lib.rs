//! The operator's file: one directive a line, sections in braces, `#` comments.
//!
//! ```text
//! class ask {
//!     repeat safe
//!     give-up 6s
//! }
//! ```
//!
//! Everything is checked when it is read; what is unknown, missing, doubled or out of range is an error that names
//! the file, the line and what was expected. Values are typed: times (`300ms`, `2s`), counts (`20k`), shares.

mod format;
mod lines;
mod model;
mod read;
mod source;

pub use format::format;
pub use lines::{At, ConfigError, Directive, Errors, directives};
pub use model::*;
pub use read::{EffectiveValue, number, parse, parse_servers, time};
pub use source::{Failed, Loaded, Source, diff, load, load_file};
