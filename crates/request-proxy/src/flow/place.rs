//! Placement: an engine now, or a place in the ready queue until there is one.
use super::Job;
use crate::app::locked;
use crate::prelude::*;

/// A grant that ends by itself when it is dropped.
pub struct Held {
    app: Arc<App>,
    grant: Option<Grant>,
}

impl Held {
    /// Hands the grant on to the relay, which ends it.
    pub fn take(mut self) -> Option<Grant> {
        self.grant.take()
    }

    pub fn grant(&self) -> Option<&Grant> {
        self.grant.as_ref()
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        if let Some(g) = self.grant.take() {
            self.app.end_grant(&g, false);
        }
    }
}

/// Leaves the ready queue when the client goes away.
struct Waiting<'a> {
    app: &'a App,
    ticket: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        locked(&self.app.sched).give_up(self.ticket);
        locked(&self.app.tickets).remove(&self.ticket);
    }
}

/// What others have under way fades: from time to time it is worth a look whether there is room.
const LOOK: Duration = Duration::from_millis(20);

/// An engine at once, or none.
pub fn place_now(job: &Job<'_>, ask: &Ask) -> Option<Held> {
    let app = job.app;
    let g = locked(&app.sched).place_now(ask, app.now())?;
    Some(Held { app: app.clone(), grant: Some(g) })
}

pub async fn place(job: &Job<'_>, ask: Ask) -> Result<Held, OwnAnswer> {
    let app = job.app;
    let held = |g| Held { app: app.clone(), grant: Some(g) };
    let (ticket, mut rx) = {
        let mut sched = locked(&app.sched);
        match sched.place(ask, app.now()) {
            Placed::Go(g) => return Ok(held(g)),
            Placed::Refused(after) => {
                return Err(OwnAnswer::Refused { after, why: "no engine can take it in time" })
            }
            Placed::Wait(ticket) => {
                let (tx, rx) = oneshot::channel();
                locked(&app.tickets).insert(ticket, tx);
                (ticket, rx)
            }
        }
    };
    let waiting = Waiting { app, ticket };
    // Half of what is left: the rest is for running.
    let until = Instant::now() + job.left() / 2;
    loop {
        match tokio::time::timeout(LOOK, &mut rx).await {
            Ok(Ok(g)) => return Ok(held(g)),
            Ok(Err(_)) => return Err(OwnAnswer::refused(100, "no engine can take it in time")),
            Err(_) if Instant::now() >= until => {
                drop(waiting);
                if let Ok(g) = rx.try_recv() {
                    return Ok(held(g));
                }
                return Err(OwnAnswer::refused(100, "no engine can take it in time"));
            }
            Err(_) => app.pump(),
        }
    }
}
