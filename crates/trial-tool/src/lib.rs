//! The operator's side of a routing trial: check, start, watch, stop, verdict. Each gives an exit code:
//! 0 done (`verdict` and `watch`: see `Verdict::exit_code`), 1 faults found or refused, 2 it could not
//! be asked or read.
pub mod ask;
pub mod plot;
pub mod prelude;

use crate::prelude::*;

fn read(file: &str) -> Result<TrialSpec, i32> {
    let text = std::fs::read_to_string(file).map_err(|e| {
        eprintln!("{file}: {e}");
        2
    })?;
    check_spec(&text).map_err(|faults| {
        for f in &faults {
            println!("{file}: {f}");
        }
        1
    })
}

pub fn check(file: &str) -> i32 {
    match read(file) {
        Ok(s) => {
            println!(
                "{file}: sound: trial {}, '{}' on {}% of new conversations against '{}'",
                s.id,
                s.candidate.name,
                s.share * 100.0,
                s.control
            );
            0
        }
        Err(code) => code,
    }
}

fn agreed(r: CellReply, done: &str, refused: &str) -> i32 {
    match r {
        CellReply::Outcome(Outcome::Taken | Outcome::TakenBefore) => {
            println!("{done}");
            0
        }
        _ => {
            println!("refused: {refused}");
            1
        }
    }
}

pub async fn start(settings: &NodeSettings, file: &str) -> NodeResult<i32> {
    let spec = match read(file) {
        Ok(s) => Box::new(s),
        Err(code) => return Ok(code),
    };
    let done = format!("trial {} runs", spec.id);
    let r = ask_cells(settings, TrialRequest::Start { spec }).await?;
    Ok(agreed(
        r,
        &done,
        "a trial runs, or the last one's conversations are still finishing (drainS)",
    ))
}

pub async fn stop(settings: &NodeSettings, at_once: bool) -> NodeResult<i32> {
    let r = ask_cells(settings, TrialRequest::Stop { at_once }).await?;
    Ok(agreed(r, "stopped", "no trial runs"))
}

async fn status(settings: &NodeSettings) -> NodeResult<Option<Box<TrialReport>>> {
    match ask_cells(settings, TrialRequest::Report).await? {
        CellReply::Trial(t) => Ok(t),
        _ => Err(NodeError::Other { reason: "the cells could not tell".into() }),
    }
}

/// Prints the verdict, and draws the looks into `plot`.
pub async fn verdict(settings: &NodeSettings, json: bool, plot: Option<&str>) -> NodeResult<i32> {
    let Some(t) = status(settings).await? else {
        println!("{}", if json { "null" } else { "there was no trial yet" });
        return Ok(1);
    };
    if json {
        println!(
            "{}",
            serde_json::json!({"trial": t.record.spec.id, "running": t.record.is_running(),
                "beganUnixMs": t.record.began_unix_ms, "verdict": t.verdict, "evidence": t.evidence,
                "spec": t.record.spec})
        );
    } else {
        println!("{}", say(&t.record.spec, &t.verdict, &t.evidence));
    }
    if let Some(file) = plot {
        let svg = draw_plot(&t.record.spec, &t.evidence)?;
        std::fs::write(file, svg)
            .map_err(|e| NodeError::Io { what: file.to_string(), source: e })?;
    }
    Ok(t.verdict.exit_code())
}

/// Prints a line whenever something changed, until the trial has ended; then the verdict.
pub async fn watch(settings: &NodeSettings, every: Duration) -> NodeResult<i32> {
    let mut last = String::new();
    loop {
        // A cell that can't answer now is asked again: the trial goes on without us.
        if let Ok(t) = status(settings).await {
            let Some(t) = t else {
                println!("there was no trial yet");
                return Ok(1);
            };
            if !t.record.is_running() {
                println!("{}", say(&t.record.spec, &t.verdict, &t.evidence));
                return Ok(t.verdict.exit_code());
            }
            let line = line_of(&t);
            if line != last {
                println!("{line}");
                last = line;
            }
        }
        tokio::time::sleep(every).await;
    }
}

fn line_of(t: &TrialReport) -> String {
    let [a, b] = t.evidence.conversations;
    let between = match &t.evidence.estimate {
        Some(e) => format!(
            "difference {:+.2} per 100 turns, between {:+.2} and {:+.2}",
            e.diff * 100.0,
            e.low * 100.0,
            e.high * 100.0
        ),
        None => "not compared yet".into(),
    };
    format!(
        "{}: {a} and {b} conversations, {} nodes: {between}",
        t.record.spec.id, t.evidence.nodes
    )
}
