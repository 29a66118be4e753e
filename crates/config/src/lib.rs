//! Under way.
