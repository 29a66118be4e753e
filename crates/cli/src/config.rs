//! `elderstage config`: checks, formats, shows, compares, tests and explains configurations.

use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Subcommand;
use elderstage_config::{LoadedConfig, RepeatName, format_config, load_file};

/// What to do with a configuration, one subcommand each.
#[derive(Subcommand)]
pub enum ConfigCommand {
    /// Read a configuration with its includes and report all errors; exit 0 if there are none, else 2.
    Check { file: PathBuf },
    /// Print a file in canonical form; comments and meaning are kept.
    Fmt {
        file: PathBuf,
        /// Write the file instead of printing it.
        #[arg(long, conflicts_with = "check")]
        write: bool,
        /// Print nothing; exit 1 if the file is not in canonical form.
        #[arg(long)]
        check: bool,
    },
    /// Print every effective value, with the file and line that it came from.
    Show {
        file: PathBuf,
        /// Leave defaults out.
        #[arg(long)]
        set: bool,
    },
    /// Print the effective changes from one configuration to another; exit 1 if there are any.
    Diff { old: PathBuf, new: PathBuf },
    /// Test the expectations in a configuration, without traffic; exit 0 if all hold, 1 if one does not.
    Test {
        file: PathBuf,
        /// Test only the expectations whose names contain this text.
        #[arg(long)]
        filter: Option<String>,
        #[arg(long, default_value_t = 5)]
        seeds: u64,
    },
    /// Print what applies to a request on a route: class, tools, servers, attempts and limits.
    Explain { file: PathBuf, route: String },
}

/// Loads a configuration with its includes. Errors are printed to standard error: first rendered with their lines, then
/// as one line each. The exit code is then 2.
pub fn load_or_report(file: &Path) -> Result<LoadedConfig, ExitCode> {
    load_file(file).map_err(|failed| {
        eprint!("{}", failed.render(std::io::stderr().is_terminal()));
        for error in &failed.errors.0 {
            eprintln!("{error}");
        }
        ExitCode::from(2)
    })
}

/// Runs one subcommand of `elderstage config`.
pub fn run(command: &ConfigCommand) -> Result<ExitCode, String> {
    let result = match command {
        ConfigCommand::Check { file } => load_or_report(file).map(|loaded| {
            let config = &loaded.config;
            println!(
                "{}: good: {} files, {} routes, {} classes, {} servers",
                file.display(),
                loaded.files.len(),
                config.routes.len(),
                config.classes.len(),
                config.servers.len()
            );
            ExitCode::SUCCESS
        }),
        ConfigCommand::Fmt { file, write, check } => return format_file(file, *write, *check),
        ConfigCommand::Show { file, set } => match load_or_report(file) {
            Ok(loaded) => {
                print(&format_effective_values(&loaded, *set))?;
                Ok(ExitCode::SUCCESS)
            }
            Err(code) => Err(code),
        },
        ConfigCommand::Diff { old, new } => load_or_report(old).and_then(|old| {
            let lines = elderstage_config::diff(&old.effective, &load_or_report(new)?.effective);
            lines.iter().for_each(|line| println!("{line}"));
            Ok(if lines.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }),
        ConfigCommand::Test { file, filter, seeds } => match load_or_report(file) {
            Ok(loaded) => return test_expectations(file, &loaded, filter.as_deref(), *seeds),
            Err(code) => Err(code),
        },
        ConfigCommand::Explain { file, route } => match load_or_report(file) {
            Ok(loaded) => return explain_route(&loaded, route),
            Err(code) => Err(code),
        },
    };
    Ok(result.unwrap_or_else(|code| code))
}

/// Formats a file, and prints it, checks it or writes it back.
fn format_file(file: &Path, should_write: bool, check_only: bool) -> Result<ExitCode, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|error| format!("{name}: {error}"))?;
    let formatted = format_config(&name, &text).map_err(|errors| errors.to_string())?;
    if check_only {
        return Ok(if formatted == text { ExitCode::SUCCESS } else { ExitCode::FAILURE });
    }
    if !should_write {
        print(&formatted)?;
    } else if formatted != text {
        // The file is written under another name and then renamed, so that a failure never leaves a truncated file.
        let temporary = file.with_extension("part");
        std::fs::write(&temporary, formatted)
            .and_then(|()| std::fs::rename(&temporary, file))
            .map_err(|error| format!("{name}: {error}"))?;
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints to standard output. A closed pipe is not an error: the process that reads the output has ended.
fn print(text: &str) -> Result<(), String> {
    match std::io::stdout().lock().write_all(text.as_bytes()) {
        Err(error) if error.kind() != std::io::ErrorKind::BrokenPipe => Err(error.to_string()),
        _ => Ok(()),
    }
}

/// The effective values as text, by section; without the defaults if `set_only`.
fn format_effective_values(loaded: &LoadedConfig, set_only: bool) -> String {
    let (mut out, mut section) = (String::new(), "");
    for effective in loaded.effective.iter().filter(|effective| !set_only || effective.position.is_some()) {
        if effective.section != section {
            section = &effective.section;
            out.push_str(&std::format!("{section}\n"));
        }
        let origin = effective.position.map_or("default".into(), |at| {
            let file = loaded.files.get(at.file).map_or("?", |file| file.name.as_str());
            format!("{file}:{}", at.line)
        });
        out.push_str(&std::format!("    {:<22} {:<40} # {origin}\n", effective.name, effective.value));
    }
    out
}

/// Tests the expectations whose names contain `filter` with `seeds` seeds each, and prints the results. The exit code is
/// 0 if at least one was tested and all hold, else 1.
fn test_expectations(
    file: &Path,
    loaded: &LoadedConfig,
    filter: Option<&str>,
    seeds: u64,
) -> Result<ExitCode, String> {
    let config = &loaded.config;
    let servers = match &config.servers_file {
        None => config.servers.clone(),
        Some(list) => {
            let path = file.parent().unwrap_or(Path::new("")).join(list);
            let text =
                std::fs::read_to_string(&path).map_err(|error| format!("{}: {error}", path.display()))?;
            elderstage_config::parse_servers(&path.display().to_string(), &text, config)
                .map_err(|errors| errors.to_string())?
        }
    };
    let is_selected =
        |expect: &&elderstage_config::ExpectationConfig| filter.is_none_or(|part| expect.name.contains(part));
    let (mut tested, mut failed, mut out) = (0, 0, String::new());
    for expect in config.expectations.iter().filter(is_selected) {
        tested += 1;
        let verdict = elderstage_expect::run_expectation(config, &servers, expect, seeds);
        failed += usize::from(!verdict.holds());
        let word = if verdict.holds() { "holds" } else { "FAILS" };
        out.push_str(&std::format!("{word}  {} (line {})\n", verdict.name, verdict.line));
        for check in verdict.checks.iter().filter(|check| !check.holds) {
            out.push_str(&std::format!("       {}: seen {}, seed {}\n", check.what, check.seen, check.seed));
            if let Some(witness) = &check.witness {
                out.push_str(&std::format!("       {witness}\n"));
            }
        }
    }
    out.push_str(&std::format!("{tested} tried, {failed} failed, {seeds} seeds each\n"));
    print(&out)?;
    // A run that tests no expectation proves nothing, so it fails.
    Ok(if failed == 0 && tested > 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Prints what applies to a request on the route `name`.
fn explain_route(loaded: &LoadedConfig, name: &str) -> Result<ExitCode, String> {
    let config = &loaded.config;
    let Some(route) = config.routes.iter().find(|route| route.name == name) else {
        let names: Vec<&str> = config.routes.iter().map(|route| route.name.as_str()).collect();
        return Err(format!("no route is called {name}; there are {}", names.join(", ")));
    };
    let Some(class) = config.classes.iter().find(|class| class.name == route.class) else {
        return Err(format!("route {name} has no class"));
    };
    let ms = |micros: u64| format!("{} ms", micros as f64 / 1e3);
    println!("route {}, class {}", route.name, class.name);
    println!(
        "  repeats: {}",
        match class.repeat {
            RepeatName::Safe => "safe; sent again after any failure".into(),
            RepeatName::Unsafe => "unsafe; never sent again once it may have run".into(),
            RepeatName::Keyed { group, memory } =>
                format!("keyed; sent again within {group:?} and {} of the first", ms(memory)),
        }
    );
    println!("  first token within {}, given up after {}", ms(class.ttft_target), ms(class.give_up));
    println!("  the whole answer within {}", ms(class.total));
    println!("  at most {} sends for each of {} turns", config.rules.max_attempts, route.max_turns);
    println!("  at most {} tokens a turn", route.max_tokens);
    for tool in config.tools.iter().filter(|tool| route.tools.contains(&tool.name)) {
        let effect =
            if tool.has_effect { "lasting effect, one call unless proved unrun" } else { "no effect" };
        println!("  tool {}: {effect}, {} a call, {} tries", tool.name, ms(tool.timeout), tool.max_tries);
    }
    for kind in &config.kinds {
        let count = config.servers.iter().filter(|server| server.kind == kind.name).count();
        println!("  kind {}: {:?}, {count} servers in the file", kind.name, kind.role);
    }
    Ok(ExitCode::SUCCESS)
}
