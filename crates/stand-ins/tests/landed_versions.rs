//! What code that has landed left on disks and sent is read by this code, and what this code sends is the same
//! byte for byte: so a disk outlives a new version, and machines of both versions work beside each other.
//!
//! The files under `landed/` were written by the code before `StoreOwner` and `lossCounted` (8051431): a store
//! with turns of two programs, settled and unsettled attempts; a cell with 280 configurations, a store set, a
//! retirement and a routing trial; and a frame of each kind (`frames.txt`: name and hex).
use consensus::prelude::LogPosition;
use control_cell::prelude::{CellHandle, TrialRequest};
use dispatcher::prelude::{Call, CallPoint, NewAttempt, Pinned};
use internal_protocol::cells::*;
use internal_protocol::feed::*;
use internal_protocol::patch::Patch;
use internal_protocol::prelude::*;
use internal_protocol::stores::*;
use turn_store::prelude::{StoreIdentity, StoreOwner};

/// The identity that the store's disk was given.
const STORE: u64 = 2336415675219554188;

fn landed(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/landed").join(name)
}

/// A copy of a landed folder, which the code under test may change.
struct Copied(PathBuf);

impl Copied {
    fn of(name: &str) -> Self {
        let to =
            std::env::temp_dir().join(format!("spokebank-landed-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&to);
        copy_folder(&landed(name), &to);
        Copied(to)
    }
}

impl Drop for Copied {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn copy_folder(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).unwrap();
    for entry in std::fs::read_dir(from).unwrap().map(Result::unwrap) {
        let to = to.join(entry.file_name());
        match entry.path().is_dir() {
            true => copy_folder(&entry.path(), &to),
            false => drop(std::fs::copy(entry.path(), to).unwrap()),
        }
    }
}

#[test]
fn every_kind_of_frame_is_sent_as_it_was() {
    let text = std::fs::read_to_string(landed("frames.txt")).unwrap();
    let known: BTreeMap<&str, &str> =
        text.lines().filter_map(|line| line.split_once(' ')).collect();
    let sent = samples();
    assert_eq!(known.len(), sent.len());
    for (name, frame) in sent {
        let hex: String = frame.iter().map(|byte| format!("{byte:02x}")).collect();
        assert_eq!(known.get(name), Some(&&*hex), "{name}");
    }
}

#[test]
fn every_kind_of_frame_is_read() {
    let again = |name: &str, frame: &Bytes| match name.split('-').next().unwrap() {
        "store" if name.starts_with("store-call") => decode::<StoreCall>(frame).map(|v| encode(&v)),
        "store" => decode::<StoreReply>(frame).map(|v| encode(&v)),
        "cell" if name.starts_with("cell-call") => decode::<CellCall>(frame).map(|v| encode(&v)),
        "cell" => decode::<CellReply>(frame).map(|v| encode(&v)),
        "follow" => decode::<FollowMsg>(frame).map(|v| encode(&v)),
        _ => decode::<FeedMsg>(frame).map(|v| encode(&v)),
    };
    for (name, frame) in samples() {
        assert_eq!(again(name, &frame).as_ref(), Some(&frame), "{name}");
    }
}

#[test]
fn a_store_s_disk_is_read_whole() {
    let copied = Copied::of("store");
    let unused = StoreIdentity::new(1, false);
    let open =
        || StoreOwner::open(RealDisk::handle(), &copied.0, unused, Limits::default(), 1 << 20);
    // Once as it was left, and once as this code left it.
    for _ in 0..2 {
        let mut owner = open().unwrap();
        let founding = Some(VersionSpan { from: 1, to: 1 });
        assert_eq!(owner.identity(), StoreIdentity { id: STORE, caught_up: founding });
        assert_eq!(owner.tables.counts(), (3, 2));
        owner.learn(store_set_of_one()).unwrap();
        for (program, turn, chain) in [("p", "t2", vec!["t1", "t2"]), ("q", "q1", vec!["t1", "q1"])]
        {
            let claim = NewAttempt { req: 90, node: 8, ..new_attempt() };
            let open = StoreCall::Open(OpenCall {
                version: 1,
                program: program.into(),
                claim: Some(LedgerWrite::Claim { attempt: claim, lease: Duration::from_secs(60) }),
                prev: Some(turn.into()),
                want: true,
            });
            let mut records = Vec::new();
            let StoreReply::Open(reply) = owner.tables.call(open, Duration::ZERO, &mut records)
            else {
                panic!("not opened");
            };
            assert!(reply.has_complete_history);
            let ids: Vec<&str> = reply.turns.iter().map(|turn| &*turn.id).collect();
            assert_eq!(ids, chain);
            let spent: u32 = reply.view.finished.0.iter().map(|(_, tokens)| tokens).sum();
            let unsettled = reply.view.live.iter().filter(|a| a.req != 90);
            let reserved: u32 = unsettled.map(|attempt| attempt.tokens()).sum();
            let want = if program == "p" { (34, 40) } else { (0, 0) };
            assert_eq!((spent, reserved), want, "{program}");
        }
    }
}

fn cell_settings(dir: &Path) -> NodeSettings {
    let text = format!(
        "nodeName = \"core-1\"\nmachineClass = \"core\"\nipAddress = \"127.9.9.61\"\nzone = \"a\"\n\
         internalPortRange = [27580,27595]\nseedAddresses = [\"127.9.9.61:1\"]\nfirstStart = false\n\
         dataDirectory = \"{}\"\n[zones]\na = \"r\"\n[listenAddresses]\n\
         control = \"127.9.9.61:28144\"\n[limits]\nmemoryMb = 256\nfileDescriptors = 2000\ndiskMb = 64\n",
        dir.display()
    );
    node_runtime::settings::parse_settings("landed", &text).unwrap()
}

/// Asks until the cell leads itself again.
async fn read_config(cell: &CellHandle) -> Bytes {
    let end = Instant::now() + Duration::from_secs(10);
    loop {
        if let Some(Some(body)) = cell.read_config(Instant::now() + Duration::from_secs(1)).await {
            return body;
        }
        assert!(Instant::now() < end, "no configuration in time");
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn a_cell_s_disk_is_read_whole() {
    let copied = Copied::of("cell");
    let settings = node_runtime::settings::SharedSettings::from(cell_settings(&copied.0));
    let cell = control_cell::actor::start(&settings).unwrap().handle;
    assert_eq!(read_config(&cell).await, &b"{\"configVersion\":280}"[..]);
    let soon = || Instant::now() + Duration::from_secs(2);
    let retired = cell.retire("storage-2".into(), true, soon()).await;
    assert!(matches!(retired, CellReply::Retire(RetireState::Running)), "{retired:?}");
    let Some(CellReply::Trial(Some(trial))) =
        cell.answer(CellCall::Trial { ask: TrialRequest::Report }).await
    else {
        panic!("no trial");
    };
    assert_eq!(trial.record.spec.id, "t");
    // An order of the landed code that is sent again is known.
    let body = ByteBuf::from(b"{\"configVersion\":7}".to_vec());
    let sha256 = control_cell::prelude::order_digest(&body);
    let again = Change::PutConfig { base: 6, version: 7, sha256, body };
    let outcome = cell.propose(again, soon()).await;
    assert!(matches!(outcome, CellReply::Outcome(Outcome::TakenBefore)), "{outcome:?}");
}

fn store_set_of_one() -> StoreSet {
    StoreSet::default().next(|s| {
        s.tolerated = 1;
        s.stores =
            vec![StoreEntry { id: STORE, since: 1, state: StoreState::Placed, ..entry_of(1) }];
    })
}

fn member(id: u64) -> Member {
    Member {
        id,
        name: format!("core-{id}"),
        addr: format!("10.0.0.{id}:1"),
        zone: "a".into(),
        incarnation: id,
        loss_counted: true,
    }
}

fn entry_of(id: u64) -> StoreEntry {
    StoreEntry {
        id,
        name: format!("storage-{id}"),
        addr: format!("s{id}:1"),
        zone: format!("z{id}"),
        state: if id == 3 { StoreState::Leaving } else { StoreState::Placed },
        since: id,
        rank: 10 + id,
        loss_counted: true,
    }
}

fn store_set() -> StoreSet {
    StoreSet::default().next(|s| {
        s.tolerated = 1;
        s.stores = (1..=4).map(entry_of).collect();
        s.retirements.insert("storage-3".into(), Retirement::Running);
        s.superseded.insert(77);
    })
}

fn status() -> StoreStatus {
    StoreStatus {
        id: 1,
        name: "storage-1".into(),
        addr: "s1:1".into(),
        zone: "z1".into(),
        fresh: true,
        version: 4,
        caught_up: Some(VersionSpan { from: 2, to: 4 }),
        ending: true,
        loss_counted: true,
    }
}

fn turn() -> TurnRecord {
    TurnRecord {
        id: "t2".into(),
        chain: vec!["t1".into()],
        program: "p".into(),
        input: ByteBuf::from(b"in".to_vec()),
        output: ByteBuf::from(b"out\n".to_vec()),
        engine: "i-1".into(),
        session_tokens: 12,
        keep_ms: 60_000,
    }
}

fn new_attempt() -> NewAttempt {
    NewAttempt {
        req: 1,
        session: 2,
        number: 3,
        node: 4,
        incarnation: 5,
        consumed: Some(6),
        pinned: Pinned {
            config_version: 7,
            service: "s".into(),
            max_attempts: 2,
            deadline_ms: 6000,
            retained: true,
        },
        most: 40,
        engine: Some("i-1".into()),
    }
}

fn table() -> ZoneTable {
    let engine = EngineEntry {
        id: "i-1".into(),
        service: "s".into(),
        addr: "e:1".into(),
        zone: "a".into(),
        slots: 96,
        draining: true,
        cold_ms: 5,
    };
    ZoneTable { zone: "a".into(), epoch: 8, seq: 9, engines: vec![engine] }
}

fn change() -> Change {
    let body = ByteBuf::from(b"{}".to_vec());
    Change::PutConfig { base: 1, version: 2, sha256: [7u8; 32].into(), body }
}

fn at(term: u64, index: u64) -> LogPosition {
    LogPosition { term, index }
}

/// Frames of each kind, by name.
fn samples() -> Vec<(&'static str, Bytes)> {
    let lease = Duration::from_secs(60);
    let epoch = new_attempt().epoch();
    let call = Call { at: CallPoint(epoch, 1), engine: "i-1".into() };
    let claim = LedgerWrite::Claim { attempt: new_attempt(), lease };
    let settle = LedgerWrite::Settle {
        req: 1,
        epoch: Some(epoch),
        tokens: 17,
        stopped: false,
        call: Some(call.clone()),
    };
    let open = OpenCall {
        version: 4,
        program: "p".into(),
        claim: Some(claim),
        prev: Some("t1".into()),
        want: true,
    };
    let sync_row = SyncRow {
        program: "p".into(),
        ledger: vec![new_attempt().record()],
        turns: vec!["t1".into()],
    };
    let open_reply = OpenReply {
        has_complete_history: true,
        outcome: Some(WriteOutcome::Claimed { number: 1 }),
        view: ProgramView::default(),
        later: Some(6),
        lookup: TurnLookup::Found(vec!["t1".into()]),
        turns: vec![turn()],
    };
    let membership = Membership {
        voters: vec![member(1), member(2)],
        outgoing: vec![member(3)],
        learners: vec![member(4)],
    };
    let log_entry = |body: Body| Entry { term: 3, index: 12, body };
    let follow = FollowMsg::Follow {
        name: "front-1".into(),
        feed: 5,
        no: 6,
        topics: Topics::Stores,
        patches: true,
        zone_changes: false,
        holdings: None,
    };
    let numbered = |item: FeedItem| encode(&FeedMsg::Items(vec![Numbered { no: 3, item }]));
    let patch = Patch::between(b"{a}{b}", b"{a}{c}{b}");
    vec![
        ("store-call-open", encode(&StoreCall::Open(open))),
        ("store-call-fetch", encode(&StoreCall::Fetch { ids: vec!["t1".into()] })),
        ("store-call-find", encode(&StoreCall::Find { version: 4, id: "t1".into() })),
        (
            "store-call-close",
            encode(&StoreCall::Close {
                version: 4,
                record: turn(),
                earlier: vec![turn()],
                settle: Some(settle),
            }),
        ),
        (
            "store-call-write-mark",
            encode(&StoreCall::Write {
                version: 4,
                program: "p".into(),
                write: LedgerWrite::RecordCall { req: 1, epoch, send: 2, engine: "i-2".into() },
            }),
        ),
        (
            "store-call-write-renew",
            encode(&StoreCall::Write {
                version: 4,
                program: "p".into(),
                write: LedgerWrite::Renew { req: 1, epoch, lease },
            }),
        ),
        (
            "store-call-write-recover",
            encode(&StoreCall::Write {
                version: 4,
                program: "p".into(),
                write: LedgerWrite::Recover {
                    req: 1,
                    epoch,
                    node: 4,
                    incarnation: 6,
                    session: 2,
                    most: 40,
                    lease,
                },
            }),
        ),
        (
            "store-call-note-release",
            encode(&StoreCall::Notify {
                program: "p".into(),
                write: LedgerWrite::Release { req: 1, epoch },
            }),
        ),
        (
            "store-call-note-stopped",
            encode(&StoreCall::Notify {
                program: "p".into(),
                write: LedgerWrite::ConfirmStopped {
                    req: 1,
                    expected_epoch: epoch,
                    call: CallPoint(epoch, 1),
                },
            }),
        ),
        (
            "store-call-sync",
            encode(&StoreCall::Sync(SyncCall { version: 4, me: 9, after: Some("p".into()) })),
        ),
        ("store-call-learn", encode(&StoreCall::Learn { set: store_set() })),
        ("store-call-tell", encode(&StoreCall::Status)),
        ("store-reply-open", encode(&StoreReply::Open(open_reply))),
        ("store-reply-turns", encode(&StoreReply::Turns(vec![turn()]))),
        (
            "store-reply-found",
            encode(&StoreReply::Found {
                caught_up: true,
                lookup: TurnLookup::Missing,
                turns: vec![],
            }),
        ),
        ("store-reply-done", encode(&StoreReply::Done)),
        ("store-reply-lacks", encode(&StoreReply::Lacks(vec!["t1".into()]))),
        (
            "store-reply-written",
            encode(&StoreReply::Written {
                has_complete_history: true,
                outcome: WriteOutcome::AlreadySettled {
                    epoch,
                    tokens: 17,
                    stopped: true,
                    call: Some(call),
                },
            }),
        ),
        ("store-reply-stale", encode(&StoreReply::Stale(store_set()))),
        ("store-reply-behind", encode(&StoreReply::Behind)),
        (
            "store-reply-sync",
            encode(&StoreReply::Sync(SyncReply {
                caught_up: Some(VersionSpan { from: 1, to: 4 }),
                rows: vec![sync_row],
                more: Some("p".into()),
            })),
        ),
        ("store-reply-unable", encode(&StoreReply::Unable)),
        (
            "cell-call-agree",
            encode(&CellCall::Agree {
                from: 1,
                addr: "c:1".into(),
                msg: Msg::Append {
                    term: 3,
                    prev: at(2, 11),
                    entries: vec![log_entry(Body::Membership(membership.clone()))],
                    commit: 11,
                },
            }),
        ),
        (
            "cell-call-agree-vote",
            encode(&CellCall::Agree {
                from: 1,
                addr: "c:1".into(),
                msg: Msg::Vote { term: 3, last: at(2, 11), forced: true },
            }),
        ),
        (
            "cell-call-agree-heartbeat",
            encode(&CellCall::Agree {
                from: 1,
                addr: "c:1".into(),
                msg: Msg::Heartbeat { term: 3, commit: 10, committed: 11, round: 7 },
            }),
        ),
        (
            "cell-call-agree-reply",
            encode(&CellCall::Agree {
                from: 1,
                addr: "c:1".into(),
                msg: Msg::AppendReply { term: 3, ok: false, matched: 9 },
            }),
        ),
        (
            "cell-call-agree-take-lead",
            encode(&CellCall::Agree {
                from: 1,
                addr: "c:1".into(),
                msg: Msg::TakeLead { term: 3 },
            }),
        ),
        ("cell-call-read-index", encode(&CellCall::ReadIndex)),
        ("cell-call-join", encode(&CellCall::Join { member: member(4), read_at: 12 })),
        ("cell-call-leave", encode(&CellCall::Leave { id: 4 })),
        ("cell-call-propose", encode(&CellCall::Propose { change: change() })),
        (
            "cell-call-propose-stores",
            encode(&CellCall::Propose { change: Change::PutStores { base: 3, set: store_set() } }),
        ),
        ("cell-call-announce", encode(&CellCall::Announce { status: status() })),
        ("cell-call-table", encode(&CellCall::Table { table: table() })),
        (
            "cell-call-retire",
            encode(&CellCall::Retire { store: "storage-3".into(), query_only: true }),
        ),
        (
            "cell-call-within",
            encode(&CellCall::Within { ms: 850, call: Box::new(CellCall::Status) }),
        ),
        ("cell-reply-done", encode(&CellReply::Done)),
        ("cell-reply-outcome", encode(&CellReply::Outcome(Outcome::Conflict))),
        ("cell-reply-index", encode(&CellReply::Index(12))),
        ("cell-reply-retire", encode(&CellReply::Retire(RetireState::TooFew))),
        ("cell-reply-unable", encode(&CellReply::Unable)),
        ("follow", encode(&follow)),
        ("follow-announce", encode(&FollowMsg::Announce { status: status() })),
        ("feed-open", encode(&FeedMsg::Open { feed: 5 })),
        (
            "feed-config",
            numbered(FeedItem::Config {
                index: 12,
                version: 2,
                body: ByteBuf::from(b"{}".to_vec()),
            }),
        ),
        (
            "feed-config-patch",
            numbered(FeedItem::ConfigPatch { index: 12, version: 2, base: 1, patch }),
        ),
        ("feed-stores", numbered(FeedItem::Stores(store_set()))),
        ("feed-zone", numbered(FeedItem::Zone(table()))),
        (
            "feed-cells",
            numbered(FeedItem::Cells {
                index: 12,
                addrs: vec!["c:1".into()],
                zones: vec!["a".into()],
            }),
        ),
        ("feed-current", numbered(FeedItem::Current)),
        ("feed-heartbeat", numbered(FeedItem::Heartbeat)),
    ]
}
