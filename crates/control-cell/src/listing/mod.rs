//! Reads the platform's list for the zones this cell holds.
mod pace;

pub use pace::ListInterval;

use crate::prelude::*;

/// The zones to read, each with the epoch that made this cell its holder.
pub type OwnedZones = BTreeMap<String, u64>;

const WITHIN: Duration = Duration::from_millis(800);

/// Reads the lists of the owned zones, each round at the address that the settings name then; without
/// one it waits for settings that do.
pub async fn read_lists(
    mut shared: SharedSettings,
    mut owned: watch::Receiver<OwnedZones>,
    out: mpsc::Sender<CellCommand>,
) {
    let mut back = Backoff::new(Duration::from_millis(200), Duration::from_secs(2));
    let mut pace = ListInterval::new(shared.now().bounds.drain);
    let began = Instant::now();
    loop {
        let settings = shared.now();
        let Some(cloud) = &settings.cloud else {
            tokio::select! {
                _ = shared.changed() => continue,
                _ = out.closed() => return,
            }
        };
        pace.set_drain(settings.bounds.drain);
        let now: OwnedZones = owned.borrow_and_update().clone();
        let mut failed = Duration::ZERO;
        for (zone, epoch) in now {
            match list_zone(cloud.address, &zone, WITHIN).await {
                Ok(list) => {
                    back.reset();
                    let engines: Vec<EngineEntry> = list.into_iter().map(entry_of).collect();
                    pace.read(&zone, &engines, began.elapsed());
                    let cmd = CellCommand::Listed { zone, epoch, engines };
                    if out.send(cmd).await.is_err() {
                        return;
                    }
                }
                Err(_) => failed = failed.max(back.next_pause()),
            }
        }
        let pause = pace.pause(began.elapsed()).max(failed);
        tokio::select! {
            _ = tokio::time::sleep(pause) => {}
            _ = shared.changed() => back.reset(),
            r = owned.changed() => if r.is_err() { return },
        }
    }
}

fn entry_of(e: ListedEngine) -> EngineEntry {
    EngineEntry {
        draining: e.state != "ready",
        id: e.id,
        service: e.service_name,
        addr: e.address,
        zone: e.zone,
        slots: e.slot_count,
        cold_ms: if e.cold_remaining_ms > 0.0 { e.cold_remaining_ms as u64 } else { 0 },
    }
}
