//! The index: for each line and each block, which engine is likely to hold it.
#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Of the source's tiers only the one held by a named engine has a counterpart here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tier {
    Hot,
}

/// What is believed of one block on one engine.
#[derive(Debug, Clone)]
pub struct BlockRecord {
    pub block_hash: u64,
    /// The line that last used it.
    pub session: Arc<str>,
    pub token_start: u32,
    pub token_end: u32,
    pub tier: Tier,
    pub storage_location: EngineKey,
    pub created_at: Duration,
    pub last_hit_at: Duration,
    pub ttl: Duration,
    /// Lines that hold it.
    pub ref_count: u32,
    /// 0 to 100: the lower is forgotten first.
    pub eviction_priority: u8,
}

struct Line {
    /// (engine, blocks) that the line holds references on.
    at: EngineKey,
    blocks: Vec<u64>,
    until: Duration,
    /// Answers under way: none means a pause, most often for tools.
    active: u32,
}

#[derive(Debug, Clone)]
pub struct IndexTuning {
    pub most_records: usize,
    /// How long a block nobody refers to is believed held.
    pub loose_ttl: Duration,
}

impl Default for IndexTuning {
    fn default() -> Self {
        IndexTuning { most_records: 40_000, loose_ttl: Duration::from_secs(120) }
    }
}

/// Priority of a block in a line's own part, in one shared by lines, and once loose.
const OWN: u8 = 50;
const SHARED: u8 = 80;
const LOOSE: u8 = 10;

/// Invariants: `ref_count` of a record is the number of lines that name its (engine, block); `held`
/// sums the tokens of each engine's records; a record with references is never forgotten before one
/// without, on the same engine.
pub struct CacheIndex {
    records: HashMap<u64, Vec<BlockRecord>>,
    lines: HashMap<Arc<str>, Line>,
    held: HashMap<EngineKey, u64>,
    count: usize,
    tuning: IndexTuning,
}

impl CacheIndex {
    pub fn new(tuning: IndexTuning) -> Self {
        CacheIndex {
            records: HashMap::new(),
            lines: HashMap::new(),
            held: HashMap::new(),
            count: 0,
            tuning,
        }
    }

    /// For each engine that is believed to hold a beginning of the prompt: how many tokens of it.
    pub fn look_up(&self, blocks: &[Block], now: Duration) -> Vec<(EngineKey, u32)> {
        let mut out: Vec<(EngineKey, u32)> = Vec::new();
        for (i, b) in blocks.iter().enumerate() {
            let Some(list) = self.records.get(&b.hash) else {
                break;
            };
            let mut any = false;
            for r in list.iter().filter(|r| r.last_hit_at + r.ttl > now) {
                match out.iter_mut().find(|(k, _)| *k == r.storage_location) {
                    // Kept only if all before it is kept too.
                    Some((_, n)) if *n == b.start => {
                        *n = b.end;
                        any = true;
                    }
                    None if i == 0 => {
                        out.push((r.storage_location, b.end));
                        any = true;
                    }
                    _ => {}
                }
            }
            if !any {
                break;
            }
        }
        out
    }

    /// Where a line's turns have been answered.
    pub fn holder_of(&self, session: &str) -> Option<EngineKey> {
        self.lines.get(session).map(|l| l.at)
    }

    /// A turn was sent: its blocks will be read and then held there.
    pub fn sent(&mut self, session: &str) {
        if let Some(l) = self.lines.get_mut(session) {
            l.active += 1;
        }
    }

    /// A turn was answered: its blocks are held there; hits, references and priorities follow, and
    /// the line's time begins anew. `added` is what the answer itself put behind the prompt.
    pub fn answered(
        &mut self,
        session: &str,
        at: EngineKey,
        blocks: &[Block],
        retention: Duration,
        now: Duration,
    ) {
        let name: Arc<str> = match self.lines.get_key_value(session) {
            Some((k, _)) => k.clone(),
            None => session.into(),
        };
        let active = self.lines.get(session).map_or(0, |l| l.active.saturating_sub(1));
        // The line moves its references to what it holds now.
        let old = self.lines.remove(session);
        let hashes: Vec<u64> = blocks.iter().map(|b| b.hash).collect();
        for b in blocks {
            self.touch(&name, at, b, now, retention);
        }
        if let Some(l) = old {
            self.let_go(&l, now);
        }
        let until = now + retention;
        self.lines.insert(name, Line { at, blocks: hashes, until, active });
    }

    fn touch(
        &mut self,
        session: &Arc<str>,
        at: EngineKey,
        b: &Block,
        now: Duration,
        ttl: Duration,
    ) {
        let list = self.records.entry(b.hash).or_default();
        match list.iter_mut().find(|r| r.storage_location == at) {
            Some(r) => {
                r.last_hit_at = now;
                r.ttl = r.ttl.max(ttl);
                r.ref_count += 1;
                r.session = session.clone();
                r.eviction_priority = if r.ref_count > 1 { SHARED } else { OWN };
            }
            None => {
                list.push(BlockRecord {
                    block_hash: b.hash,
                    session: session.clone(),
                    token_start: b.start,
                    token_end: b.end,
                    tier: Tier::Hot,
                    storage_location: at,
                    created_at: now,
                    last_hit_at: now,
                    ttl,
                    ref_count: 1,
                    eviction_priority: OWN,
                });
                self.count += 1;
                *self.held.entry(at).or_default() += u64::from(b.end - b.start);
            }
        }
    }

    fn let_go(&mut self, l: &Line, now: Duration) {
        let loose = self.tuning.loose_ttl;
        for h in &l.blocks {
            if let Some(list) = self.records.get_mut(h) {
                for r in list.iter_mut().filter(|r| r.storage_location == l.at) {
                    r.ref_count = r.ref_count.saturating_sub(1);
                    if r.ref_count == 0 {
                        r.eviction_priority = LOOSE;
                        r.ttl = (now + loose).saturating_sub(r.last_hit_at).min(r.ttl.max(loose));
                    } else if r.ref_count == 1 {
                        r.eviction_priority = OWN;
                    }
                }
            }
        }
    }

    /// A turn came to nothing.
    pub fn dropped(&mut self, session: &str) {
        if let Some(l) = self.lines.get_mut(session) {
            l.active = l.active.saturating_sub(1);
        }
    }

    /// An engine is gone, or has shown that it doesn't hold what was believed.
    pub fn forget_engine(&mut self, at: EngineKey) {
        self.records.retain(|_, list| {
            list.retain(|r| r.storage_location != at);
            !list.is_empty()
        });
        self.lines.retain(|_, l| l.at != at);
        self.held.remove(&at);
        self.count = self.records.values().map(Vec::len).sum();
    }

    /// The engine read these blocks anew although they were believed held: they are taken out, and so
    /// is what it must have dropped before them, being unused for longer.
    pub fn disproved(&mut self, at: EngineKey, blocks: &[Block], session: &str, now: Duration) {
        let oldest = blocks
            .iter()
            .filter_map(|b| self.records.get(&b.hash))
            .flatten()
            .filter(|r| r.storage_location == at)
            .map(|r| r.last_hit_at)
            .max();
        let mine: HashSet<u64> = blocks.iter().map(|b| b.hash).collect();
        let limit = oldest.unwrap_or(Duration::ZERO).min(now);
        self.take_out(at, |r| {
            mine.contains(&r.block_hash) || (r.ref_count == 0 && r.last_hit_at < limit)
        });
        if self.lines.get(session).is_some_and(|l| l.at == at) {
            self.lines.remove(session);
        }
    }

    fn take_out(&mut self, at: EngineKey, gone: impl Fn(&BlockRecord) -> bool) {
        self.take_out_all(|r| r.storage_location == at && gone(r));
    }

    /// One pass over the records, however many engines there are.
    fn take_out_all(&mut self, gone: impl Fn(&BlockRecord) -> bool) {
        let (count, held) = (&mut self.count, &mut self.held);
        self.records.retain(|_, list| {
            list.retain(|r| {
                let out = gone(r);
                if out {
                    *count -= 1;
                    if let Some(h) = held.get_mut(&r.storage_location) {
                        *h = h.saturating_sub(u64::from(r.token_end - r.token_start));
                    }
                }
                !out
            });
            !list.is_empty()
        });
    }

    /// Tokens believed held by an engine.
    pub fn held_by(&self, at: EngineKey) -> u64 {
        self.held.get(&at).copied().unwrap_or(0)
    }

    /// An engine can't hold more than its memory: the least worth keeping is no longer believed. A
    /// little more than needed goes, so that a full engine doesn't cost a walk at every turn.
    pub fn fit(&mut self, at: EngineKey, memory: u64) {
        let held = self.held_by(at);
        if memory == 0 || held <= memory {
            return;
        }
        let mut all: Vec<(u8, Duration, u32, u64)> = self
            .records
            .values()
            .flatten()
            .filter(|r| r.storage_location == at)
            .map(|r| {
                (r.eviction_priority, r.last_hit_at, r.token_end - r.token_start, r.block_hash)
            })
            .collect();
        all.sort_unstable();
        let mut over = held - (memory - memory / 32);
        let mut out = HashSet::new();
        for (_, _, tokens, hash) in all {
            out.insert(hash);
            over = over.saturating_sub(u64::from(tokens));
            if over == 0 {
                break;
            }
        }
        self.take_out(at, |r| out.contains(&r.block_hash));
    }

    /// Ends lines whose time has passed, forgets records past theirs, and keeps the whole bounded. A
    /// line with an answer under way doesn't end; in a pause its blocks keep their priority.
    pub fn sweep(&mut self, now: Duration) {
        let over: Vec<Arc<str>> = self
            .lines
            .iter()
            .filter(|(_, l)| l.until <= now && l.active == 0)
            .map(|(k, _)| k.clone())
            .collect();
        for k in over {
            if let Some(l) = self.lines.remove(&k) {
                self.let_go(&l, now);
            }
        }
        self.take_out_all(|r| r.ref_count == 0 && r.last_hit_at + r.ttl <= now);
        if self.count > self.tuning.most_records {
            let mut all: Vec<(u8, Duration, u64, EngineKey)> = self
                .records
                .values()
                .flatten()
                .map(|r| (r.eviction_priority, r.last_hit_at, r.block_hash, r.storage_location))
                .collect();
            all.sort_unstable();
            let n = self.count - self.tuning.most_records * 9 / 10;
            let out: HashSet<(u64, EngineKey)> = all[..n].iter().map(|x| (x.2, x.3)).collect();
            self.take_out_all(|r| out.contains(&(r.block_hash, r.storage_location)));
        }
    }

    pub fn counts(&self) -> (usize, usize) {
        (self.count, self.lines.len())
    }

    #[cfg(test)]
    pub fn record(&self, hash: u64, at: EngineKey) -> Option<&BlockRecord> {
        self.records.get(&hash)?.iter().find(|r| r.storage_location == at)
    }
}

#[cfg(test)]
impl CacheIndex {
    fn sum_of(&self, at: EngineKey) -> u64 {
        self.records
            .values()
            .flatten()
            .filter(|r| r.storage_location == at)
            .map(|r| u64::from(r.token_end - r.token_start))
            .sum()
    }
}
