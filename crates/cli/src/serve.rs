//! `elderstage serve`: a front until it is told to stop.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use elderstage_front::Front;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Waits for SIGTERM or SIGINT, then drains and stops the front; a second signal hastens it. The exit code is 0
/// when all requests had ended by themselves, 3 when some had to be ended.
pub fn until_signal(front: Front) -> Result<ExitCode, String> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(|error| format!("signals: {error}"))?;
    let hasten = Arc::new(AtomicBool::new(false));
    signals.forever().next();
    let second = hasten.clone();
    std::thread::spawn(move || {
        signals.forever().next();
        second.store(true, Ordering::SeqCst);
    });
    let clean = front.finish(&hasten);
    Ok(if clean { ExitCode::SUCCESS } else { ExitCode::from(3) })
}

pub fn serve(path: &Path, addr_file: Option<&Path>, seed: Option<u64>) -> Result<ExitCode, String> {
    let config = match crate::config::read(path) {
        Ok(loaded) => loaded.config,
        Err(code) => return Ok(code),
    };
    let seed = seed.unwrap_or_else(|| {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        since.as_nanos() as u64 ^ u64::from(std::process::id())
    });
    let base = path.parent().unwrap_or(Path::new("."));
    let front = Front::start(config, base, seed).map_err(|error| error.to_string())?;
    if let Some(file) = addr_file {
        // Written whole under another name first, so that a reader never sees half of it.
        let half = file.with_extension("part");
        std::fs::write(&half, front.addr().to_string())
            .and_then(|()| std::fs::rename(&half, file))
            .map_err(|error| format!("{}: {error}", file.display()))?;
    }
    until_signal(front)
}
