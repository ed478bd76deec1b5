//! spokebank: a serving tier for agent programs.
mod commands;
mod prelude;

use crate::prelude::*;

/// Settings that mean nothing: the process could not begin.
const BAD_SETTINGS: i32 = 2;
/// The disk can't be written.
const DISK_FAILED: i32 = 3;
/// Faults were found, or the process failed.
const FAILED: i32 = 1;

/// Exit codes: 0 all is well, else as above.
fn main() -> NodeResult<()> {
    let args: Spokebank = argh::from_env();
    node_runtime::logs::start_logs(&args.log_level)?;
    let code = match commands::run(&args) {
        Ok(code) => code,
        Err(e) => {
            spdlog::error!("{}", e);
            match e {
                NodeError::BadSettings { .. } => BAD_SETTINGS,
                NodeError::DiskFailed { .. } => DISK_FAILED,
                _ => FAILED,
            }
        }
    };
    match code {
        0 => Ok(()),
        n => std::process::exit(n),
    }
}
