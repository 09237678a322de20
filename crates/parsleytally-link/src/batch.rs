//! Splits lists of messages into frames of bounded size, which keep the order of the messages.

use serde::Serialize;

use crate::FRAME_LIMIT_BYTES;
use crate::wire::CHUNK_BYTES;

/// Most bytes of a frame beside its messages: its kind and the length of the list.
const OVERHEAD_BYTES: usize = 16;
/// Most bytes of the messages in one batch, unless it has only one: its frame is one chunk.
const BATCH_BYTES: usize = CHUNK_BYTES - OVERHEAD_BYTES;
/// Largest encoded message that a frame can carry, in bytes.
pub const MESSAGE_LIMIT_BYTES: usize = FRAME_LIMIT_BYTES - OVERHEAD_BYTES;

/// Messages that are split into frames.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batches<T> {
    /// Messages of each frame, in order.
    pub frames: Vec<Vec<T>>,
    /// Messages that no frame can carry.
    pub oversized: Vec<T>,
}

/// Splits `messages` into the lists of frames.
pub fn batches<T: Serialize>(messages: Vec<T>) -> Batches<T> {
    let mut frames: Vec<Vec<T>> = Vec::new();
    let mut oversized = Vec::new();
    let mut filled = BATCH_BYTES;
    for message in messages {
        let size = encoded_bytes(&message);
        if size > MESSAGE_LIMIT_BYTES {
            oversized.push(message);
            continue;
        }
        match frames.last_mut() {
            Some(last) if filled + size <= BATCH_BYTES => {
                last.push(message);
                filled += size;
            }
            _ => {
                frames.push(vec![message]);
                filled = size;
            }
        }
    }
    Batches { frames, oversized }
}

/// Encoded size of a message, in bytes; the largest number if it can't be encoded.
pub fn encoded_bytes<T: Serialize>(message: &T) -> usize {
    postcard::experimental::serialized_size(message).unwrap_or(usize::MAX)
}
