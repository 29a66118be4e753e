//! `elderstage fleet`: runs keepers and agents, proposes changes, and shows the state of a fleet.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Subcommand;
use elderstage_fleet::name::Name;
use elderstage_fleet::record::{Command, Operation, Outcome, Phase, Proposer};
use elderstage_fleet::wire::FleetStatus;
use elderstage_fleetd::ClientError;

/// Subcommands of `elderstage fleet`.
#[derive(Subcommand)]
pub enum FleetCommand {
    /// Run a keeper of the record, or an agent beside a front or an engine, until SIGTERM.
    Run {
        /// Configuration file of this keeper or agent.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Put a change into the record, or stop one. Exits with 0 when a majority of the keepers has it on disk, with 1
    /// when it is refused, and with 3 when it is not confirmed.
    Propose {
        /// File with the proposal or stop.
        file: PathBuf,
        /// Addresses of keepers, tried in order until one confirms or refuses.
        #[arg(long, value_name = "ADDR", required = true, num_args = 1..)]
        to: Vec<SocketAddr>,
        /// Name of the proposer.
        #[arg(long = "as", value_name = "NAME", default_value = "operator")]
        by: Name,
        /// Send the proposal of an earlier run again, by the number that it printed; it is applied once.
        #[arg(long, value_name = "RUN")]
        again: Option<u64>,
    },
    /// Show the state of the fleet as one keeper sees it.
    Show {
        /// Address of the keeper.
        #[arg(long, value_name = "ADDR")]
        to: SocketAddr,
        /// Print everything that the keeper reports, as JSON.
        #[arg(long)]
        json: bool,
    },
}

/// Exit code of a refused proposal.
const REFUSED_EXIT_CODE: u8 = 1;
/// Exit code of a proposal whose outcome is unknown.
const UNCONFIRMED_EXIT_CODE: u8 = 3;

/// Runs a subcommand of `elderstage fleet`.
pub fn run_fleet_command(what: &FleetCommand) -> Result<ExitCode, String> {
    match what {
        FleetCommand::Run { config } => {
            elderstage_fleetd::run(config).map_err(|error| error.to_string())?;
            Ok(ExitCode::SUCCESS)
        }
        FleetCommand::Propose { file, to, by, again } => propose(file, to, by, *again),
        FleetCommand::Show { to, json } => show(*to, *json),
    }
}

/// Proposes the content of a file to the keepers, one after the other until one confirms or refuses it.
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
                return Ok(ExitCode::from(REFUSED_EXIT_CODE));
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
            Ok(ExitCode::from(UNCONFIRMED_EXIT_CODE))
        }
    }
}

/// Prints the state of the fleet.
fn show(to: SocketAddr, json: bool) -> Result<ExitCode, String> {
    let shown = elderstage_fleetd::show(to).map_err(|error| error.to_string())?;
    if json {
        println!("{}", serde_json::to_string_pretty(&shown).map_err(|error| error.to_string())?);
    } else {
        print!("{}", format_page(&shown));
    }
    Ok(ExitCode::SUCCESS)
}

/// Formats the state of the fleet for an operator.
fn format_page(shown: &FleetStatus) -> String {
    use std::fmt::Write;
    let mut page = String::new();
    let status = &shown.status;
    let name = |number: u64| {
        let keeper = usize::try_from(number).ok().and_then(|n| shown.keepers.get(n.checked_sub(1)?));
        keeper.map_or("nobody", |keeper| keeper.as_str())
    };
    // Writing to a string does not fail.
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
    for fault in &shown.disk_faults {
        let _ = writeln!(page, "fault found on disk at start: {fault}");
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
