//! What one copy of the configuration, kept in one place, would answer: histories are compared with it.
use control_cell::prelude::*;
use todc_utils::specifications::Specification;

/// An order, or a question, with the answer that ended it.
#[derive(Clone, Debug, PartialEq)]
pub enum Op {
    Put { order: Order, answer: PutAnswer },
    Get { answer: GetAnswer },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Order {
    pub base: u64,
    pub version: u64,
    pub body: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutAnswer {
    /// 200
    Acknowledged,
    /// 412
    OtherVersion,
    /// 400
    NotAbove,
    Unclear,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GetAnswer {
    Config(Option<Config>),
    Unclear,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    pub version: u64,
    pub body: u8,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Register {
    current: Option<Config>,
    taken: BTreeMap<u64, u8>,
}

impl Register {
    fn put(&mut self, order: &Order) -> PutAnswer {
        let current = self.current.map_or(0, |c| c.version);
        if self.taken.get(&order.version) == Some(&order.body) {
            return PutAnswer::Acknowledged;
        }
        if order.base != current {
            return PutAnswer::OtherVersion;
        }
        if order.version <= current {
            return PutAnswer::NotAbove;
        }
        self.current = Some(Config { version: order.version, body: order.body });
        self.taken.insert(order.version, order.body);
        PutAnswer::Acknowledged
    }
}

pub struct OneCopy;

impl Specification for OneCopy {
    type State = Register;
    type Operation = Op;

    fn init() -> Register {
        Register::default()
    }

    fn apply(op: &Op, state: &Register) -> (bool, Register) {
        let mut next = state.clone();
        let valid = match op {
            Op::Put { order, answer } => {
                let would = next.put(order);
                *answer == PutAnswer::Unclear || *answer == would
            }
            Op::Get { answer: GetAnswer::Config(read) } => *read == state.current,
            Op::Get { answer: GetAnswer::Unclear } => true,
        };
        if valid {
            (true, next)
        } else {
            (false, state.clone())
        }
    }
}
