//! Proof that both ends of a link know a shared key.
//!
//! Each side sends a hello with a fresh [`Nonce`], then a proof: a hash, keyed with the
//! shared key, of its side of the connection and both hellos. A replayed hello or proof
//! fails because the receiver's nonce differs; a reflected one has the wrong side.
//!
//! Each later chunk of a frame carries an authentication tag: a hash of the chunk's
//! number and bytes, with a key derived for this connection and direction. Changed,
//! duplicated, dropped or reordered chunks fail verification.

mod keys;

use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

pub use keys::{InvalidKey, KEY_BYTES, Key, Keys};

/// Length of a chunk's authentication tag, in bytes.
pub(crate) const TAG_BYTES: usize = 16;

/// Domain separation of proofs from other uses of the key.
const PROOF_CONTEXT: &[u8] = b"parsleytally link proof";
/// Domain separation of the tag keys from other uses of the key.
const FRAME_CONTEXT: &[u8] = b"parsleytally link frames";

/// Random value that is used on one connection only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Nonce([u8; 32]);

impl Nonce {
    /// Generates a nonce with the system's random generator.
    pub(crate) fn random() -> Self {
        Self(keys::random_bytes())
    }
}

/// Keyed hash with which a side proves that it knows the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Proof([u8; 32]);

/// End of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Side {
    Dialler,
    Acceptor,
}

impl Side {
    fn peer(self) -> Self {
        match self {
            Self::Dialler => Self::Acceptor,
            Self::Acceptor => Self::Dialler,
        }
    }

    fn label(self) -> u8 {
        match self {
            Self::Dialler => 1,
            Self::Acceptor => 2,
        }
    }
}

/// Encoded hellos of both sides of one connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Handshake<'a> {
    pub(crate) side: Side,
    pub(crate) own: &'a [u8],
    pub(crate) peer: &'a [u8],
}

impl Handshake<'_> {
    /// Creates this side's proof.
    pub(crate) fn prove(&self, keys: &Keys) -> Proof {
        let hash = self.hash(&keys.current, PROOF_CONTEXT, self.side);
        Proof(*hash.as_bytes())
    }

    /// Verifies the peer's proof and returns the MACs for sending and for receiving.
    ///
    /// Returns `None` if the proof matches no accepted key.
    pub(crate) fn verify(&self, keys: &Keys, proof: Proof) -> Option<(ChunkMac, ChunkMac)> {
        let side = self.side.peer();
        let matches = |key: &&Key| self.hash(key, PROOF_CONTEXT, side) == proof.0;
        let key = keys.accepted().find(matches)?;
        let own = self.hash(&keys.current, FRAME_CONTEXT, self.side);
        let peer = self.hash(key, FRAME_CONTEXT, side);
        Some((
            ChunkMac::new(*own.as_bytes()),
            ChunkMac::new(*peer.as_bytes()),
        ))
    }

    /// Keyed hash of both hellos and `side`; [`blake3::Hash`] compares in constant time.
    fn hash(&self, key: &Key, context: &[u8], side: Side) -> blake3::Hash {
        let (dialler, acceptor) = match self.side {
            Side::Dialler => (self.own, self.peer),
            Side::Acceptor => (self.peer, self.own),
        };
        let mut hasher = blake3::Hasher::new_keyed(key.bytes());
        for part in [context, &[side.label()], dialler, acceptor] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.finalize()
    }
}

/// Computes the authentication tags of one direction of a connection, in chunk order.
pub(crate) struct ChunkMac {
    key: [u8; KEY_BYTES],
    chunks: u64,
}

impl ChunkMac {
    fn new(key: [u8; KEY_BYTES]) -> Self {
        Self { key, chunks: 0 }
    }

    /// Computes the tag of the next chunk.
    pub(crate) fn next_tag(&mut self, chunk: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&self.chunks.to_le_bytes());
        hasher.update(chunk);
        self.chunks += 1;
        let mut tag = [0; TAG_BYTES];
        hasher.finalize_xof().fill(&mut tag);
        tag
    }

    /// Verifies the tag of the next chunk in constant time.
    pub(crate) fn verify(&mut self, chunk: &[u8], tag: &[u8]) -> bool {
        self.next_tag(chunk).ct_eq(tag).into()
    }
}

#[cfg(test)]
mod tests;
