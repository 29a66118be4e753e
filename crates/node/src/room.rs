//! The memory that bodies of open requests take, bounded over all of them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts bytes up to a bound.
#[derive(Debug)]
pub struct Rooms {
    taken: AtomicUsize,
    most: usize,
}

/// A part of it, given back when dropped.
#[derive(Debug)]
pub struct Room {
    of: Arc<Rooms>,
    bytes: usize,
}

impl Rooms {
    pub fn new(most: usize) -> Arc<Rooms> {
        Arc::new(Rooms { taken: AtomicUsize::new(0), most })
    }

    /// Room for so many bytes, if there is.
    pub fn take(self: &Arc<Rooms>, bytes: usize) -> Option<Room> {
        let fits = |taken: usize| taken.checked_add(bytes).filter(|sum| *sum <= self.most);
        self.taken.fetch_update(Ordering::SeqCst, Ordering::SeqCst, fits).ok()?;
        Some(Room { of: self.clone(), bytes })
    }

    pub fn taken(&self) -> usize {
        self.taken.load(Ordering::SeqCst)
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.of.taken.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}
