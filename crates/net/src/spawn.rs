//! The one place where coroutines are spawned.
#![allow(unsafe_code)]

use std::sync::Once;

/// Stack of a coroutine in machine words: 128 KiB on 64 bits, of which only the touched pages take memory.
/// JSON nests 128 levels at most (the limit of `serde_json`), which fits with room.
pub const STACK_WORDS: usize = 16 << 10;
/// Stacks kept for coroutines to come.
const POOL: usize = 4096;

static ONCE: Once = Once::new();

/// Sets the coroutine runtime up with so many worker threads. Only the first call counts.
pub fn init(workers: usize) {
    ONCE.call_once(|| {
        may::config().set_workers(workers.max(1)).set_stack_size(STACK_WORDS).set_pool_capacity(POOL);
    });
}

/// The same for a small machine: one worker that the system may run on any core it gives us, and only so many
/// stacks kept.
pub fn init_small(stacks: usize) {
    ONCE.call_once(|| {
        let config = may::config();
        config
            .set_workers(1)
            .set_stack_size(STACK_WORDS)
            .set_pool_capacity(stacks.max(1))
            .set_worker_pin(false);
    });
}

/// Runs `f` in a coroutine of its own.
pub fn go<F: FnOnce() + Send + 'static>(f: F) {
    // SAFETY: `may` calls spawning unsafe for two reasons. Thread-local state may be seen from another thread
    // after a switch: nothing here keeps a reference into thread-local storage over a call that can switch
    // (locks of `std` are never held over I/O, and random state is owned by value). And a stack may overflow:
    // its size is fixed above, a guard page ends the process rather than corrupting it, and the deepest
    // message accepted is tested.
    drop(unsafe { may::coroutine::spawn(f) });
}
