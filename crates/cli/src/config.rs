//! `elderstage config`: check, format, show, compare and explain configurations.

use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Subcommand;
use elderstage_config::{LoadedConfig, RepeatName, format, load_file};

#[derive(Subcommand)]
pub enum What {
    /// Read a configuration with its includes and tell all that is wrong; exit 0 if nothing is, else 2.
    Check { file: PathBuf },
    /// Print a file in its one form; comments and what it says stay.
    Fmt {
        file: PathBuf,
        /// Write the file instead of printing it.
        #[arg(long, conflicts_with = "check")]
        write: bool,
        /// Print nothing; exit 1 if the file is not in its one form.
        #[arg(long)]
        check: bool,
    },
    /// Print every value that acts, with the file and line that it came from.
    Show {
        file: PathBuf,
        /// Leave defaults out.
        #[arg(long)]
        set: bool,
    },
    /// Print what changes in effect from one configuration to another; exit 1 if anything does.
    Diff { old: PathBuf, new: PathBuf },
    /// Try the expectations that stand in a configuration, without traffic; exit 0 if all hold, 1 if one does not.
    Test {
        file: PathBuf,
        /// Only those whose names contain this.
        #[arg(long)]
        filter: Option<String>,
        #[arg(long, default_value_t = 5)]
        seeds: u64,
    },
    /// Print what a request on a route meets: class, tools, servers, attempts and limits.
    Explain { file: PathBuf, route: String },
}

/// Reads a configuration; what is wrong goes to standard error, shown in its lines.
pub fn read(file: &Path) -> Result<LoadedConfig, ExitCode> {
    load_file(file).map_err(|failed| {
        eprint!("{}", failed.render(std::io::stderr().is_terminal()));
        for error in &failed.errors.0 {
            eprintln!("{error}");
        }
        ExitCode::from(2)
    })
}

pub fn config(what: &What) -> Result<ExitCode, String> {
    let done = match what {
        What::Check { file } => read(file).map(|loaded| {
            let c = &loaded.config;
            println!(
                "{}: good: {} files, {} routes, {} classes, {} servers",
                file.display(),
                loaded.files.len(),
                c.routes.len(),
                c.classes.len(),
                c.servers.len()
            );
            ExitCode::SUCCESS
        }),
        What::Fmt { file, write, check } => return fmt(file, *write, *check),
        What::Show { file, set } => match read(file) {
            Ok(loaded) => {
                print(&show(&loaded, *set))?;
                Ok(ExitCode::SUCCESS)
            }
            Err(code) => Err(code),
        },
        What::Diff { old, new } => read(old).and_then(|old| {
            let lines = elderstage_config::diff(&old.effective, &read(new)?.effective);
            lines.iter().for_each(|line| println!("{line}"));
            Ok(if lines.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }),
        What::Test { file, filter, seeds } => match read(file) {
            Ok(loaded) => return test(file, &loaded, filter.as_deref(), *seeds),
            Err(code) => Err(code),
        },
        What::Explain { file, route } => match read(file) {
            Ok(loaded) => return explain(&loaded, route),
            Err(code) => Err(code),
        },
    };
    Ok(done.unwrap_or_else(|code| code))
}

fn fmt(file: &Path, write: bool, check: bool) -> Result<ExitCode, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|error| format!("{name}: {error}"))?;
    let formatted = format(&name, &text).map_err(|errors| errors.to_string())?;
    if check {
        return Ok(if formatted == text { ExitCode::SUCCESS } else { ExitCode::FAILURE });
    }
    if !write {
        print(&formatted)?;
    } else if formatted != text {
        // Written whole under another name first: a file cut in half is nobody's configuration.
        let half = file.with_extension("part");
        std::fs::write(&half, formatted)
            .and_then(|()| std::fs::rename(&half, file))
            .map_err(|error| format!("{name}: {error}"))?;
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints, and takes it that whoever reads has had enough.
fn print(text: &str) -> Result<(), String> {
    match std::io::stdout().lock().write_all(text.as_bytes()) {
        Err(error) if error.kind() != std::io::ErrorKind::BrokenPipe => Err(error.to_string()),
        _ => Ok(()),
    }
}

fn show(loaded: &LoadedConfig, set: bool) -> String {
    let (mut out, mut section) = (String::new(), "");
    for effective in loaded.effective.iter().filter(|effective| !set || effective.at.is_some()) {
        if effective.section != section {
            section = &effective.section;
            out.push_str(&std::format!("{section}\n"));
        }
        let from = effective.at.map_or("default".into(), |at| {
            let file = loaded.files.get(at.file).map_or("?", |file| file.name.as_str());
            format!("{file}:{}", at.line)
        });
        out.push_str(&std::format!("    {:<22} {:<40} # {from}\n", effective.name, effective.value));
    }
    out
}

fn test(file: &Path, loaded: &LoadedConfig, filter: Option<&str>, seeds: u64) -> Result<ExitCode, String> {
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
    let wanted =
        |expect: &&elderstage_config::ExpectConfig| filter.is_none_or(|part| expect.name.contains(part));
    let (mut tried, mut broken, mut out) = (0, 0, String::new());
    for expect in config.expects.iter().filter(wanted) {
        tried += 1;
        let verdict = elderstage_expect::test(config, &servers, expect, seeds);
        broken += usize::from(!verdict.held());
        let word = if verdict.held() { "holds" } else { "FAILS" };
        out.push_str(&std::format!("{word}  {} (line {})\n", verdict.name, verdict.line));
        for check in verdict.checks.iter().filter(|check| !check.held) {
            out.push_str(&std::format!("       {}: seen {}, seed {}\n", check.what, check.seen, check.seed));
            if let Some(witness) = &check.witness {
                out.push_str(&std::format!("       {witness}\n"));
            }
        }
    }
    out.push_str(&std::format!("{tried} tried, {broken} failed, {seeds} seeds each\n"));
    print(&out)?;
    // Nothing tried proves nothing.
    Ok(if broken == 0 && tried > 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn explain(loaded: &LoadedConfig, name: &str) -> Result<ExitCode, String> {
    let c = &loaded.config;
    let Some(route) = c.routes.iter().find(|route| route.name == name) else {
        let names: Vec<&str> = c.routes.iter().map(|route| route.name.as_str()).collect();
        return Err(format!("no route is called {name}; there are {}", names.join(", ")));
    };
    let Some(class) = c.classes.iter().find(|class| class.name == route.class) else {
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
    println!("  first token within {}, given up after {}", ms(class.first_token), ms(class.give_up));
    println!("  the whole answer within {}", ms(class.total));
    println!("  at most {} sends for each of {} turns", c.rules.most_tries, route.most_turns);
    println!("  at most {} tokens a turn", route.max_tokens);
    for tool in c.tools.iter().filter(|tool| route.tools.contains(&tool.name)) {
        let effect = if tool.effect { "lasting effect, one call unless proved unrun" } else { "no effect" };
        println!("  tool {}: {effect}, {} a call, {} tries", tool.name, ms(tool.timeout), tool.tries);
    }
    for kind in &c.kinds {
        let count = c.servers.iter().filter(|server| server.kind == kind.name).count();
        println!("  kind {}: {:?}, {count} servers in the file", kind.name, kind.role);
    }
    Ok(ExitCode::SUCCESS)
}
