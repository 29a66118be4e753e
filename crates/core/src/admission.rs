//! Rejection of requests before any work is done for them.
//!
//! A front rejects new requests while it drains and while it holds the maximum number of requests. The client
//! is told at once, by a refusal: nothing has run, so trying again is harmless. The limit bounds memory, not
//! load: the router judges load and refuses what fits on no server. Rejections are counted as `turned_away`.

use crate::plan::Limits;

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The front is draining.
    Draining,
    /// The front holds the maximum number of requests.
    Full,
}

/// Whether one more request is admitted while `held` requests are in progress.
pub fn admit(is_draining: bool, held: usize, limits: &Limits) -> Result<(), Rejection> {
    if is_draining {
        Err(Rejection::Draining)
    } else if held >= limits.max_requests {
        Err(Rejection::Full)
    } else {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
