//! `elderstage fleet`: keepers and agents, what is proposed to them, and how they stand.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Subcommand;
use elderstage_fleet::name::Name;
use elderstage_fleet::record::{Command, Operation, Outcome, Phase, Proposer};
use elderstage_fleet::wire::FleetStatus;
use elderstage_fleetd::ClientError;

#[derive(Subcommand)]
pub enum What {
    /// Run a keeper of the record, or an agent beside a front or an engine, until SIGTERM.
    Run {
        /// The file: it tells which of them this process is.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Put a change into the record, or stop one. Exits with 0 when a majority of the keepers has it on disk, with 1
    /// when it is refused, and with 3 when it is not known to be taken.
    Propose {
        /// The proposal.
        file: PathBuf,
        /// Keepers to ask, the next where one can't tell.
        #[arg(long, value_name = "ADDR", required = true, num_args = 1..)]
        to: Vec<SocketAddr>,
        /// Who proposes.
        #[arg(long = "as", value_name = "NAME", default_value = "operator")]
        by: Name,
        /// Send the proposal of an earlier run again, by the number that it printed: it is taken once.
        #[arg(long, value_name = "RUN")]
        again: Option<u64>,
    },
    /// How the fleet stands, as one keeper sees it.
    Show {
        #[arg(long, value_name = "ADDR")]
        to: SocketAddr,
        /// As JSON, with all that the keeper tells.
        #[arg(long)]
        json: bool,
    },
}

/// A proposal that the record refused.
const REFUSED: u8 = 1;
/// Nobody knows yet what came of it.
const NOT_YET: u8 = 3;

pub fn fleet(what: &What) -> Result<ExitCode, String> {
    match what {
        What::Run { config } => {
            elderstage_fleetd::run(config).map_err(|error| error.to_string())?;
            Ok(ExitCode::SUCCESS)
        }
        What::Propose { file, to, by, again } => propose(file, to, by, *again),
        What::Show { to, json } => show(*to, *json),
    }
}

fn propose(file: &Path, to: &[SocketAddr], by: &Name, again: Option<u64>) -> Result<ExitCode, String> {
    let shown = file.display();
    let text = std::fs::read_to_string(file).map_err(|error| format!("{shown}: {error}"))?;
    let operation = Operation::parse(&text).map_err(|error| format!("{shown}: {error}"))?;
    let run = again.unwrap_or_else(rand::random);
    let command = Command { proposer: Proposer { name: by.clone(), run }, number: 1, operation };
    let mut last = None;
    for at in to {
        match elderstage_fleetd::propose(*at, command.clone()) {
            Ok(Outcome::Queued { change, behind: 0 }) => {
                println!("change {change} is in the record");
                return Ok(ExitCode::SUCCESS);
            }
            Ok(Outcome::Queued { change, behind }) => {
                println!("change {change} is in the record, {behind} of its scope go before it");
                return Ok(ExitCode::SUCCESS);
            }
            Ok(Outcome::Stopped { change }) => {
                println!("change {change} is stopped");
                return Ok(ExitCode::SUCCESS);
            }
            Ok(other) => return Err(format!("{at}: {other:?}")),
            Err(error @ ClientError::Refused(_)) => {
                eprintln!("elderstage: {error}");
                return Ok(ExitCode::from(REFUSED));
            }
            Err(error @ (ClientError::Unconfirmed(_) | ClientError::Unreachable { .. })) => {
                eprintln!("elderstage: {error}");
                last = Some(error);
            }
            Err(error) => return Err(error.to_string()),
        }
    }
    match last {
        Some(ClientError::Unreachable { .. }) if to.len() == 1 => Ok(ExitCode::from(2)),
        _ => {
            eprintln!("elderstage: to send the same proposal again: --as {by} --again {run}");
            Ok(ExitCode::from(NOT_YET))
        }
    }
}

fn show(to: SocketAddr, json: bool) -> Result<ExitCode, String> {
    let shown = elderstage_fleetd::show(to).map_err(|error| error.to_string())?;
    if json {
        println!("{}", serde_json::to_string_pretty(&shown).map_err(|error| error.to_string())?);
    } else {
        print!("{}", page(&shown));
    }
    Ok(ExitCode::SUCCESS)
}

/// What an operator reads first.
fn page(shown: &FleetStatus) -> String {
    use std::fmt::Write;
    let mut page = String::new();
    let status = &shown.status;
    let name = |number: u64| {
        let keeper = usize::try_from(number).ok().and_then(|n| shown.keepers.get(n.checked_sub(1)?));
        keeper.map_or("nobody", |keeper| keeper.as_str())
    };
    // Writing to a string can't fail.
    let _ = writeln!(page, "fleet {}, seen by keeper {} ({:?})", shown.fleet, shown.keeper, status.role);
    let _ = writeln!(
        page,
        "record: {} leads in term {}, entry {} of {} applied, {} commands taken, digest {:.16}",
        name(status.leader),
        status.term,
        status.applied,
        status.last,
        shown.applied_commands,
        shown.digest
    );
    for doubt in &shown.disk_faults {
        let _ = writeln!(page, "at its start the disk was not as it was left: {doubt}");
    }
    let up = shown.members.iter().filter(|member| member.is_up).count();
    let _ = writeln!(page, "members: {up} up of {} known", shown.members.len());
    for member in shown.members.iter().filter(|member| !member.is_up) {
        let _ = writeln!(page, "  down: {} in zone {}", member.identity.name, member.identity.zone);
    }
    let _ = writeln!(page, "counting: {} members, {} of them silent", shown.counting, shown.silent);
    for (key, group) in &shown.groups {
        let counts = &group.counts;
        let share = group.in_time_share().map_or("-".into(), |share| format!("{:.1}%", 100.0 * share));
        let _ = writeln!(
            page,
            "  {} release {:.12} settings {:.12}: {} asked, {share} in time, {} late, {} refused, {} failed, {} broken, \
             {} unheard; {} members, {} silent",
            key.class,
            key.release,
            key.settings,
            counts.asked,
            counts.late,
            counts.refused,
            counts.failed,
            counts.broken,
            group.unreported,
            group.members,
            group.silent
        );
    }
    for change in &shown.changes {
        let phase = match &change.phase {
            Phase::Waiting => "waits".to_owned(),
            Phase::Stopped { reason } => format!("stopped: {reason}"),
        };
        let (number, scope, by) = (change.number, &change.proposal.scope, &change.proposer.name);
        let _ = writeln!(page, "change {number} of {scope} by {by}: {phase}");
    }
    page
}
