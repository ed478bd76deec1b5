//! Turns ready to run: by pool, priority, and the moment they must begin to be in time.
use crate::prelude::*;

/// What orders a turn that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadyTurn {
    /// The service whose engines run it.
    pub pool: Arc<str>,
    /// Turns of one session leave in the order they came.
    pub session: Option<u64>,
    /// 0 is most pressing.
    pub priority: u8,
    pub begin_by: Duration,
}

/// One pool's slots; limit 0 is unbounded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolCapacity {
    pub pool: String,
    pub in_use: usize,
    pub waiting: usize,
    pub limit: usize,
}

type Key = (u8, Duration, u64);

#[derive(Default)]
struct Pool {
    /// Those that may go: without a session, or the first of theirs.
    ready: BTreeSet<Key>,
    /// All that wait, by priority.
    waiting: BTreeMap<u8, usize>,
    len: usize,
    in_use: usize,
    limit: usize,
}

impl Pool {
    fn has_room(&self) -> bool {
        self.limit == 0 || self.in_use < self.limit
    }
}

/// Invariants: a ticket is in `turns` exactly while it waits; it is in its pool's `ready` unless an
/// earlier turn of its session waits; `sessions` holds the waiting tickets of each session in order of arrival.
pub struct ReadyQueue<T> {
    most: usize,
    turns: HashMap<u64, (ReadyTurn, T)>,
    pools: BTreeMap<Arc<str>, Pool>,
    sessions: HashMap<u64, VecDeque<u64>>,
}

impl<T> ReadyQueue<T> {
    /// At most `most` turns wait.
    pub fn new(most: usize) -> Self {
        ReadyQueue { most, turns: HashMap::new(), pools: BTreeMap::new(), sessions: HashMap::new() }
    }

    /// How many of a pool may run at once; 0 is unbounded.
    pub fn limit(&mut self, pool: &Arc<str>, limit: usize) {
        self.pools.entry(pool.clone()).or_default().limit = limit;
    }

    /// Gives the item back when the queue is full, or the ticket waits already.
    pub fn add(&mut self, ticket: u64, turn: ReadyTurn, item: T) -> Result<(), T> {
        if self.turns.len() >= self.most || self.turns.contains_key(&ticket) {
            return Err(item);
        }
        let first = turn.session.is_none_or(|l| {
            let q = self.sessions.entry(l).or_default();
            q.push_back(ticket);
            q.len() == 1
        });
        let p = self.pools.entry(turn.pool.clone()).or_default();
        p.len += 1;
        *p.waiting.entry(turn.priority).or_default() += 1;
        if first {
            p.ready.insert((turn.priority, turn.begin_by, ticket));
        }
        self.turns.insert(ticket, (turn, item));
        Ok(())
    }

    /// It waits no longer: it goes, or was given up.
    pub fn remove(&mut self, ticket: u64) -> Option<T> {
        let (turn, item) = self.turns.remove(&ticket)?;
        if let Some(p) = self.pools.get_mut(&turn.pool) {
            p.len -= 1;
            p.ready.remove(&(turn.priority, turn.begin_by, ticket));
            if let Some(n) = p.waiting.get_mut(&turn.priority) {
                *n -= 1;
                if *n == 0 {
                    p.waiting.remove(&turn.priority);
                }
            }
        }
        self.drop_idle(&turn.pool);
        if let Some(l) = turn.session {
            self.advance(l, ticket);
        }
        Some(item)
    }

    fn advance(&mut self, session: u64, ticket: u64) {
        let Some(q) = self.sessions.get_mut(&session) else {
            return;
        };
        q.retain(|t| *t != ticket);
        let Some(head) = q.front().copied() else {
            self.sessions.remove(&session);
            return;
        };
        if let Some((t, _)) = self.turns.get(&head) {
            if let Some(p) = self.pools.get_mut(&t.pool) {
                p.ready.insert((t.priority, t.begin_by, head));
            }
        }
    }

    /// The most pressing turn of a pool that has room and isn't `stuck`.
    pub fn next(&self, stuck: &HashSet<Arc<str>>) -> Option<(u64, &T)> {
        let open = self.pools.iter().filter(|(n, p)| p.has_room() && !stuck.contains(*n));
        let (_, _, ticket) = open.filter_map(|(_, p)| p.ready.first().copied()).min()?;
        self.turns.get(&ticket).map(|(_, item)| (ticket, item))
    }

    /// A turn of the pool runs, whether it waited or not.
    pub fn begin(&mut self, pool: &Arc<str>) {
        self.pools.entry(pool.clone()).or_default().in_use += 1;
    }

    /// A turn of the pool stopped.
    pub fn end(&mut self, pool: &str) {
        if let Some(p) = self.pools.get_mut(pool) {
            p.in_use = p.in_use.saturating_sub(1);
        }
        self.drop_idle(pool);
    }

    fn drop_idle(&mut self, pool: &str) {
        if self.pools.get(pool).is_some_and(|p| p.len == 0 && p.in_use == 0 && p.limit == 0) {
            self.pools.remove(pool);
        }
    }

    pub fn has_room(&self, pool: &str) -> bool {
        self.pools.get(pool).is_none_or(Pool::has_room)
    }

    pub fn len(&self) -> usize {
        self.turns.len()
    }

    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    pub fn of_pool(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, |p| p.len)
    }

    /// Someone at least as pressing waits for the same pool.
    pub fn is_waiting(&self, pool: &str, priority: u8) -> bool {
        let first = self.pools.get(pool).and_then(|p| p.waiting.first_key_value());
        first.is_some_and(|(p, _)| *p <= priority)
    }

    pub fn capacity(&self) -> Vec<PoolCapacity> {
        let of = |(n, p): (&Arc<str>, &Pool)| PoolCapacity {
            pool: n.to_string(),
            in_use: p.in_use,
            waiting: p.len,
            limit: p.limit,
        };
        self.pools.iter().map(of).collect()
    }
}
