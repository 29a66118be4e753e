//! The `elderstage` program: parses the command line, sets up logging and runs one command.
//!
//! Each command is in the module of its name. An error that a command returns is printed to standard error, and the
//! exit code is then 2.

mod config;
mod demo;
mod fleet;
mod measure;
mod node;
mod rehearse;
mod serve;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use tracing_subscriber::EnvFilter;

/// A router for language-model servers that read prompts and write answers at separate engines.
#[derive(Parser)]
#[command(version, about, propagate_version = true)]
struct Cli {
    /// Format of the log lines.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    log: LogFormat,
    /// Log levels by target, such as `info`, `request=debug` or `front=warn,request=trace`.
    #[arg(long, global = true, default_value = "info,may=warn", value_name = "LEVELS")]
    log_level: String,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Run a front until SIGTERM or SIGINT, which drain it; a second signal ends the drain early.
    Serve {
        /// The configuration file.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Write the address that the front listens on to this file, for use with port 0.
        #[arg(long, value_name = "FILE")]
        addr_file: Option<PathBuf>,
        /// Seed of the random numbers that break ties; drawn from the clock if not given.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Run a front node of the platform until SIGTERM; SIGHUP reloads its configuration.
    Node {
        /// The configuration file; if not given, the environment variable PROXY_CONFIG names it.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Check, format, show, compare and explain configurations.
    Config {
        #[command(subcommand)]
        command: config::ConfigCommand,
    },
    /// Run keepers and agents of a fleet, propose changes to them, and show their state.
    Fleet {
        #[command(subcommand)]
        command: fleet::FleetCommand,
    },
    /// Run stand-in engines, a tool server and one front, and print an example request.
    Demo {
        /// Where the front listens.
        #[arg(long, default_value = "127.0.0.1:7080", value_name = "ADDR")]
        listen: std::net::SocketAddr,
    },
    /// Measure the front against a baseline in the same run, on stand-ins.
    Measure {
        #[command(subcommand)]
        command: measure::MeasureCommand,
    },
    /// Play a scripted day against stand-ins and check the rules; exit 0 only if all of them hold.
    Rehearse {
        /// The script, or a folder with a `day.conf`.
        script: PathBuf,
        /// Write the result as JSON to this file.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Keep the files of the run (traffic, configurations, logs) in this folder.
        #[arg(long, value_name = "DIR")]
        keep: Option<PathBuf>,
        /// Play only this many requests, with the script's times shortened in proportion; the steps of a node's day keep theirs.
        #[arg(long, value_name = "N")]
        requests: Option<u64>,
        /// The program that is run as fronts or as the node, such as an earlier release; this one if not given.
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
    },
}

/// Sends log lines to standard error, in the given format and at the given levels.
fn init_logging(format: LogFormat, levels: &str) -> Result<(), String> {
    let filter = EnvFilter::try_new(levels).map_err(|error| format!("--log-level: {error}"))?;
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let builder = builder.with_ansi(std::io::IsTerminal::is_terminal(&std::io::stderr()));
    let result = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    result.map_err(|error| error.to_string())
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = init_logging(cli.log, &cli.log_level).and_then(|()| match cli.command {
        Command::Serve { config, addr_file, seed } => serve::serve(&config, addr_file.as_deref(), seed),
        Command::Node { config } => node::node(config),
        Command::Config { command } => config::run(&command),
        Command::Fleet { command } => fleet::run_fleet_command(&command),
        Command::Demo { listen } => demo::run(listen),
        Command::Measure { command } => measure::measure(&command),
        Command::Rehearse { script, json, keep, requests, program } => {
            let options = rehearse::RehearseOptions { json, keep, requests, program };
            rehearse::rehearse(&script, &options)
        }
    });
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("elderstage: {error}");
            ExitCode::from(2)
        }
    }
}
