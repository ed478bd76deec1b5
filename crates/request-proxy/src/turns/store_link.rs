//! A proxy's link to one store, and whether that has kept others waiting lately.
use crate::app::locked;
use crate::prelude::*;

/// How long a store has for an answer.
pub(super) const CALL: Duration = Duration::from_millis(900);
/// How long a store that kept others waiting is no first choice.
const SUSPECT: Duration = Duration::from_millis(800);

/// Clones share the suspicion.
#[derive(Clone)]
pub(super) struct StoreLink {
    pub(super) caller: Caller,
    /// It didn't answer in time lately: until then it is no first choice.
    suspect: Arc<Mutex<Option<Instant>>>,
}

impl StoreLink {
    pub(super) fn new(addr: &str) -> Self {
        StoreLink { caller: Caller::new(addr.to_string()), suspect: Arc::new(Mutex::new(None)) }
    }

    pub(super) async fn call(&self, q: Bytes, within: Duration) -> LinkResult<StoreReply> {
        let r = self.caller.call_bytes(q, within).await;
        match &r {
            Ok(_) => *locked(&self.suspect) = None,
            Err(_) => self.suspect(),
        }
        r
    }

    pub(super) fn suspect(&self) {
        *locked(&self.suspect) = Some(Instant::now() + SUSPECT);
    }

    pub(super) fn suspected(&self) -> bool {
        locked(&self.suspect).is_some_and(|t| t > Instant::now())
    }
}
