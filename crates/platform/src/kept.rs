//! Whether kept connections can be trusted.
//!
//! Between a node and an engine something may drop connections that it holds to be idle, and tell neither: the next
//! request on one is reset, and may have run for all that is known. A new connection costs a handshake, a reset costs
//! an attempt. So kept connections are used while hardly any of them breaks; once some did, new ones are made, and now
//! and then one that is kept carries what is harmless to lose, to learn whether it can be trusted again.

/// Weight that the past keeps at each use of a kept connection: some fifty uses of memory.
const KEEP: f64 = 0.98;
/// Broken uses, older ones fading, from which on kept connections are not trusted: a handshake takes milliseconds, a
/// lost attempt what it takes to find another engine, or a request that can't be sent again.
const DISTRUST: f64 = 0.5;
/// One in so many harmless requests tries a kept connection all the same.
const TRIAL: u32 = 16;

/// What was learned of kept connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct Kept {
    broken: f64,
    passed_over: u32,
}

impl Kept {
    pub fn is_trusted(&self) -> bool {
        self.broken <= DISTRUST
    }

    /// Whether the next request goes on a kept connection. `harmless`: it may be repeated, whatever came of it.
    pub fn may_use(&mut self, harmless: bool) -> bool {
        if self.is_trusted() {
            return true;
        }
        if !harmless {
            return false;
        }
        self.passed_over += 1;
        self.passed_over.is_multiple_of(TRIAL)
    }

    /// A request on a kept connection was answered, or the connection broke before a byte of an answer.
    pub fn told(&mut self, broke: bool) {
        self.broken = self.broken * KEEP + f64::from(u8::from(broke));
    }
}

#[cfg(test)]
mod tests;
