//! The whole: stores, the leader, proxies and the losses, and what happens when an event is due.
use crate::closing::Close;
use crate::leader::Leader;
use crate::opening::{Ask, Proxy, Turn};
use crate::prelude::*;
use crate::transfer::Exchange;

/// What happens at a time. Those of a store's process name its life: they are void after the next start.
pub enum Event {
    /// A store repeats its status report.
    Repeat {
        store: usize,
        life: u64,
    },
    /// A report is with the leader.
    Reported {
        status: StoreStatus,
        term: u64,
    },
    /// A store follows a cell, and is given the newest set by it.
    Linked {
        store: usize,
        life: u64,
    },
    /// A set has come to a store.
    Learns {
        store: usize,
        life: u64,
        set: Rc<StoreSet>,
    },
    /// A store begins to ask all that have not transferred yet.
    RoundBegins {
        store: usize,
        round: u64,
    },
    Exchange(Box<Exchange>),
    /// A store's trouble ends.
    Returns {
        store: usize,
        trouble: u64,
    },
    /// A machine in the place of one that is gone.
    Successor {
        of: usize,
        same_name: bool,
    },
    /// A machine that was back for long enough counts as lost no longer.
    LossOver,
    /// A store is asked to stop.
    Terminated {
        store: usize,
        life: u64,
        rolled: bool,
    },
    /// It stops.
    Stops {
        store: usize,
        life: u64,
        rolled: bool,
    },
    /// The leader looks at the stores.
    Look {
        term: u64,
    },
    /// A set is agreed on, if it was made from the newest.
    Agreed {
        set: Rc<StoreSet>,
        order: Option<String>,
        term: u64,
    },
    /// Another cell leads.
    Elected {
        term: u64,
    },
    ProxyLearns {
        proxy: usize,
        set: Rc<StoreSet>,
    },
    /// A proxy has another turn to begin.
    TurnDue {
        proxy: usize,
    },
    /// An open is tried, perhaps again.
    Opens(Box<Ask>),
    /// A close, or what was put out, comes to a store.
    Closes {
        close: usize,
        attempt: u64,
        store: u64,
    },
    /// A close is tried again.
    CloseAgain {
        close: usize,
    },
    Noted {
        store: u64,
        program: String,
        write: LedgerWrite,
    },
    /// No machine counts as lost: a program must be answered until then, while that stays so.
    MustAnswer {
        program: u64,
        until: Time,
    },
}

/// Programs of a schedule.
pub const PROGRAMS: u64 = 12;
const PROXIES: usize = 3;

pub struct World {
    pub clock: Clock,
    /// Delays of the network and the disks.
    noise: fastrand::Rng,
    pub losses: LossLedger,
    pub zones: u64,
    /// The newest set that is agreed on.
    pub set: Rc<StoreSet>,
    pub leader: Leader,
    pub stores: Vec<Store>,
    pub proxies: Vec<Proxy>,
    pub copies: Copies,
    pub next_id: u64,
    pub next_req: u64,
    /// Acknowledged turns.
    pub turns: Vec<Turn>,
    pub closes: Vec<Close>,
    /// Acknowledged reservations and what they came to, by program.
    pub ledger: Vec<BTreeMap<u64, u32>>,
    /// Acknowledged orders to retire a machine, by its name.
    pub orders: BTreeSet<String>,
    /// Successors of machines that are gone, on their way.
    pub awaited: usize,
    /// Proxies begin turns.
    pub traffic: bool,
    /// Machines lose power by themselves, in the middle of what they write.
    pub power_fails: bool,
    /// What was done and agreed on, for the trace of a failure.
    history: VecDeque<String>,
}

impl World {
    pub fn new(n: u64, zones: u64, tolerated: u32, catch_up: Duration, noise: u64) -> Self {
        let machine = |i| {
            let identity = StoreIdentity::new(i + 1, true);
            Store::new(format!("s{i}"), format!("z{}", i % zones), identity)
        };
        let mut w = World {
            clock: Clock::new(),
            noise: fastrand::Rng::with_seed(noise),
            losses: LossLedger::new(tolerated, catch_up),
            zones,
            set: Rc::new(StoreSet::default()),
            leader: Leader::default(),
            stores: (0..n).map(machine).collect(),
            proxies: (0..PROXIES).map(|_| Proxy::default()).collect(),
            copies: Copies::default(),
            next_id: 1000,
            next_req: 1,
            turns: Vec::new(),
            closes: Vec::new(),
            ledger: vec![BTreeMap::new(); PROGRAMS as usize],
            orders: BTreeSet::new(),
            awaited: 0,
            traffic: true,
            power_fails: true,
            history: VecDeque::new(),
        };
        for store in 0..w.stores.len() {
            w.links_up(store, ms(5), ms(100));
        }
        w.clock.at(ms(1), Event::Elected { term: 1 });
        (0..PROXIES).for_each(|proxy| w.clock.at(ms(2000), Event::TurnDue { proxy }));
        w.run_for(ms(3000));
        assert_eq!(w.set.placed(), n as usize, "founded with all");
        w
    }

    /// A drawn delay.
    pub fn delay(&mut self, least: Duration, most: Duration) -> Duration {
        Duration::from_micros(self.noise.u64(least.as_micros() as u64..=most.as_micros() as u64))
    }

    pub fn chance(&mut self, one_in: u64) -> bool {
        self.noise.u64(0..one_in) == 0
    }

    pub fn any(&mut self, count: usize) -> usize {
        self.noise.usize(0..count)
    }

    pub fn shuffle(&mut self, ids: &mut [u64]) {
        self.noise.shuffle(ids);
    }

    pub fn run_for(&mut self, wait: Duration) {
        self.run_until(self.clock.now + wait);
    }

    pub fn run_until(&mut self, time: Time) {
        while let Some(event) = self.clock.advance(time) {
            self.happens(event);
        }
    }

    fn happens(&mut self, event: Event) {
        let alive = |w: &World, store: usize, life: u64| w.stores[store].life == life;
        match event {
            Event::Repeat { store, life } if alive(self, store, life) => self.repeats(store),
            Event::Reported { status, term } => self.leader.takes(status, term, self.clock.now),
            Event::Linked { store, life } if alive(self, store, life) => self.linked(store),
            Event::Learns { store, life, set } if alive(self, store, life) => {
                self.learns(store, &set);
            }
            Event::RoundBegins { store, round } => self.round_begins(store, round),
            Event::Exchange(exchange) => self.exchanges(*exchange),
            Event::Returns { store, trouble } => self.returns(store, trouble),
            Event::Successor { of, same_name } => self.succeeds(of, same_name),
            Event::LossOver => self.loss_over(),
            Event::MustAnswer { program, until } => self.must_answer(program, until),
            Event::Terminated { store, life, rolled } if alive(self, store, life) => {
                self.terminated(store, rolled);
            }
            Event::Stops { store, life, rolled } if alive(self, store, life) => {
                self.stops(store, rolled);
            }
            Event::Look { term } => self.looks(term),
            Event::Agreed { set, order, term } => self.agreed(set, order, term),
            Event::Elected { term } => self.elected(term),
            Event::ProxyLearns { proxy, set } => self.proxies[proxy].learns(&set),
            Event::TurnDue { proxy } => self.turn_due(proxy),
            Event::Opens(ask) => self.opens(*ask),
            Event::Closes { close, attempt, store } => self.closes_at(close, attempt, store),
            Event::CloseAgain { close } => self.close_again(close),
            Event::Noted { store, program, write } => {
                self.call(store, StoreCall::Notify { program, write });
            }
            _ => {}
        }
    }

    /// The machine with a disk, while it is there.
    pub fn machine_of(&self, id: u64) -> Option<usize> {
        self.stores.iter().position(|s| s.id == id && !s.gone)
    }

    /// A call to the store with a disk, and what it synced before it answered.
    pub fn call(&mut self, id: u64, q: StoreCall) -> Option<StoreReply> {
        let i = self.machine_of(id).filter(|i| self.stores[*i].answers())?;
        self.commits(i, |owner, now, records| owner.tables.call(q, now, records))
    }

    pub fn note(&mut self, what: String) {
        const KEPT: usize = 60;
        self.history.push_back(format!("{:9.3} {what}", self.clock.now.as_secs_f64()));
        if self.history.len() > KEPT {
            self.history.pop_front();
        }
    }

    /// What was done last, and how the stores are.
    pub fn trace(&self) -> String {
        let now = self.clock.now;
        let mut lines: Vec<String> = self.history.iter().cloned().collect();
        for (i, s) in self.stores.iter().enumerate().filter(|(_, s)| !s.gone) {
            let entry = self.set.find(s.id);
            lines.push(format!(
                "  {} {} {} {:?} {:?} ending {} counts as lost {} caught up {:?} set {} asks {}, {} missing",
                s.name,
                s.zone,
                s.id,
                s.reach,
                entry.map(|e| e.state),
                s.ending,
                self.losses.counts(i, now),
                s.caught_up(),
                s.history().set.version,
                s.exchanges,
                s.history().missing().len(),
            ));
        }
        let placed = self.set.placement().map_or(Vec::new(), |p| p.stores.iter().collect());
        let placed: Vec<u64> = placed.iter().map(|s| s.id).collect();
        lines.push(format!("at {:.3}, set {}: {placed:?}", now.as_secs_f64(), self.set.version));
        lines.join("\n")
    }
}
