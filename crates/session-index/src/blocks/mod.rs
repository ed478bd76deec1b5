//! Blocks: each part of a prompt's prefix is one; its hash chains its id with those before it, so
//! that equal hashes mean equal prompts up to there.
use crate::prelude::*;

/// A part of the prompt as the prefix header names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part<'a> {
    pub id: &'a str,
    pub tokens: u32,
}

/// Invariant: along a prompt, `start` of a block is `end` of the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Block {
    pub hash: u64,
    pub start: u32,
    pub end: u32,
}

const SEED: u64 = 0x9e37_79b9_7f4a_7c15;

/// The blocks of a prompt of `model`.
pub fn chain_blocks<'a>(model: &str, parts: impl IntoIterator<Item = Part<'a>>) -> Vec<Block> {
    let mut hash = fnv64(model.as_bytes()) ^ SEED;
    let mut at = 0u32;
    let mut out = Vec::new();
    for p in parts {
        let mut bytes = Vec::with_capacity(8 + p.id.len());
        bytes.extend_from_slice(&hash.to_le_bytes());
        bytes.extend_from_slice(p.id.as_bytes());
        hash = fnv64(&bytes);
        let end = at.saturating_add(p.tokens);
        out.push(Block { hash, start: at, end });
        at = end;
    }
    out
}
