//! The bounds of a deployment, for tests of what is derived from them.
use control_cell::prelude::Duration;
use node_runtime::settings::Bounds;

/// Bounds with these of `contactMs`, `catchUpS` and `drainMs`, in milliseconds.
pub fn bounds(contact_ms: u64, catch_up_ms: u64, drain_ms: u64) -> Bounds {
    Bounds {
        contact: Duration::from_millis(contact_ms),
        acknowledge: Duration::from_millis(4000),
        catch_up: Duration::from_millis(catch_up_ms),
        drain: Duration::from_millis(drain_ms),
        grace: Duration::from_secs(8),
        config_apply: Duration::from_millis(2000),
        reuse_after: Duration::from_secs(2),
    }
}
