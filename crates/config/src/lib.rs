//! The configuration language of the front: one directive per line, sections in braces, and `#` comments.
//!
//! ```text
//! class ask {
//!     repeat safe
//!     give-up 6s
//! }
//! ```
//!
//! Values are typed: times (`300ms`, `2s`), counts (`20k`) and shares. A configuration is checked completely when it is
//! read: anything unknown, missing, repeated or out of range is an error that names the file, the line and what was
//! expected. This crate does not apply a configuration; the front does.

mod format;
mod lines;
mod model;
mod read;
mod source;

pub use format::format_config;
pub use lines::{ConfigError, ConfigErrors, Directive, Position, parse_directives};
pub use model::*;
pub use read::{EffectiveValue, parse, parse_number, parse_servers, parse_time};
pub use source::{LoadError, LoadedConfig, SourceFile, diff, load, load_file};
