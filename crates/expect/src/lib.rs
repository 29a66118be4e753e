//! Tests the expectations of a configuration without traffic, for `elderstage config test`.
//!
//! Each expectation is simulated with several seeds. The front's core and router, the same code that serves,
//! run in simulated time against synthetic arrivals and scripted outcomes, so there is no second model of
//! routing. A run with the same seed gives the same result.

mod scene;

use elderstage_config::{Condition, Config, ExpectationConfig, ServerConfig};
use elderstage_core::Final;

pub use scene::{Request, simulate};

/// The result of one expectation.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    pub name: String,
    pub line: usize,
    pub checks: Vec<Check>,
}

/// The result of one line of an expectation over all seeds: the worst figure and where it occurred.
#[derive(Clone, Debug, PartialEq)]
pub struct Check {
    /// The expected condition, in the syntax of the configuration.
    pub what: String,
    pub holds: bool,
    /// The worst figure.
    pub seen: String,
    /// The seed of the worst figure.
    pub seed: u64,
    /// The first request that violates the condition, with its sends.
    pub witness: Option<String>,
}

impl Verdict {
    /// Whether all checks held.
    pub fn holds(&self) -> bool {
        self.checks.iter().all(|check| check.holds)
    }
}

/// How one condition fared in one run.
struct Measurement {
    /// Larger is worse.
    severity: f64,
    held: bool,
    seen: String,
    witness: Option<String>,
}

/// The sends and the end of a request, for the report.
fn describe_request(request: &Request) -> String {
    let sends: Vec<String> = request
        .sends
        .iter()
        .map(|(at, server, stage)| format!("{stage:?} at {server} after {:.1} ms", *at as f64 / 1e3))
        .collect();
    let end = request
        .end
        .map_or("no answer".into(), |(at, last)| format!("{last:?} after {:.1} ms", at as f64 / 1e3));
    format!("request {}: {}; {end}", request.number, sends.join(", "))
}

/// Evaluates one condition on the requests of one run.
fn measure(want: &Condition, requests: &[Request]) -> Measurement {
    let first =
        |violates: &dyn Fn(&Request) -> bool| requests.iter().find(|r| violates(r)).map(describe_request);
    let maximum = |figure: &dyn Fn(&Request) -> f64| requests.iter().map(figure).fold(0.0, f64::max);
    // A condition must not hold merely because nothing was sent.
    let sends: usize = requests.iter().map(|r| r.sends.len()).sum();
    if sends == 0 && matches!(want, Condition::Never(_) | Condition::Attempts(_) | Condition::Share { .. }) {
        let witness = requests.first().map(describe_request);
        return Measurement {
            severity: f64::INFINITY,
            held: false,
            seen: "nothing was sent".into(),
            witness,
        };
    }
    match want {
        Condition::Never(servers) => {
            let to = |r: &Request| r.sends.iter().filter(|(_, s, _)| servers.contains(s)).count();
            let count: usize = requests.iter().map(to).sum();
            Measurement {
                severity: count as f64,
                held: count == 0,
                seen: format!("{count} sends"),
                witness: first(&|r| to(r) > 0),
            }
        }
        Condition::Attempts(most_sends) => {
            let worst = maximum(&|r| r.sends.len() as f64);
            let held = worst <= f64::from(*most_sends);
            let witness = first(&|r| r.sends.len() as f64 > f64::from(*most_sends));
            Measurement { severity: worst, held, seen: format!("{worst} sends"), witness }
        }
        Condition::Served(share) => {
            let is_served = |r: &Request| matches!(r.end, Some((_, Final::Served)));
            let share_seen =
                requests.iter().filter(|r| is_served(r)).count() as f64 / requests.len().max(1) as f64;
            Measurement {
                severity: 1.0 - share_seen,
                held: share_seen >= *share,
                seen: format!("{share_seen:.3} served"),
                witness: first(&|r| !is_served(r)),
            }
        }
        Condition::AnsweredWithin(time) => {
            // A request without an answer counts as infinitely late.
            let answer_time = |r: &Request| r.end.map_or(f64::INFINITY, |(at, _)| at as f64);
            let worst = maximum(&answer_time);
            Measurement {
                severity: worst,
                held: worst <= *time as f64,
                seen: format!("{:.1} ms", worst / 1e3),
                witness: first(&|r| answer_time(r) > *time as f64),
            }
        }
        Condition::Share { server, low, high } => {
            let of = |r: &Request| r.sends.iter().filter(|(_, s, _)| s == server).count();
            let share_seen = requests.iter().map(of).sum::<usize>() as f64 / sends as f64;
            Measurement {
                severity: (low - share_seen).max(share_seen - high),
                held: share_seen >= *low && share_seen <= *high,
                seen: format!("{share_seen:.3} of {sends} sends"),
                witness: None,
            }
        }
    }
}

/// Servers that an expectation names but the list does not have. This cannot be checked when the
/// configuration is parsed, since the list may be in a file of its own.
fn unknown_servers(servers: &[ServerConfig], expect: &ExpectationConfig) -> Vec<String> {
    let mut named: Vec<&String> = expect.down.iter().chain(&expect.draining).chain(&expect.full).collect();
    for want in &expect.conditions {
        match want {
            Condition::Never(servers) => named.extend(servers),
            Condition::Share { server, .. } => named.push(server),
            Condition::Attempts(_) | Condition::Served(_) | Condition::AnsweredWithin(_) => {}
        }
    }
    let known = |name: &String| servers.iter().any(|server| server.name == *name);
    named.into_iter().filter(|name| !known(name)).cloned().collect()
}

/// Tests one expectation with the seeds from 1 to `seeds`.
pub fn run_expectation(
    config: &Config,
    servers: &[ServerConfig],
    expect: &ExpectationConfig,
    seeds: u64,
) -> Verdict {
    let unknown_servers = unknown_servers(servers, expect);
    if !unknown_servers.is_empty() {
        let check = Check {
            what: "all named servers exist".into(),
            holds: false,
            seen: format!("no server is called {}", unknown_servers.join(", ")),
            seed: 0,
            witness: None,
        };
        return Verdict { name: expect.name.clone(), line: expect.position.line, checks: vec![check] };
    }
    let mut worst: Vec<Option<(Measurement, u64)>> = expect.conditions.iter().map(|_| None).collect();
    for seed in 1..=seeds.max(1) {
        let requests = simulate(config, servers, expect, seed);
        for (want, worst) in expect.conditions.iter().zip(&mut worst) {
            let measurement = measure(want, &requests);
            if worst.as_ref().is_none_or(|(worst_so_far, _)| measurement.severity > worst_so_far.severity) {
                *worst = Some((measurement, seed));
            }
        }
    }
    let check = |(want, measurement): (&Condition, Option<(Measurement, u64)>)| {
        measurement.map(|(measurement, seed)| Check {
            what: want.to_string(),
            holds: measurement.held,
            seen: measurement.seen,
            seed,
            witness: measurement.witness.filter(|_| !measurement.held),
        })
    };
    let checks = expect.conditions.iter().zip(worst).filter_map(check).collect();
    Verdict { name: expect.name.clone(), line: expect.position.line, checks }
}
