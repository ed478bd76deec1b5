//! The command line.
mod trial;

use crate::prelude::*;
use std::future::Future;

/// spokebank: a serving tier for agent programs
#[derive(FromArgs)]
pub struct Spokebank {
    /// how much is logged: off, error, warn, info or debug (warn)
    #[argh(option, default = "String::from(\"warn\")")]
    pub log_level: String,
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Proxy(ProxyArgs),
    Agent(AgentArgs),
    Cell(CellArgs),
    Store(StoreArgs),
    Check(CheckArgs),
    Doctor(DoctorArgs),
    Trial(trial::TrialArgs),
}

/// carry requests from clients to engines
#[derive(FromArgs)]
#[argh(subcommand, name = "request-proxy")]
pub struct ProxyArgs {}

/// keep the link to the cells and feed the proxy on this machine
#[derive(FromArgs)]
#[argh(subcommand, name = "feed-agent")]
pub struct AgentArgs {}

/// keep engines, nodes and the configuration; serve the operator
#[derive(FromArgs)]
#[argh(subcommand, name = "control-cell")]
pub struct CellArgs {}

/// keep turns and the programs' allowances on disk
#[derive(FromArgs)]
#[argh(subcommand, name = "turn-store")]
pub struct StoreArgs {}

/// look for common faults around this machine; changes nothing. Exit code 0: sound, 1: faults found, 2:
/// it could not look
#[derive(FromArgs)]
#[argh(subcommand, name = "doctor")]
pub struct DoctorArgs {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// the settings file, when not the one the environment names
    #[argh(option)]
    pub settings_file: Option<String>,
}

/// check an operator's configuration file; lists every fault with its place
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
pub struct CheckArgs {
    /// the file to check
    #[argh(positional)]
    pub file: String,
}

/// Where the platform says the settings are.
const SETTINGS_FILE_VARIABLE: &str = "SPOKEBANK_NODE_FILE";
const DEFAULT_SETTINGS_FILE: &str = "/etc/spokebank/settings.toml";

fn settings_file() -> String {
    std::env::var(SETTINGS_FILE_VARIABLE).unwrap_or_else(|_| DEFAULT_SETTINGS_FILE.into())
}

fn node_settings() -> NodeResult<NodeSettings> {
    read_settings(&settings_file())
}

pub fn run(args: &Spokebank) -> NodeResult<i32> {
    match &args.command {
        Command::Proxy(_) => serve(request_proxy::run_proxy),
        Command::Agent(_) => serve(feed_agent::run_agent),
        Command::Cell(_) => serve(control_cell::run_cell),
        Command::Store(_) => serve(turn_store::run_store),
        Command::Doctor(d) => {
            let settings = match &d.settings_file {
                Some(f) => read_settings(f)?,
                None => node_settings()?,
            };
            block_on(doctor::run_doctor(&settings, d.json))
        }
        Command::Check(c) => check(&c.file),
        Command::Trial(t) => trial::run(t),
    }
}

/// Runs a program on settings that follow their file. The file is watched, and SIGHUP handled, before
/// the program's own start begins.
fn serve<F: Future<Output = NodeResult<()>>>(
    program: impl FnOnce(SharedSettings) -> F,
) -> NodeResult<i32> {
    block_on(async { program(watch_settings(&settings_file())?).await }).map(|()| 0)
}

fn block_on<T>(f: impl Future<Output = NodeResult<T>>) -> NodeResult<T> {
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| NodeError::Io { what: "runtime".into(), source: e })?;
    rt.block_on(f)
}

fn check(file: &str) -> NodeResult<i32> {
    let body = match std::fs::read(file) {
        Ok(b) => b,
        Err(e) => {
            eprintln!("{file}: {e}");
            return Ok(2);
        }
    };
    match check_config(&body) {
        Ok(c) => {
            println!(
                "{file}: sound: version {}, {} routes, {} services",
                c.version,
                c.routes.len(),
                c.services.len()
            );
            Ok(0)
        }
        Err(faults) => {
            for f in &faults {
                println!("{file}: {f}");
            }
            Ok(1)
        }
    }
}
