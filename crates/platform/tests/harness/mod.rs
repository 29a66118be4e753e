//! A hub together with its router, driven by a test that supplies inputs and time. Times are in microseconds.
#![allow(dead_code)]

use std::collections::HashMap;
use std::net::SocketAddr;

use elderstage::{Arrival, Outcome, RequestId, ServerEntry, ServerId, ServerStatus, Settings, Time};
use elderstage_platform::ask::ClientRequest;
use elderstage_platform::hub::{Command, FinalAnswer, Hub, Input};
use elderstage_platform::list::{Host, List};

pub const MS: Time = 1_000;

/// A hub with three servers, and its clock.
pub struct Harness {
    pub hub: Hub,
    pub now: Time,
    /// The number of the last release at each holder.
    last_rounds: HashMap<(RequestId, ServerId), u32>,
}

pub fn addr(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

pub fn host(name: &str, kind: usize, port: u16, listed: ServerStatus) -> Host {
    let server = ServerId(name.into());
    let entry = ServerEntry { server, listed, kind, zone: 0, cell: 0, weight: 1.0, ready_at: 0 };
    Host { entry, address: Some(addr(port)) }
}

pub fn client_request(trace: &str) -> ClientRequest {
    let arrival = Arrival {
        id: RequestId(0),
        class: 0,
        tenant: 0,
        session: None,
        prefix: None,
        time_left: 4_000 * MS,
        output_time_hint: 0,
        prompt_tokens: 1_000.0,
        shared_tokens: 0.0,
        max_output_tokens: 100.0,
        is_repeat: false,
        is_resumed: false,
    };
    ClientRequest { request_id: trace.into(), arrival }
}

impl Harness {
    pub fn new(settings: Settings) -> Harness {
        let mut harness =
            Harness { hub: Hub::new(settings, 7), now: 1_000_000 * MS, last_rounds: HashMap::new() };
        let hosts = vec![
            host("reader", 0, 1, ServerStatus::Running),
            host("spare", 0, 2, ServerStatus::Running),
            host("writer", 1, 3, ServerStatus::Running),
        ];
        harness.handle(Input::ListReceived {
            list: List { version: 1, is_complete: true, hosts },
            restored: true,
        });
        harness
    }

    /// Passes an input to the hub and returns its commands, without probes.
    pub fn handle(&mut self, input: Input) -> Vec<Command> {
        self.now += MS;
        let mut out = Vec::new();
        self.hub.handle(self.now, input, &mut out);
        out.retain(|command| !matches!(command, Command::Probe { .. }));
        for command in &out {
            if let Command::Release { id, holder, release_number: round, .. } = command {
                self.last_rounds.insert((*id, holder.clone()), *round);
            }
        }
        out
    }

    pub fn arrive(&mut self, id: u32, trace: &str) -> Vec<Command> {
        self.handle(Input::Arrived { id: RequestId(id), client_request: client_request(trace) })
    }

    /// Ends an attempt.
    pub fn end_attempt(&mut self, id: u32, attempt: u32, outcome: Outcome) -> Vec<Command> {
        self.handle(Input::AttemptEnded {
            id: RequestId(id),
            attempt,
            outcome,
            note: 0,
            report: None,
            events: 0,
        })
    }

    /// Ends a release call to an engine. `acknowledged`: the engine answered.
    pub fn end_release_call(
        &mut self,
        id: u32,
        holder: &str,
        engine: &str,
        acknowledged: bool,
    ) -> Vec<Command> {
        let (holder, engine) = (ServerId(holder.into()), ServerId(engine.into()));
        let id = RequestId(id);
        let round = self.last_rounds.get(&(id, holder.clone())).copied().unwrap_or_default();
        self.handle(Input::ReleaseCallEnded { id, holder, release_number: round, engine, acknowledged })
    }

    /// Advances the clock and runs the timers that are due.
    pub fn advance(&mut self, time: Time) -> Vec<Command> {
        let (end, mut out) = (self.now + time, Vec::new());
        while let Some(at) = self.hub.next_timer().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.hub.run_due_timers(self.now, &mut out);
        }
        self.now = end;
        out
    }
}

/// Returns the first attempt that was sent, and its server.
pub fn sent_attempt(commands: &[Command]) -> Option<(u32, String)> {
    commands.iter().find_map(|command| match command {
        Command::Send { attempt, server, .. } => Some((*attempt, server.0.to_string())),
        _ => None,
    })
}

/// Returns the addresses of the release calls.
pub fn released_addresses(commands: &[Command]) -> Vec<SocketAddr> {
    let dial = |command: &Command| match command {
        Command::Release { address: dial, .. } => Some(*dial),
        _ => None,
    };
    commands.iter().filter_map(dial).collect()
}

/// Returns the engines of the release calls.
pub fn called_engines(commands: &[Command]) -> Vec<String> {
    let engine = |command: &Command| match command {
        Command::Release { engine, .. } => Some(engine.0.to_string()),
        _ => None,
    };
    commands.iter().filter_map(engine).collect()
}

/// Returns the final answer to the client, if there is one.
pub fn final_answer(commands: &[Command]) -> Option<FinalAnswer> {
    commands.iter().find_map(|command| match command {
        Command::Answer { last, .. } => Some(*last),
        _ => None,
    })
}
