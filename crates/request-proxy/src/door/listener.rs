//! Accepts client connections until the proxy has ended, and gives each a task of its own.
//!
//! A connection that the kernel has accepted counts as taken: it is served even when the listener is about
//! to close. Closing a listener resets what is left in its accept queue.
use super::connection::serve_connection;
use crate::prelude::*;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A client that acknowledges nothing for so long is gone.
pub(super) const PEER_TIMEOUT: Duration = Duration::from_secs(4);
/// Descriptors kept for engines, stores and the agent; of the rest, one in two is a client's.
const OTHER_DESCRIPTORS: u64 = 400;
const FEWEST_CONNECTIONS: u64 = 64;
/// While the proxy is closing, how often it looks whether any connection is left.
const CALM_CHECK: Duration = Duration::from_millis(40);
/// After so many checks in a row without a connection nothing more is expected.
const CALM_CHECKS: u32 = 4;
/// After an accept that failed, for lack of descriptors for example.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

pub(super) async fn accept_failed() {
    tokio::time::sleep(ACCEPT_PAUSE).await;
}

/// The connections that may be open at once. Invariant: each open connection holds a permit, and so does a
/// pending accept, so that no connection is accepted that couldn't be served.
struct ConnectionSlots {
    permits: Arc<Semaphore>,
    total: u32,
}

impl ConnectionSlots {
    fn new(descriptors: u64) -> Self {
        let total = (descriptors.saturating_sub(OTHER_DESCRIPTORS) / 2).max(FEWEST_CONNECTIONS);
        let total = total.min(u64::from(u32::MAX)) as u32;
        ConnectionSlots { permits: Arc::new(Semaphore::new(total as usize)), total }
    }

    /// Waits for a free slot, then for a connection.
    async fn accept(&self, listener: &TcpListener) -> Option<(TcpStream, OwnedSemaphorePermit)> {
        let slot = self.permits.clone().acquire_owned().await.ok()?;
        match listener.accept().await {
            Ok((stream, _)) => Some((stream, slot)),
            Err(_) => {
                accept_failed().await;
                None
            }
        }
    }

    /// Whether no connection is open; asked while no accept is pending.
    fn are_all_free(&self) -> bool {
        self.permits.available_permits() == self.total as usize
    }

    /// Waits until every connection has ended.
    async fn all_ended(&self) {
        let _ = self.permits.acquire_many(self.total).await;
    }
}

/// Serves client connections until the life ends. While it is closing, whatever the entry still sends is
/// answered, one answer a connection; it ends once there has been no connection for a moment, or once
/// nothing is in flight and nothing more is admitted. Then the listener closes, and every connection is
/// brought to its orderly end.
pub async fn serve_front(
    listener: TcpListener,
    app: Arc<App>,
    mut life: watch::Receiver<LifeState>,
) {
    let slots = ConnectionSlots::new(app.settings.now().limits.descriptors);
    let mut calm_checks = 0;
    loop {
        let state = life.borrow_and_update().clone();
        if state.ended_now() {
            break;
        }
        let accepted = tokio::select! {
            changed = life.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
            accepted = slots.accept(&listener) => accepted,
            () = tokio::time::sleep(CALM_CHECK), if !state.listens() => {
                calm_checks = if slots.are_all_free() { calm_checks + 1 } else { 0 };
                if calm_checks >= CALM_CHECKS || app.drained() {
                    break;
                }
                continue;
            }
        };
        if let Some((stream, slot)) = accepted {
            spawn_connection(stream, slot, &app, &life);
        }
    }
    app.live_on(LifeEvent::Done);
    close_listener(listener, &slots, &app, &life);
    slots.all_ended().await;
}

fn spawn_connection(
    stream: TcpStream,
    slot: OwnedSemaphorePermit,
    app: &Arc<App>,
    life: &watch::Receiver<LifeState>,
) {
    tune_stream(&stream, PEER_TIMEOUT);
    let (app, life) = (app.clone(), life.clone());
    tokio::spawn(async move {
        serve_connection(stream, app, life).await;
        drop(slot);
    });
}

/// Takes what is in the accept queue, which is then answered as far as it was read, and closes.
fn close_listener(
    listener: TcpListener,
    slots: &ConnectionSlots,
    app: &Arc<App>,
    life: &watch::Receiver<LifeState>,
) {
    let Ok(listener) = listener.into_std() else { return };
    while let Ok(slot) = slots.permits.clone().try_acquire_owned() {
        let Ok((stream, _)) = listener.accept() else { return };
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        if let Ok(stream) = stream {
            spawn_connection(stream, slot, app, life);
        }
    }
}
