//! Looks for common faults, and never changes anything: facts are gathered first, then judged by a
//! pure function.
pub mod facts;
pub mod findings;
pub mod prelude;

use crate::prelude::*;

/// 0 sound, 1 faults found.
pub async fn run_doctor(settings: &NodeSettings, json: bool) -> NodeResult<i32> {
    let facts = gather(settings).await;
    let found = find_faults(settings, &facts);
    if json {
        let out = serde_json::json!({"node": settings.node_name, "sound": found.is_empty(), "findings": found});
        println!("{out}");
    } else {
        println!(
            "{}: {} cells and {} stores asked",
            settings.node_name,
            facts.cells.len(),
            facts.stores.len()
        );
        for f in &found {
            println!("{}: {}\n    what to do: {}", f.place, f.fault, f.remedy);
        }
        if found.is_empty() {
            println!("sound");
        }
    }
    Ok(i32::from(!found.is_empty()))
}
