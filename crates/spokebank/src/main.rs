//! spokebank: a serving tier for agent programs.
mod commands;
mod prelude;

use crate::prelude::*;

/// Exit codes: 0 all is well, 1 faults found or the process failed, 2 it could not begin.
fn main() -> NodeResult<()> {
    let args: Spokebank = argh::from_env();
    node_base::logs::start_logs(&args.log_level)?;
    let code = match commands::run(&args) {
        Ok(code) => code,
        Err(e) => {
            spdlog::error!("{}", e);
            if matches!(e, NodeError::BadSettings { .. }) {
                2
            } else {
                1
            }
        }
    };
    match code {
        0 => Ok(()),
        n => std::process::exit(n),
    }
}
