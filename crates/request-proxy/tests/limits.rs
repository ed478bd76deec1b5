//! The limits of attempts: what the settings say where they say nothing is what the design starts with.
use request_proxy::prelude::*;

#[test]
fn the_defaults_of_the_settings_are_the_design_s() {
    let (settings, design) = (DispatcherSettings::default(), Limits::default());
    assert_eq!(settings.attempts_per_session, design.per_session);
    assert_eq!(settings.attempts_per_program, design.per_program);
    assert_eq!(settings.lease, design.lease);
}
