//! `elderstage serve`: runs a front from a configuration file until it receives a signal.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use elderstage_front::Front;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Waits for SIGTERM or SIGINT, then drains and stops the front. A second signal ends the drain early. The exit code is
/// 0 if all requests ended by themselves, and 3 if some were ended by the front.
pub fn run_until_signal(front: Front) -> Result<ExitCode, String> {
    let mut signals =
        Signals::new([SIGTERM, SIGINT]).map_err(|error| format!("cannot handle signals: {error}"))?;
    let end_drain_early = Arc::new(AtomicBool::new(false));
    signals.forever().next();
    let flag = end_drain_early.clone();
    std::thread::spawn(move || {
        signals.forever().next();
        flag.store(true, Ordering::SeqCst);
    });
    let all_ended = front.finish(&end_drain_early);
    Ok(if all_ended { ExitCode::SUCCESS } else { ExitCode::from(3) })
}

/// Runs a front with the configuration in `path`. Writes the address that it listens on to `addr_file`, if given.
/// Without a seed, takes one from the clock and the process id.
pub fn serve(path: &Path, addr_file: Option<&Path>, seed: Option<u64>) -> Result<ExitCode, String> {
    let config = match crate::config::load_or_report(path) {
        Ok(loaded) => loaded.config,
        Err(code) => return Ok(code),
    };
    let seed = seed.unwrap_or_else(|| {
        let since_epoch =
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        since_epoch.as_nanos() as u64 ^ u64::from(std::process::id())
    });
    let base = path.parent().unwrap_or(Path::new("."));
    let front = Front::start(config, base, seed).map_err(|error| error.to_string())?;
    if let Some(file) = addr_file {
        // The file is written under another name and then renamed, so that no reader of it sees a partial address.
        let temporary = file.with_extension("part");
        std::fs::write(&temporary, front.addr().to_string())
            .and_then(|()| std::fs::rename(&temporary, file))
            .map_err(|error| format!("{}: {error}", file.display()))?;
    }
    run_until_signal(front)
}
