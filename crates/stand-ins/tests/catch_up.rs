//! A core member that was away for hundreds of changes comes back over a slow link: three cells over
//! loopback, each in a runtime of its own so that one can be stopped whole, and a link that carries a
//! stated number of bytes a second.
//!
//! This shows order and completeness with real sockets and disks, however busy the machine is. How long
//! it may take is held by `control-cell/tests/catch_up.rs`, in virtual time.
use control_cell::{run_cell_on, CellListeners};
use node_runtime::settings::{CELL_PORT, FEED_PORT};
use stand_ins::prelude::*;
use std::sync::LazyLock;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

static NET: LazyLock<Network> = LazyLock::new(|| Network::new("catch-up"));

const FIRST: u8 = 1;
const SECOND: u8 = 2;
/// Where the third cell is known to the others, and where it listens behind the slow link.
const THIRD: u8 = 3;
const THIRD_BEHIND: u8 = 13;

const CHANGES: u64 = 300;
/// Bytes of the small configurations and of the newest one.
const SMALL: usize = 8_000;
const LARGE: usize = 1_500_000;
/// The large configuration takes a second over the link, longer than the leader waited for an answer
/// before it sent its snapshot again.
const LINK_BYTES_PER_S: f64 = 1_500_000.0;
/// Ends a test that hangs; no verdict on how long anything may take.
const HANGS: Duration = Duration::from_secs(300);

fn settings(host: u8, cloud: SocketAddr) -> NodeSettings {
    let name = &format!("core-{host}");
    let (class, zone, zones, seeds) = ("core", "a", &["a"], &[FIRST, SECOND, THIRD]);
    NET.settings(&Machine { name, class, host, zone, zones, seeds, cloud })
}

/// A valid configuration of about `bytes` bytes.
fn config(version: u64, bytes: usize) -> String {
    let route = |i: usize| {
        serde_json::json!({"name": format!("r-{i}"), "hostName": "h.example",
            "pathPrefix": format!("/v{version}-{i}/"), "routeKind": "idempotent", "timeoutMs": 3000,
            "targetLatencyMs": 100, "priorityLevel": 2, "serviceName": "app", "maxAttempts": 2})
    };
    let one = route(0).to_string().len() + 4;
    let routes: Vec<serde_json::Value> = (0..bytes / one).map(route).collect();
    serde_json::json!({"configVersion": version, "routeTable": routes, "serviceTable": [
        {"name": "app", "healthPath": "/health", "connectionLimit": 64}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000}})
    .to_string()
}

/// A cell in a runtime of its own.
struct Cell {
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Cell {
    /// The cell named by `settings`; its peers reach it at `peers`.
    fn start(settings: NodeSettings, peers: String) -> Cell {
        let (stop, stopped) = tokio::sync::oneshot::channel();
        let thread = std::thread::spawn(move || {
            let own = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            own.block_on(async {
                let listeners = CellListeners {
                    peers: TcpListener::bind(&peers).await.unwrap(),
                    feed: TcpListener::bind(settings.own_addr(FEED_PORT)).await.unwrap(),
                    control: Some(
                        TcpListener::bind(settings.listen.control.unwrap()).await.unwrap(),
                    ),
                };
                tokio::select! {
                    ended = run_cell_on(settings, listeners) => ended.unwrap(),
                    _ = stopped => {}
                }
            });
            own.shutdown_timeout(Duration::from_secs(1));
        });
        Cell { stop: Some(stop), thread: Some(thread) }
    }

    /// Ends it as a loss of power would: nothing is said to anybody.
    fn stop(&mut self) {
        let _ = self.stop.take().map(|s| s.send(()));
        let _ = self.thread.take().map(|t| t.join());
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Carries bytes between `from` and `to`; those towards `to` at `rate` bytes a second over all
/// connections together, as a link does.
async fn slow_link(from: &str, to: &str, rate: f64) {
    let listener = TcpListener::bind(from).await.unwrap();
    let to = to.to_string();
    let free_at = Arc::new(tokio::sync::Mutex::new(Instant::now()));
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = TcpStream::connect(&to).await else {
                continue;
            };
            let (mut near_read, mut near_write) = near.into_split();
            let (mut far_read, mut far_write) = far.into_split();
            let free_at = free_at.clone();
            tokio::spawn(async move {
                let mut buf = vec![0; 16 << 10];
                while let Ok(n) = near_read.read(&mut buf).await {
                    if n == 0 {
                        break;
                    }
                    let mut free = free_at.lock().await;
                    *free = (*free).max(Instant::now()) + Duration::from_secs_f64(n as f64 / rate);
                    tokio::time::sleep_until((*free).into()).await;
                    drop(free);
                    if far_write.write_all(&buf[..n]).await.is_err() {
                        break;
                    }
                }
            });
            tokio::spawn(async move { tokio::io::copy(&mut far_read, &mut near_write).await });
        }
    });
}

async fn until(what: &str, mut ok: impl AsyncFnMut() -> bool) {
    let began = Instant::now();
    while !ok().await {
        assert!(began.elapsed() < HANGS, "hangs: {what}");
        tokio::task::yield_now().await;
    }
}

async fn put(host: u8, base: u64, body: &str) -> u16 {
    let base = base.to_string();
    let h = [("host", "c"), ("if-match", base.as_str()), ("content-type", "application/json")];
    let at = NET.control(host);
    call(&at, "PUT", "/config", &h, body.as_bytes()).await.map_or(0, |a| a.status)
}

/// The newest configuration as the cell of `host` serves it, if it does.
async fn served(host: u8) -> Option<Vec<u8>> {
    let at = NET.control(host);
    let got = call(&at, "GET", "/config", &[("host", "c")], b"").await?;
    (got.status == 200).then(|| got.body.to_vec())
}

async fn serves(host: u8, body: &str) -> bool {
    served(host).await.is_some_and(|got| got == body.as_bytes())
}

/// Puts each version on top of the one before, asking again until it is acknowledged, at both cells in
/// turn.
async fn put_all(versions: std::ops::RangeInclusive<u64>, bytes: usize) -> String {
    let mut body = String::new();
    for v in versions {
        body = config(v, bytes);
        let mut turn = 0;
        until("a change is acknowledged", async || {
            turn += 1;
            let host = [FIRST, SECOND][turn % 2];
            put(host, v - 1, &body).await == 200
        })
        .await;
    }
    body
}

#[tokio::test]
async fn a_member_that_was_away_for_hundreds_of_changes_follows_again() {
    let cloud = serve_platform(&NET.outside(50), Default::default()).await.unwrap();
    let direct = |host: u8| NET.inner(host, CELL_PORT);
    let start = |host: u8, peers: String| Cell::start(settings(host, cloud), peers);

    // All three agree on the first configuration.
    let mut first = start(FIRST, direct(FIRST));
    let _second = start(SECOND, direct(SECOND));
    let mut third = start(THIRD, direct(THIRD));
    let body = put_all(1..=1, SMALL).await;
    until("the third cell serves it", async || serves(THIRD, &body).await).await;

    // The third is away for all the changes; the newest is large.
    third.stop();
    put_all(2..=CHANGES, SMALL).await;
    let newest = put_all(CHANGES + 1..=CHANGES + 1, LARGE).await;

    // It comes back behind a slow link, and must know the newest without a majority's further help:
    // one of the other two is lost later.
    let behind = direct(THIRD_BEHIND);
    slow_link(&direct(THIRD), &behind, LINK_BYTES_PER_S).await;
    let _back = start(THIRD, behind);
    // Whatever it serves meanwhile is the newest: nothing older, and nothing in part.
    until("it serves the newest", async || match served(THIRD).await {
        Some(body) => {
            assert!(body == newest.as_bytes(), "served {} bytes of something older", body.len());
            true
        }
        None => false,
    })
    .await;

    // Orders still work: at the two, and with the returned one in the place of a lost one.
    let next = config(CHANGES + 2, SMALL);
    until("an order at the returned one", async || put(THIRD, CHANGES + 1, &next).await == 200)
        .await;
    first.stop();
    let last = config(CHANGES + 3, SMALL);
    until("an order with the returned one in the majority", async || {
        put(THIRD, CHANGES + 2, &last).await == 200
    })
    .await;
    assert!(serves(SECOND, &last).await && serves(THIRD, &last).await);
    let _ = std::fs::remove_dir_all(&NET.dir);
}
