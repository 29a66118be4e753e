//! A budget for the memory of request bodies, shared by all open requests.
//!
//! It only counts: who reserves bytes allocates them. The reserved bytes never exceed the budget.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts reserved bytes up to a maximum.
#[derive(Debug)]
pub struct MemoryBudget {
    reserved_bytes: AtomicUsize,
    max_bytes: usize,
}

/// A reservation of bytes. Dropping it returns them to the budget.
#[derive(Debug)]
pub struct MemoryPermit {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl MemoryBudget {
    /// Creates a budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget { reserved_bytes: AtomicUsize::new(0), max_bytes })
    }

    /// Reserves `bytes`; `None` where fewer are left.
    pub fn reserve(self: &Arc<MemoryBudget>, bytes: usize) -> Option<MemoryPermit> {
        let fits = |reserved: usize| reserved.checked_add(bytes).filter(|sum| *sum <= self.max_bytes);
        self.reserved_bytes.fetch_update(Ordering::SeqCst, Ordering::SeqCst, fits).ok()?;
        Some(MemoryPermit { budget: self.clone(), bytes })
    }

    /// Bytes that are reserved at present.
    pub fn reserved_bytes(&self) -> usize {
        self.reserved_bytes.load(Ordering::SeqCst)
    }
}

impl Drop for MemoryPermit {
    fn drop(&mut self) {
        self.budget.reserved_bytes.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}
