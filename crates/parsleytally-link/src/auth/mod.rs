//! Proof that both ends of a link know a shared key.
//!
//! Each side sends a hello with a fresh [`Nonce`], then a proof: the hash, keyed with
//! the shared key, of its side of the connection and of both hellos. A recorded
//! hello or proof is worthless on another connection, since the receiver's nonce
//! differs; a reflected one names the wrong side.
//!
//! Each frame after that carries a tag: the hash, keyed with a key of this
//! connection and direction, of the frame's number and bytes. A frame that was
//! changed, doubled, left out or moved does not pass.

mod keys;

use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

pub use keys::{InvalidKey, KEY_BYTES, Key, Keys};

/// Length of a frame's tag, in bytes.
pub(crate) const TAG_BYTES: usize = 16;

/// Separates proofs from other uses of the key.
const PROOF_CONTEXT: &[u8] = b"parsleytally link proof";
/// Separates the frames' keys from other uses of the key.
const FRAME_CONTEXT: &[u8] = b"parsleytally link frames";

/// A number that is used on one connection only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Nonce([u8; 32]);

impl Nonce {
    /// A new nonce from the system's random generator.
    pub(crate) fn random() -> Self {
        Self(keys::random_bytes())
    }
}

/// Evidence that a side knows the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Proof([u8; 32]);

/// Which end of the connection a process is.
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

/// Both hellos of one connection, as they were sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Handshake<'a> {
    pub(crate) side: Side,
    pub(crate) own: &'a [u8],
    pub(crate) peer: &'a [u8],
}

impl Handshake<'_> {
    /// Proof of this process.
    pub(crate) fn prove(&self, keys: &Keys) -> Proof {
        let hash = self.hash(&keys.current, PROOF_CONTEXT, self.side);
        Proof(*hash.as_bytes())
    }

    /// Checks the peer's proof and prepares the tags of both directions.
    ///
    /// Returns `None` when the proof fits none of the accepted keys.
    pub(crate) fn verify(&self, keys: &Keys, proof: Proof) -> Option<(Seal, Seal)> {
        let side = self.side.peer();
        let fits = |key: &&Key| self.hash(key, PROOF_CONTEXT, side) == proof.0;
        let key = keys.accepted().find(fits)?;
        let own = self.hash(&keys.current, FRAME_CONTEXT, self.side);
        let peer = self.hash(key, FRAME_CONTEXT, side);
        Some((Seal::new(*own.as_bytes()), Seal::new(*peer.as_bytes())))
    }

    /// Hash of the connection from the view of `side`; compares in constant time.
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

/// Makes the tags of one direction of one connection, in the order of its frames.
pub(crate) struct Seal {
    key: [u8; KEY_BYTES],
    frames: u64,
}

impl Seal {
    fn new(key: [u8; KEY_BYTES]) -> Self {
        Self { key, frames: 0 }
    }

    /// Tag of the next frame.
    pub(crate) fn next(&mut self, frame: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&self.frames.to_le_bytes());
        hasher.update(frame);
        self.frames += 1;
        let mut tag = [0; TAG_BYTES];
        hasher.finalize_xof().fill(&mut tag);
        tag
    }

    /// Whether `tag` is that of the next frame.
    pub(crate) fn check(&mut self, frame: &[u8], tag: &[u8]) -> bool {
        self.next(frame).ct_eq(tag).into()
    }
}

#[cfg(test)]
mod tests;
