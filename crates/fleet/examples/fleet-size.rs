//! Measures messages and bytes per member and second, and the reports a keeper holds, for several fleet sizes in
//! simulated time. `cargo run --release -p elderstage-fleet --example fleet-size -- 50 200 1000`

#[path = "../tests/world/mod.rs"]
mod world;

use elderstage_fleet::SECOND;
use world::Simulation;

/// Simulated seconds before the measurement, in which the membership converges, and of the measurement itself.
const SETTLE_SECONDS: u64 = 60;
const MEASURED_SECONDS: u64 = 60;

/// Resident memory of this process, in MB, from the system (Linux).
fn resident_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let kb = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB")?.parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1024.0
}

fn main() {
    println!(
        "members | agent: messages/s, bytes/s | keeper: messages/s, bytes/s | versions held | process MB"
    );
    for size in std::env::args().skip(1).filter_map(|text| text.parse::<usize>().ok()) {
        let keepers = 5;
        let (fronts, engines) = (size * 4 / 5, size - size * 4 / 5);
        let before = resident_mb();
        let mut simulation = Simulation::new(1, keepers, fronts, engines);
        let mut simulate_seconds = |seconds: u64| {
            for _ in 0..seconds {
                for member in keepers..keepers + fronts {
                    simulation.count_requests(member, 10, 9);
                }
                simulation.run(SECOND);
            }
            simulation.sent.clone()
        };
        let from = simulate_seconds(SETTLE_SECONDS);
        let to = simulate_seconds(MEASURED_SECONDS);
        let rate = |range: std::ops::Range<usize>| {
            let n = range.len() as f64 * MEASURED_SECONDS as f64;
            let sum = |select: fn(&(u64, u64)) -> u64| -> f64 {
                range.clone().map(|member| select(&to[member]) - select(&from[member])).sum::<u64>() as f64
                    / n
            };
            (sum(|sent| sent.0), sum(|sent| sent.1))
        };
        let (agent_rates, keeper_rates) = (rate(keepers..keepers + size), rate(0..keepers));
        let versions_held = simulation.keeper(0).map_or(0, |keeper| keeper.store().versions().len());
        println!(
            "{size:7} | {:7.1} {:9.0} | {:8.1} {:10.0} | {versions_held:6} | {:7.0}",
            agent_rates.0,
            agent_rates.1,
            keeper_rates.0,
            keeper_rates.1,
            resident_mb() - before
        );
    }
}
