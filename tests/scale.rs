//! The work per decision as the list of servers grows: the number of servers examined, never a measured time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use elderstage::*;

const MS: Time = 1_000;
/// Each cell has six servers: two readers and four writers.
const SERVERS_PER_CELL: u32 = 6;
const READERS_PER_CELL: u32 = 2;
/// Simulated durations of a probe, a read, the time to the first token and a stream.
const PROBE_TIME: Time = 2 * MS;
const READ_TIME: Time = 100 * MS;
const FIRST_TOKEN_TIME: Time = 50 * MS;
const STREAM_TIME: Time = 1_000 * MS;
/// Simulated time at which a run starts.
const START: Time = 1_000_000_000;
/// Number of requests, and the time between two of them.
const REQUESTS: u32 = 300;
const ARRIVAL_GAP: Time = 3 * MS;

/// A future simulated event, ordered by its time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrives(u32),
    Probed(ServerId),
    Read(RequestId, u32, ServerId),
    Streams(RequestId, u32, ServerId),
    Served(RequestId, u32, ServerId),
    Timer(u64),
}

/// What a run counted.
#[derive(Debug, Default)]
struct RunResult {
    /// Simulated time from the first event to the last.
    span: Time,
    events: u64,
    examined: u64,
    served: u32,
    refused: u32,
}

fn server_list(servers: u32) -> Vec<ServerEntry> {
    let entry = |n: u32| ServerEntry {
        server: ServerId(format!("s-{n:08x}").as_str().into()),
        listed: ServerStatus::Running,
        kind: usize::from(n % SERVERS_PER_CELL >= READERS_PER_CELL),
        zone: n % 3,
        cell: n / SERVERS_PER_CELL,
        weight: 1.0,
        ready_at: 0,
    };
    (0..servers).map(entry).collect()
}

/// Lets one front serve the same traffic with a fleet of this size. `load` is the report of each server: its
/// memory share and its thousands of waiting tokens.
fn run(servers: u32, fronts: u32, load: [f64; 2]) -> RunResult {
    let report_fields = vec![ReportField::MemoryShare, ReportField::PendingThousands];
    let settings = Settings { front_count: fronts, may_probe: true, report_fields, ..example_settings() };
    let mut router = Router::new(settings, 7);
    let (mut now, mut out, mut result) = (START, Vec::new(), RunResult::default());
    router.handle(now, Event::Servers { mode: ListMode::Full, entries: server_list(servers) }, &mut out);
    let mut queue: BinaryHeap<Reverse<(Time, SimEvent)>> =
        (0..REQUESTS).map(|n| Reverse((now + u64::from(n) * ARRIVAL_GAP, SimEvent::Arrives(n)))).collect();
    let mut attempts = vec![0; REQUESTS as usize];
    while let Some(Reverse((at, sim_event))) = queue.pop() {
        now = at;
        let event = match sim_event.clone() {
            SimEvent::Arrives(n) => Event::Arrived(Arrival {
                id: RequestId(n),
                session: Some(TextKey(format!("talk-{}", n / 2).as_str().into())),
                prefix: Some(TextKey(format!("opening-{}", n % 10).as_str().into())),
                time_left: 4_000 * MS,
                prompt_tokens: 1_000.0,
                shared_tokens: 700.0,
                max_output_tokens: 100.0,
                ..Arrival::default()
            }),
            SimEvent::Probed(server) => Event::Probed {
                server,
                outcome: Outcome::Served,
                took: PROBE_TIME,
                load: Some(load.to_vec()),
            },
            SimEvent::Streams(id, attempt, server) => {
                Event::Streaming { id, attempt, server, took: FIRST_TOKEN_TIME }
            }
            SimEvent::Read(id, attempt, server) => ended(id, attempt, server, Outcome::Read),
            SimEvent::Served(id, attempt, server) => ended(id, attempt, server, Outcome::Served),
            SimEvent::Timer(name) => Event::Timer { name },
        };
        result.events += 1;
        out.clear();
        router.handle(now, event, &mut out);
        for action in out.drain(..) {
            match action {
                Action::Probe { server } => queue.push(Reverse((now + PROBE_TIME, SimEvent::Probed(server)))),
                Action::Timer { after, name } => queue.push(Reverse((now + after, SimEvent::Timer(name)))),
                Action::Refuse { .. } => result.refused += 1,
                Action::Send { id, server, .. } => {
                    let attempt = attempts[id.0 as usize];
                    attempts[id.0 as usize] += 1;
                    if attempt == 0 {
                        queue.push(Reverse((now + READ_TIME, SimEvent::Read(id, attempt, server))));
                    } else {
                        result.served += 1;
                        queue.push(Reverse((
                            now + FIRST_TOKEN_TIME,
                            SimEvent::Streams(id, attempt, server.clone()),
                        )));
                        queue.push(Reverse((now + STREAM_TIME, SimEvent::Served(id, attempt, server))));
                    }
                }
                _ => {}
            }
        }
    }
    (result.examined, result.span) = (router.examined_servers(), now - START);
    result
}

fn ended(id: RequestId, attempt: u32, server: ServerId, outcome: Outcome) -> Event {
    let settled = outcome == Outcome::Served;
    Event::Ended { id, attempt, server, outcome, took: 0, is_settled: settled, note: 0, load: None }
}

/// Events that do not change the list cost no pass over it, and held requests are not ranked anew at each
/// event. A request costs at most three passes: when it is ranked, when it is read at a writer and when it is
/// handed over. Passes for held requests examine one server per microsecond, whatever the number of events.
/// Guards against the incident of 2026-12-02: a front with 3,200 servers spent 306 us on an event and
/// answered seconds late.
#[test]
fn scan_work_is_bounded_by_three_passes_per_request_and_a_share_of_the_time() {
    for (fronts, load, what) in [
        (300, [0.3, 0.0], "idle servers"),
        (300, [0.3, 90.0], "readers that report congestion"),
        (300, [0.99, 0.0], "full writers"),
        (3, [0.3, 0.0], "few fronts, idle servers"),
        (3, [0.3, 90.0], "few fronts, readers that report congestion"),
        (3, [0.99, 0.0], "few fronts, full writers"),
    ] {
        for servers in [192, 3_192] {
            let result = run(servers, fronts, load);
            let max_examined = 3 * u64::from(servers) * u64::from(REQUESTS) + result.span;
            assert!(
                result.examined <= max_examined,
                "{what}, {servers} servers: more than {max_examined} examined: {result:?}"
            );
        }
    }
}

/// The same traffic is served as well with sixteen times as many servers.
#[test]
fn a_larger_list_does_not_reduce_the_requests_served() {
    let [usual, large] = [192, 3_192].map(|servers| run(servers, 300, [0.3, 0.0]));
    assert!(usual.served > REQUESTS * 9 / 10, "{usual:?}");
    assert!(large.served >= usual.served, "{large:?}, with the usual list {usual:?}");
}
