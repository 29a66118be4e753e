//! `elderstage rehearse`: plays a scripted day against mock servers and reports which rules hold.

use std::path::Path;
use std::process::ExitCode;

use elderstage_rehearsal::day;
use elderstage_rehearsal::play::{RunOptions, run_script};
use indicatif::{ProgressBar, ProgressStyle};

/// Plays `script`, prints the report, and writes it as JSON to `json` if given. The files of the run stay in `keep`, or
/// in a temporary directory that is removed. `requests` shortens the script to this many requests. The exit code is 0 if
/// the report is good, else 1.
pub fn rehearse(
    script: &Path,
    json: Option<&Path>,
    keep: Option<&Path>,
    requests: Option<u64>,
) -> Result<ExitCode, String> {
    let script = if script.is_dir() { script.join("day.conf") } else { script.to_owned() };
    let text = std::fs::read_to_string(&script).map_err(|error| format!("{}: {error}", script.display()))?;
    let mut day = day::parse(&script.display().to_string(), &text).map_err(|errors| errors.to_string())?;
    if let Some(requests) = requests {
        day.shorten(requests);
    }
    let temporary = std::env::temp_dir().join(format!("elderstage-rehearsal-{}", std::process::id()));
    let dir = keep.unwrap_or(&temporary);
    std::fs::create_dir_all(dir).map_err(|error| format!("{}: {error}", dir.display()))?;
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    // The progress bar hides itself if there is no terminal.
    let progress_bar = ProgressBar::new(day.load.requests);
    if let Ok(style) = ProgressStyle::with_template("{msg} [{bar:40}] {pos}/{len} {elapsed}") {
        progress_bar.set_style(style);
    }
    progress_bar.set_message(day.name.clone());
    let options =
        RunOptions { program: &program, dir, progress: &|started| progress_bar.set_position(started) };
    let report = run_script(&day, &options).map_err(|error| error.to_string());
    progress_bar.finish_and_clear();
    if keep.is_none() {
        // The directory contains only the files of this run.
        let _ = std::fs::remove_dir_all(&temporary);
    }
    let report = report?;
    print!("{report}");
    if let Some(path) = json {
        let text = format!("{:#}\n", report.json());
        std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))?;
    }
    Ok(if report.passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
