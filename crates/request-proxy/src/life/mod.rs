//! The life of a proxy: its states, which work it takes, and its end in order.
#![deny(missing_docs)]
mod admission;
mod drain;
// statig writes the enum of the states; their meaning stands on its functions.
#[allow(missing_docs)]
mod machine;
mod work;

pub use admission::{Admission, Verdict, Work, WorkStage};
pub use drain::{Cohort, DrainClock};
pub use machine::{Life, LifeEvent, LifeState};
pub use work::{WorkHistory, WorkSize};

use crate::app::locked;
use crate::prelude::*;

/// What was settled or released last goes out in the process's last moments.
const LAST_MESSAGES: Duration = Duration::from_millis(100);

/// Unready at once; goes on taking connections and admits what it can finish; once the entry has had time
/// to notice closes idle connections in order; ends when nothing more comes, or when its time is over.
pub async fn end_in_order(
    app: &Arc<App>,
    mut serving: tokio::task::JoinHandle<()>,
    grace: Duration,
) {
    let clock = DrainClock::new(app.now(), grace);
    let name = app.settings.now().node_name.clone();
    locked(&app.admission).begin_drain(clock, Cohort::of(&name));
    app.live_on(LifeEvent::Term);
    let calm = async {
        tokio::time::sleep_until(app.at(clock.entry_notices())).await;
        app.live_on(LifeEvent::Unlisted);
        std::future::pending::<()>().await
    };
    tokio::select! {
        _ = &mut serving => {}
        () = calm => {}
        () = tokio::time::sleep_until(app.at(clock.work_ends())) => {}
    }
    app.live_on(LifeEvent::Done);
    // Connections on which nothing is under way are closed; what is still asked is refused.
    if !serving.is_finished() {
        let _ = tokio::time::timeout_at(app.at(clock.process_ends()), serving).await;
    }
    app.bank.release_leases();
    app.tell_outcomes();
    app.accounts.log_totals();
    tokio::time::sleep(LAST_MESSAGES.min(grace / 64)).await;
}
