//! Compares the time of a commit of the record with that of a plain fsync, on the disk of a folder.
//! `cargo run --release -p elderstage-fleetd --example commits -- FOLDER [ADDR...]`: given the addresses of
//! running keepers, it also measures the time of a proposal.

use std::fs::OpenOptions;
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use elderstage_fleet::change::{ChangeContent, MemberShare, Proposal, Stage, content_digest};
use elderstage_fleet::record::{BlockKind, Command, DiskWrite, Operation, Proposer, encode_block};
use elderstage_fleetd::Disk;

const RUNS: usize = 300;
/// Size of a small command.
const COMMAND_BYTES: usize = 400;

fn print_times(label: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize].as_secs_f64() * 1e3;
    println!("{label:44} p50 {:8.2} ms  p99 {:8.2} ms  ({} times)", at(0.5), at(0.99), times.len());
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut args = std::env::args().skip(1);
    let folder = PathBuf::from(args.next().ok_or("expected a folder as the first argument")?);
    std::fs::create_dir_all(&folder)?;
    let disk = Disk::open(&folder.join("keeper"))?;
    let mut file = OpenOptions::new().create(true).append(true).open(folder.join("bare"))?;
    let (mut fsync_times, mut commit_times) = (Vec::new(), Vec::new());
    for n in 0..RUNS as u64 {
        // Alternate, so that both see the same state of the disk.
        let started_at = Instant::now();
        file.write_all(&[7; COMMAND_BYTES])?;
        file.sync_data()?;
        fsync_times.push(started_at.elapsed());
        let write = DiskWrite {
            hard_state: Some(encode_block(BlockKind::HardState, &[1; 24])),
            entries: vec![(n + 1, encode_block(BlockKind::Entry(n + 1), &[7; COMMAND_BYTES]))],
            truncate_from: Some(n + 1),
            watermark: encode_block(BlockKind::Watermark, &[1; 64]),
            ..DiskWrite::default()
        };
        let started_at = Instant::now();
        disk.write(&write)?;
        commit_times.push(started_at.elapsed());
    }
    print_times("bare: append and fdatasync", fsync_times);
    print_times("a keeper's write: database and mark", commit_times);
    let keeper_addresses: Vec<SocketAddr> = args.filter_map(|text| text.parse().ok()).collect();
    let mut proposal_times = Vec::new();
    for n in 0..RUNS.min(100) as u64 {
        let Some(at) = keeper_addresses.get(n as usize % keeper_addresses.len().max(1)) else { break };
        let name = "measure".parse()?;
        let operation = if n % 2 == 0 {
            let text = format!("{{\"n\": {n}}}");
            Operation::Propose(Box::new(Proposal {
                scope: "measure".parse()?,
                content: ChangeContent::Settings { digest: content_digest(text.as_bytes()), text },
                stages: vec![Stage { members: MemberShare::All }],
                least_evidence: 1,
                longest_stage_s: 60,
            }))
        } else {
            Operation::Stop { change: n / 2 + 1, reason: "measured".into() }
        };
        let command = Command { proposer: Proposer { name, run: rand::random() }, number: 1, operation };
        let started_at = Instant::now();
        // Stopping a change of an earlier run is refused, but the command is still applied to the record.
        let _ = elderstage_fleetd::propose(*at, command);
        proposal_times.push(started_at.elapsed());
    }
    if !proposal_times.is_empty() {
        print_times("a command through running keepers", proposal_times);
    }
    Ok(())
}
