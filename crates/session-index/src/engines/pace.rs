//! How fast an engine has shown itself: learned from its answers, never assumed.
use crate::prelude::*;

/// Running means. `read_ms` is the time a prompt token takes to be read, `base_ms` a first event's
/// time beyond reading, `work_ms` a plain request's whole time.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    pub read_ms: f64,
    pub base_ms: f64,
    pub work_ms: f64,
    pub seen: u32,
}

impl Default for Pace {
    fn default() -> Self {
        Pace { read_ms: 0.04, base_ms: 80.0, work_ms: 100.0, seen: 0 }
    }
}

fn lean(old: f64, new: f64, by: f64) -> f64 {
    old + (new - old) * by
}

impl Pace {
    fn step(&self) -> f64 {
        (1.0 / (f64::from(self.seen) + 1.0)).max(0.08)
    }

    /// A turn's first event came after `took`, with `fresh` tokens to be read.
    pub fn first_event(&mut self, took: Duration, fresh: u32) {
        let ms = took.as_secs_f64() * 1e3;
        let by = self.step();
        if fresh < 900 {
            let base = (ms - f64::from(fresh) * self.read_ms).clamp(1.0, 2000.0);
            self.base_ms = lean(self.base_ms, base, by.min(0.2));
        } else {
            let read = ((ms - self.base_ms) / f64::from(fresh)).clamp(0.002, 1.0);
            self.read_ms = lean(self.read_ms, read, by.min(0.2));
        }
        self.seen += 1;
    }

    pub fn worked(&mut self, took: Duration) {
        let by = self.step().min(0.2);
        self.work_ms = lean(self.work_ms, (took.as_secs_f64() * 1e3).clamp(0.5, 20_000.0), by);
        self.seen += 1;
    }
}
