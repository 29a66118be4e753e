//! The memory that bodies of open requests take, bounded over all of them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts reserved bytes up to a bound.
#[derive(Debug)]
pub struct MemoryBudget {
    reserved: AtomicUsize,
    max: usize,
}

/// A reserved part, given back when dropped.
#[derive(Debug)]
pub struct MemoryPermit {
    of: Arc<MemoryBudget>,
    bytes: usize,
}

impl MemoryBudget {
    pub fn new(max: usize) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget { reserved: AtomicUsize::new(0), max })
    }

    /// Reserves so many bytes, if there are.
    pub fn reserve(self: &Arc<MemoryBudget>, bytes: usize) -> Option<MemoryPermit> {
        let fits = |reserved: usize| reserved.checked_add(bytes).filter(|sum| *sum <= self.max);
        self.reserved.fetch_update(Ordering::SeqCst, Ordering::SeqCst, fits).ok()?;
        Some(MemoryPermit { of: self.clone(), bytes })
    }

    /// Bytes that are reserved now.
    pub fn reserved(&self) -> usize {
        self.reserved.load(Ordering::SeqCst)
    }
}

impl Drop for MemoryPermit {
    fn drop(&mut self) {
        self.of.reserved.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}
