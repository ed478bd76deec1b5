//! A trial over three cells whose leader changes while outcomes come in.
use control_cell::prelude::*;
use node_base::settings::CELL_PORT;
use routing_trial::prelude::{check_spec, Arm, Breach, Outcome as Came};
use tokio::runtime::Builder;

const PORTS: u16 = 27_580;

fn settings(i: usize, dir: &Path) -> NodeSettings {
    let text = format!(
        "nodeName = \"core-{i}\"\nmachineClass = \"core\"\nipAddress = \"127.0.10.{}\"\nzone = \"a\"\n\
         internalPortRange = [{PORTS},{}]\nseedAddresses = [\"127.0.10.61:1\", \"127.0.10.62:1\", \
         \"127.0.10.63:1\"]\nfirstStart = true\ndataDirectory = \"{}\"\n[zones]\na = \"r\"\n\
         [listenAddresses]\ncontrol = \"127.0.10.{}:28144\"\n[limits]\nmemoryMb = 256\n\
         fileDescriptors = 2000\ndiskMb = 64\n",
        60 + i,
        PORTS + 15,
        dir.join(format!("core-{i}")).display(),
        60 + i,
    );
    let file = dir.join(format!("core-{i}.toml"));
    std::fs::write(&file, text).unwrap();
    node_base::settings::read_settings(&file.display().to_string()).unwrap()
}

/// A cell on a thread of its own, which ends it like a kill would when told (or dropped).
fn cell(i: usize, dir: &Path) -> (CellHandle, oneshot::Sender<()>) {
    let settings = Arc::new(settings(i, dir));
    let (stop, stopped) = oneshot::channel::<()>();
    let (tx, rx) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let rt = Builder::new_current_thread().enable_all().build().unwrap();
        rt.block_on(async {
            let inner = TcpListener::bind(settings.own_addr(CELL_PORT)).await.unwrap();
            let cell = control_cell::actor::start(&settings).unwrap();
            let h = cell.clone();
            tokio::spawn(node_base::links::serve_calls(inner, move |q: CellCall| {
                let h = h.clone();
                async move { h.answer(q).await }
            }));
            tx.send(cell).unwrap();
            let _ = stopped.await;
        });
    });
    (rx.recv().unwrap(), stop)
}

async fn ask(c: &CellHandle, ask: TrialAsk) -> Option<CellReply> {
    c.answer(CellCall::Trial { ask }).await
}

async fn told(c: &CellHandle) -> Option<Box<TrialTold>> {
    match ask(c, TrialAsk::Tell).await {
        Some(CellReply::Trial(t)) => t,
        _ => None,
    }
}

async fn leader(c: &CellHandle) -> Option<String> {
    match c.answer(CellCall::Tell).await {
        Some(CellReply::Told(t)) => t.leader,
        _ => None,
    }
}

/// Asks again until the answer is as wanted; each ask waits for an answer, none waits for time.
async fn until(what: &str, mut ok: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !ok().await {
        assert!(Instant::now() < end, "not in time: {what}");
        tokio::task::yield_now().await;
    }
}

fn report(key: u64, node: usize, seq: u64, turns: usize) -> NodeReport {
    let mut r = NodeReport::new(key, &format!("front-{node}"), 1);
    r.seq = seq;
    for i in 0..turns {
        r.count(Arm::BOTH[i % 2], i, "talk", false, Came::InTime, 0.3);
    }
    r
}

#[test]
fn what_nodes_counted_outlives_a_change_of_leader() {
    let dir = std::env::temp_dir().join(format!("spokebank-leader-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    let (cells, stops): (Vec<_>, Vec<_>) = (1..=3).map(|i| cell(i, &dir)).unzip();
    let rt = Builder::new_current_thread().enable_all().build().unwrap();
    rt.block_on(play(cells, stops));
    let _ = std::fs::remove_dir_all(&dir);
}

async fn play(mut cells: Vec<CellHandle>, mut stops: Vec<oneshot::Sender<()>>) {
    let text = "id = \"t\"\nname = \"t\"\n[control]\nname = \"a\"\n[candidate]\nname = \"b\"\nstayMs = 1\n\
                [guardrail]\nprotectedPriority = 0\n";
    let spec = Box::new(check_spec(text).unwrap());
    until("a start", async || {
        let start = TrialAsk::Start { spec: spec.clone() };
        matches!(ask(&cells[0], start).await, Some(CellReply::Outcome(Outcome::Taken)))
    })
    .await;
    let key = told(&cells[0]).await.unwrap().record.key();
    until("the names", async || leader(&cells[0]).await.is_some_and(|n| n.starts_with("core-")))
        .await;

    // Each cell has a node. All nodes are gone after this: only the cells can tell what they counted.
    let turns = async |c: &CellHandle| told(c).await.map_or([0, 0], |t| t.evidence.turns);
    for (i, c) in cells.iter().enumerate() {
        c.outcomes(vec![report(key, i, 2, 10 * (i + 1))]);
        c.outcomes(vec![report(key, i, 1, 1)]);
    }
    until("all outcomes", async || turns(&cells[0]).await == [30, 30]).await;

    let before = leader(&cells[0]).await.unwrap();
    let at = before.trim_start_matches("core-").parse::<usize>().unwrap() - 1;
    cells.remove(at);
    drop(stops.remove(at));
    until("another leader", async || leader(&cells[0]).await.is_some_and(|l| l != before)).await;
    until("all outcomes again", async || turns(&cells[1]).await == [30, 30]).await;

    // Told again by another cell, and later than a newer one: counted once.
    cells[0].outcomes(vec![report(key, 0, 2, 10), report(key, 1, 3, 22)]);
    cells[1].outcomes(vec![report(key, 1, 3, 22), report(key, 1, 2, 20)]);
    until("the newer one", async || turns(&cells[0]).await == [31, 31]).await;

    let breach = NodeReport { doubles: 1, ..report(key, 0, 9, 10) };
    cells[1].outcomes(vec![breach]);
    let want = Verdict::Guardrail(Breach::Doubles { count: 1 });
    for c in &cells {
        until("the end", async || told(c).await.is_some_and(|t| t.verdict == want)).await;
    }
}
