//! `fleet-plot --out FILE.svg ENTRY.json...`: draws the sweeps of journal entries, the first one in grey.
use argh::FromArgs;
use fleet_plot::{draw_growth, read_sweep, ChartError, Sweep, SweepError};
use std::path::PathBuf;
use std::process::ExitCode;

/// Draws how load grows with the number of machines.
#[derive(FromArgs)]
struct Arguments {
    /// the SVG file to write
    #[argh(option)]
    out: PathBuf,
    /// journal entries of sweeps, the one to compare with first
    #[argh(positional)]
    entries: Vec<PathBuf>,
}

const MEASURES: [&str; 3] = ["processor", "memory", "kB a second"];

#[derive(Debug, snafu::Snafu)]
enum ToolError {
    #[snafu(transparent)]
    Read { source: SweepError },
    #[snafu(transparent)]
    Draw { source: ChartError },
}

fn draw(arguments: &Arguments) -> Result<(), ToolError> {
    let mut sweeps: Vec<Sweep> = Vec::new();
    for entry in &arguments.entries {
        sweeps.push(read_sweep(entry)?);
    }
    draw_growth(&sweeps, &MEASURES, &arguments.out)?;
    Ok(())
}

fn main() -> ExitCode {
    match draw(&argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}
