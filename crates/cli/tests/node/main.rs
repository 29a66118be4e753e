//! Tests of `elderstage node` as its platform runs it: a child process between scripted clients, engines and
//! discovery, all on loopback. The tests check answers and the platform's rules, never times: every wait is
//! far longer than the awaited event takes.

mod bed;
mod busy_peers;
mod client_gone;
mod closing;
mod discovery;
mod drains;
mod endings;
mod fleet;
mod held_state;
mod input;
mod log;
mod outcomes;
mod peer;
mod relay;
mod retries;
mod shutdown;
mod support;
