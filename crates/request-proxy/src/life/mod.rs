//! The life of a proxy, as a statig machine, and its end in order.
#![deny(missing_docs)]
// statig writes the enum of the states; their meaning stands on its functions.
#[allow(missing_docs)]
mod machine;

pub use machine::{Life, LifeEvent, LifeState};

use crate::prelude::*;

/// The entry asks each second and needs two misses; until then it sends new connections here.
const ENTRY_NOTICES: Duration = Duration::from_millis(2600);
/// Kept of the grace so that the process ends before it is ended.
const RESERVE: Duration = Duration::from_millis(500);

/// Unready at once; takes what the entry still sends; then closes idle connections in order, finishes
/// every answer under way and ends when nothing more comes.
pub async fn end_in_order(app: &Arc<App>, serving: tokio::task::JoinHandle<()>, grace: Duration) {
    let began = Instant::now();
    app.live_on(LifeEvent::Term);
    tokio::time::sleep(ENTRY_NOTICES.min(grace / 3)).await;
    app.live_on(LifeEvent::Unlisted);
    let left = grace.saturating_sub(began.elapsed()).saturating_sub(RESERVE);
    let _ = tokio::time::timeout(left, serving).await;
    app.live_on(LifeEvent::Done);
    app.bank.release_all();
    app.tell_outcomes();
    // What was settled or released last still goes out.
    tokio::time::sleep(Duration::from_millis(100)).await;
}
