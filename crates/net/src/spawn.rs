//! Set-up of the coroutine runtime, and the only place where coroutines are spawned.
#![allow(unsafe_code)]

use std::sync::Once;

/// Stack size of a coroutine in machine words: 128 KiB on 64-bit machines, of which only touched pages take
/// memory. JSON is parsed to at most 128 levels of nesting (the limit of `serde_json`), which fits with room
/// to spare.
pub const STACK_WORDS: usize = 16 << 10;
/// Number of stacks kept for reuse.
const STACK_POOL_CAPACITY: usize = 4096;

static INIT: Once = Once::new();

/// Sets up the coroutine runtime with `workers` worker threads. Only the first call of this or [`init_single_worker`]
/// has an effect.
pub fn init(workers: usize) {
    INIT.call_once(|| {
        may::config()
            .set_workers(workers.max(1))
            .set_stack_size(STACK_WORDS)
            .set_pool_capacity(STACK_POOL_CAPACITY);
        crate::budget::init_barrier();
    });
}

/// Sets up the coroutine runtime for a small machine: one worker thread that the system may run on any core,
/// and `stacks` stacks kept for reuse.
pub fn init_single_worker(stacks: usize) {
    INIT.call_once(|| {
        let config = may::config();
        config
            .set_workers(1)
            .set_stack_size(STACK_WORDS)
            .set_pool_capacity(stacks.max(1))
            .set_worker_pin(false);
        crate::budget::init_barrier();
    });
}

/// Runs `f` in a new coroutine.
pub fn spawn<F: FnOnce() + Send + 'static>(f: F) {
    // SAFETY: `may` marks spawning as unsafe for two reasons. First, a coroutine may continue on another
    // thread after a switch and see other thread-local state. No code here keeps a reference into
    // thread-local storage across a call that can switch: locks of `std` are never held during I/O, and
    // random state is owned by value. Second, a stack may overflow. Its size is fixed above, a guard page
    // ends the process before memory is corrupted, and a test covers the most deeply nested message that is
    // accepted.
    drop(unsafe { may::coroutine::spawn(f) });
}
