//! Steps at which a test can hold the node, so that another event comes first every time. Compiled only with the feature
//! `hold`, which nothing but tests enables; `.ci/run` checks that the deployed program has none of it.
//!
//! The test and the node are two processes, so a step is a file: while `$ELDERSTAGE_HOLD/STEP` exists, who comes there
//! leaves `STEP.reached` and waits. Home-made, since the libraries for fail points are driven from inside the process.

use std::path::PathBuf;
use std::time::Duration;

/// Names the folder of the steps.
const FOLDER: &str = "ELDERSTAGE_HOLD";
/// Pause between two comparison for the end of a hold.
const LOOK: Duration = Duration::from_millis(2);

/// Waits here while the test holds this step.
pub fn hold(step: &str) {
    let Some(folder) = std::env::var_os(FOLDER).map(PathBuf::from) else { return };
    let held = folder.join(step);
    if !held.exists() {
        return;
    }
    // A test whose folder is gone has ended.
    let _ = std::fs::write(folder.join(format!("{step}.reached")), "");
    while held.exists() {
        elderstage_net::sleep(LOOK);
    }
}
