//! `elderstage measure`: figures with their baseline, as JSON.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Subcommand;
use elderstage_rehearsal::{measure, paths};

#[derive(Subcommand)]
pub enum What {
    /// Added time to first token, against a client that talks to the stand-ins directly.
    FirstToken {
        /// Requests a second, half direct and half through the front.
        #[arg(long, default_value_t = 500.0)]
        rate: f64,
        #[arg(long, default_value_t = 10)]
        seconds: u64,
    },
    /// Streamed tokens a second, as a ratio to a plain byte relay.
    Streams {
        #[arg(long, default_value_t = 64)]
        at_once: usize,
        /// Tokens of each stream; long, so that beginnings do not count.
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
    /// Decisions of the module a second.
    Decisions {
        #[arg(long, default_value_t = 68)]
        servers: usize,
        #[arg(long, default_value_t = 200_000)]
        requests: u32,
    },
    /// Time to a working address by fault, beside two baselines, in simulated time.
    Addresses {
        #[arg(long, default_value_t = 14)]
        seed: u64,
    },
    /// A dead network over many servers, by number of fronts up to 64, in simulated time.
    Outage {
        #[arg(long, default_value_t = 60)]
        servers: usize,
        #[arg(long, default_value_t = 14)]
        seed: u64,
    },
    /// Cost of the choice of an address, and of a pooled against a new connection.
    Connect {
        #[arg(long, default_value_t = 20_000)]
        rounds: u32,
    },
    /// The plain relay that streams are compared with.
    #[command(hide = true)]
    RelayProcess {
        #[arg(long)]
        target: SocketAddr,
        #[arg(long)]
        addr_file: PathBuf,
    },
}

pub fn measure(what: &What) -> Result<ExitCode, String> {
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    let result = match what {
        What::FirstToken { rate, seconds } => measure::first_token(&program, *rate, *seconds),
        What::Streams { at_once, tokens, rounds } => {
            measure::stream_ratio(&program, *at_once, *tokens, *rounds)
        }
        What::Open { streams } => measure::open_streams(&program, *streams),
        What::Decisions { servers, requests } => Ok(measure::decisions(*servers, *requests)),
        What::Addresses { seed } => Ok(paths::by_fault(*seed)),
        What::Outage { servers, seed } => Ok(paths::outages(*servers, *seed)),
        What::Connect { rounds } => measure::connects(*rounds),
        What::RelayProcess { target, addr_file } => {
            measure::relay(*target, addr_file).map(|()| serde_json::Value::Null)
        }
    };
    println!("{:#}", result.map_err(|error| error.to_string())?);
    Ok(ExitCode::SUCCESS)
}
