//! `elderstage node` as its platform runs it: a child process between scripted clients, engines and discovery, all on
//! loopback. Answers and rules are asserted, times never: every wait is far longer than what it waits for takes.

mod bed;
mod client_gone;
mod closing;
mod discovery;
mod drains;
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
