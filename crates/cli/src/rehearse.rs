//! `elderstage rehearse`: plays a scripted day against mock servers and reports which rules hold.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use elderstage_rehearsal::day;
use elderstage_rehearsal::node_day::play::{NodeDayOptions, run_node_day};
use elderstage_rehearsal::node_day::script::NodeDay;
use elderstage_rehearsal::play::{RunOptions, run_script};
use indicatif::{ProgressBar, ProgressStyle};

/// What a day came to.
struct DayResult {
    text: String,
    json: serde_json::Value,
    has_passed: bool,
}

/// Options of the command line.
pub struct RehearseOptions {
    /// The report is written to this file as JSON.
    pub json: Option<PathBuf>,
    /// The files of the run stay in this directory. Without it they are removed.
    pub keep: Option<PathBuf>,
    /// The script is shortened to this many requests.
    pub requests: Option<u64>,
    /// The program that is run; this one if not given.
    pub program: Option<PathBuf>,
}

/// Plays `script` and prints the report. The exit code is 0 if the report is good, else 1.
pub fn rehearse(script: &Path, options: &RehearseOptions) -> Result<ExitCode, String> {
    let script = if script.is_dir() { script.join("day.conf") } else { script.to_owned() };
    let text = std::fs::read_to_string(&script).map_err(|error| format!("{}: {error}", script.display()))?;
    let name = script.display().to_string();
    let mut run = Run::create(options)?;
    let result = if NodeDay::is_script(&text) {
        let mut day = NodeDay::parse(&name, &text).map_err(|errors| errors.to_string())?;
        if let Some(requests) = options.requests {
            day.shorten(requests);
        }
        run.play_node_day(&day)
    } else {
        let mut day = day::parse(&name, &text).map_err(|errors| errors.to_string())?;
        if let Some(requests) = options.requests {
            day.shorten(requests);
        }
        run.play_day(&day)
    };
    // An error may name a log.
    run.is_temporary &= result.is_ok();
    let result = result?;
    print!("{}", result.text);
    if let Some(path) = &options.json {
        std::fs::write(path, format!("{:#}\n", result.json))
            .map_err(|error| format!("{}: {error}", path.display()))?;
    }
    Ok(if result.has_passed { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// One run: the program that it starts, and the directory of its files.
struct Run {
    program: PathBuf,
    dir: PathBuf,
    is_temporary: bool,
}

impl Drop for Run {
    fn drop(&mut self) {
        if self.is_temporary {
            // The directory contains only the files of this run.
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

impl Run {
    fn create(options: &RehearseOptions) -> Result<Run, String> {
        let temporary = std::env::temp_dir().join(format!("elderstage-rehearsal-{}", std::process::id()));
        let dir = options.keep.clone().unwrap_or(temporary);
        std::fs::create_dir_all(&dir).map_err(|error| format!("{}: {error}", dir.display()))?;
        let program = match &options.program {
            Some(program) => program.clone(),
            None => std::env::current_exe().map_err(|error| error.to_string())?,
        };
        Ok(Run { program, dir, is_temporary: options.keep.is_none() })
    }

    /// Plays a day of fronts.
    fn play_day(&self, day: &day::Day) -> Result<DayResult, String> {
        let progress_bar = progress_bar(&day.name, day.load.requests);
        let progress = |started| progress_bar.set_position(started);
        let options = RunOptions { program: &self.program, dir: &self.dir, progress: &progress };
        let report = run_script(day, &options).map_err(|error| error.to_string());
        progress_bar.finish_and_clear();
        let report = report?;
        Ok(DayResult { text: report.to_string(), json: report.json(), has_passed: report.passed() })
    }

    /// Plays a day of a node.
    fn play_node_day(&self, day: &NodeDay) -> Result<DayResult, String> {
        let progress_bar = progress_bar(&day.name, day.load.requests);
        let progress = |started| progress_bar.set_position(started);
        let options = NodeDayOptions { program: &self.program, dir: &self.dir, progress: &progress };
        let report = run_node_day(day, &options).map_err(|error| error.to_string());
        progress_bar.finish_and_clear();
        let report = report?;
        Ok(DayResult { text: report.to_string(), json: report.json(), has_passed: report.passed() })
    }
}

/// A progress bar, which hides itself if there is no terminal.
fn progress_bar(name: &str, requests: u64) -> ProgressBar {
    let progress_bar = ProgressBar::new(requests);
    if let Ok(style) = ProgressStyle::with_template("{msg} [{bar:40}] {pos}/{len} {elapsed}") {
        progress_bar.set_style(style);
    }
    progress_bar.set_message(name.to_owned());
    progress_bar
}
