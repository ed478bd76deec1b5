//! `spokebank trial ...`.
use super::{block_on, node_settings};
use crate::prelude::*;

/// trial a new routing policy against the current one; docs/operators/trial.md explains it. Exit codes: 0
/// done, 1 faults found or refused, 2 it could not be asked; of `verdict` and `watch`: 0 candidate
/// better, 10 control better, 11 no difference, 12 stopped by a guardrail, 13 stopped by an operator, 14
/// none yet, 1 never a trial
#[derive(FromArgs)]
#[argh(subcommand, name = "trial")]
pub struct TrialArgs {
    /// the settings file, when not the one the environment names
    #[argh(option)]
    pub settings_file: Option<String>,
    #[argh(subcommand)]
    pub command: TrialCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum TrialCommand {
    Check(CheckArgs),
    Start(StartArgs),
    Watch(WatchArgs),
    Stop(StopArgs),
    Verdict(VerdictArgs),
}

/// check a trial's file; lists every fault with its field
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// the file to check
    #[argh(positional)]
    pub file: String,
}

/// start a trial on all nodes
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
pub struct StartArgs {
    /// the trial's file
    #[argh(positional)]
    pub file: String,
}

/// print a line whenever something changed, and the verdict at the end
#[derive(FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct WatchArgs {
    /// seconds between looks (2)
    #[argh(option, default = "2")]
    pub every: u64,
}

/// end the trial without a verdict; conversations under way finish on their arm
#[derive(FromArgs)]
#[argh(subcommand, name = "stop")]
pub struct StopArgs {
    /// conversations under way go to the current policy at once
    #[argh(switch)]
    pub at_once: bool,
}

/// print the verdict, or how things stand
#[derive(FromArgs)]
#[argh(subcommand, name = "verdict")]
pub struct VerdictArgs {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// draw the looks into this file (SVG)
    #[argh(option)]
    pub plot: Option<String>,
}

pub fn run(args: &TrialArgs) -> NodeResult<i32> {
    let settings = || match &args.settings_file {
        Some(f) => read_settings(f),
        None => node_settings(),
    };
    let asked = match &args.command {
        TrialCommand::Check(c) => Ok(trial_tool::check(&c.file)),
        TrialCommand::Start(s) => block_on(trial_tool::start(&settings()?, &s.file)),
        TrialCommand::Watch(w) => {
            block_on(trial_tool::watch(&settings()?, Duration::from_secs(w.every.max(1))))
        }
        TrialCommand::Stop(s) => block_on(trial_tool::stop(&settings()?, s.at_once)),
        TrialCommand::Verdict(v) => {
            block_on(trial_tool::verdict(&settings()?, v.json, v.plot.as_deref()))
        }
    };
    asked.or_else(|e| {
        eprintln!("{e}");
        Ok(2)
    })
}
