//! A proxy's connections to engines follow its traffic and not the number of engines.
mod support;

use session_index::prelude::{EngineKey, Pace};
use stand_ins::prelude::*;
use support::{until, Proxy};

const ENGINES: usize = 8;

async fn engines() -> Vec<ScriptedEngine> {
    let mut all = Vec::new();
    for i in 0..ENGINES {
        all.push(ScriptedEngine::start(&format!("i-{i}"), "127.0.0.1:0").await.unwrap());
    }
    all
}

async fn proxy_of(name: &str, engines: &[ScriptedEngine]) -> Proxy {
    let known: Vec<(&str, SocketAddr)> = engines.iter().map(|e| (&*e.id, e.addr)).collect();
    Proxy::start(name, &known).await
}

fn connections(engines: &[ScriptedEngine]) -> usize {
    engines.iter().map(ScriptedEngine::connections).sum()
}

/// Engines on loopback answer faster than an unknown one is taken for, which alone would keep calls where they
/// were: each counts as unknown again.
fn forget_paces(proxy: &Proxy, engines: &[ScriptedEngine]) {
    let mut scheduler = proxy.app.sched.lock().unwrap();
    for engine in engines {
        scheduler.engines.get_mut(EngineKey::of(&engine.id)).unwrap().pace = Pace::default();
    }
}

#[tokio::test]
async fn calls_one_after_another_use_the_connection_that_is_there() {
    let engines = engines().await;
    let proxy = proxy_of("reuse", &engines).await;
    for i in 0..30 {
        assert_eq!(proxy.call(&format!("c{i}"), "/w/a", b"x").await.status, 200);
        forget_paces(&proxy, &engines);
    }
    assert_eq!(connections(&engines), 1);
}

/// The engine that was used closes: the next call opens one connection, there or elsewhere, and the others
/// stay on it.
#[tokio::test]
async fn a_connection_that_was_closed_is_not_counted_on() {
    let engines = engines().await;
    let proxy = proxy_of("closed", &engines).await;
    for engine in &engines {
        engine.script(vec![Step::Run, Step::Echo, Step::Close]);
    }
    assert_eq!(proxy.call("first", "/w/a", b"x").await.status, 200);
    let steps = || engines.iter().map(ScriptedEngine::steps).sum::<usize>();
    until("the engine has closed", || steps() == 3).await;
    engines.iter().for_each(ScriptedEngine::unscript);
    for i in 0..10 {
        forget_paces(&proxy, &engines);
        assert_eq!(proxy.call(&format!("c{i}"), "/w/a", b"x").await.status, 200);
    }
    assert_eq!(connections(&engines), 2);
}
