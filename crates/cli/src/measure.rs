//! `elderstage measure`: runs one measurement together with its baseline, and prints the result as JSON.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Subcommand;
use elderstage_rehearsal::{measure, paths};

/// The measurements, one subcommand each.
#[derive(Subcommand)]
pub enum MeasureCommand {
    /// Added time to first token, against a client that talks to the stand-ins directly.
    FirstToken {
        /// Requests per second, half direct and half through the front.
        #[arg(long, default_value_t = 500.0)]
        rate: f64,
        #[arg(long, default_value_t = 10)]
        seconds: u64,
    },
    /// Streamed tokens per second, as a ratio to a plain byte relay.
    Streams {
        #[arg(long, default_value_t = 64)]
        at_once: usize,
        /// Tokens of each stream; large, so that the start of a stream does not affect the ratio.
        #[arg(long, default_value_t = 64_000)]
        tokens: u64,
        #[arg(long, default_value_t = 5)]
        rounds: usize,
    },
    /// Memory of the front with many streams open at once.
    Open {
        #[arg(long, default_value_t = 5000)]
        streams: usize,
    },
    /// Decisions of the routing module per second.
    Decisions {
        #[arg(long, default_value_t = 68)]
        servers: usize,
        #[arg(long, default_value_t = 200_000)]
        requests: u32,
    },
    /// Time until a working address is used, by fault, compared with two baselines, in simulated time.
    Addresses {
        #[arg(long, default_value_t = 14)]
        seed: u64,
    },
    /// An outage of the network to many servers, by number of fronts up to 64, in simulated time.
    Outage {
        #[arg(long, default_value_t = 60)]
        servers: usize,
        #[arg(long, default_value_t = 14)]
        seed: u64,
    },
    /// Cost of choosing an address, and of a pooled connection compared with a new one.
    Connect {
        #[arg(long, default_value_t = 20_000)]
        rounds: u32,
    },
    /// The plain byte relay that streams are compared with.
    #[command(hide = true)]
    RelayProcess {
        #[arg(long)]
        target: SocketAddr,
        #[arg(long)]
        addr_file: PathBuf,
    },
}

/// Runs one measurement and prints its result.
pub fn measure(command: &MeasureCommand) -> Result<ExitCode, String> {
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    let result = match command {
        MeasureCommand::FirstToken { rate, seconds } => measure::first_token(&program, *rate, *seconds),
        MeasureCommand::Streams { at_once, tokens, rounds } => {
            measure::stream_ratio(&program, *at_once, *tokens, *rounds)
        }
        MeasureCommand::Open { streams } => measure::open_streams(&program, *streams),
        MeasureCommand::Decisions { servers, requests } => Ok(measure::decisions(*servers, *requests)),
        MeasureCommand::Addresses { seed } => Ok(paths::delay_table(*seed)),
        MeasureCommand::Outage { servers, seed } => Ok(paths::outage_table(*servers, *seed)),
        MeasureCommand::Connect { rounds } => measure::connects(*rounds),
        MeasureCommand::RelayProcess { target, addr_file } => {
            measure::relay(*target, addr_file).map(|()| serde_json::Value::Null)
        }
    };
    println!("{:#}", result.map_err(|error| error.to_string())?);
    Ok(ExitCode::SUCCESS)
}
