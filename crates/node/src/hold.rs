//! Named steps at which a test can pause the node, to force a certain order of events. Compiled only with the
//! feature
//! `hold`, which only tests enable. `.ci/run` checks that the deployed program contains none of it.
//!
//! The test and the node are two processes, so a step is a file: while `$ELDERSTAGE_HOLD/STEP` exists, a
//! coroutine that reaches the step creates `STEP.reached` and waits. The usual fail-point libraries do not
//! fit, since they are controlled from inside the process.

use std::path::PathBuf;
use std::time::Duration;

/// Environment variable with the folder of the step files.
const FOLDER_VARIABLE: &str = "ELDERSTAGE_HOLD";
/// Poll interval for the removal of the step file.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Waits while the test holds this step.
pub fn hold(step: &str) {
    let Some(folder) = std::env::var_os(FOLDER_VARIABLE).map(PathBuf::from) else { return };
    let step_file = folder.join(step);
    if !step_file.exists() {
        return;
    }
    // Writing fails only if the folder is gone, which means that the test has ended.
    let _ = std::fs::write(folder.join(format!("{step}.reached")), "");
    while step_file.exists() {
        elderstage_net::sleep(POLL_INTERVAL);
    }
}
