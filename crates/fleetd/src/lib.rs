//! Runs the keepers and agents of a fleet on real sockets and disks. Decides nothing: one owner thread holds the state
//! machine, receives all events from the sockets and carries out the outputs in order.

mod client;
mod disk;
mod host;
mod links;
mod run;

pub use client::{ClientError, propose, show};
pub use disk::{Disk, DiskError};
pub use run::{FleetError, run};
