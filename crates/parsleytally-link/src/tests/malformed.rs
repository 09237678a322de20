//! Damaged chunks and openings: they are refused or decoded, and never end the process. The
//! chunk's tag is verified before, so these come from a faulty process that knows the key.

use std::collections::HashMap;

use parsleytally::jobs::{JobId, JobReply, JobRequest, JobState, StoredJob};
use parsleytally::types::RequestId;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::{answer, hello, request};
use crate::handshake::check_opening;
use crate::wire::reassemble;
use crate::{FRAME_LIMIT_BYTES, Frame, Role};

/// A runner with a fixed seed; some seconds for all properties.
fn runner() -> TestRunner {
    let config = Config {
        cases: 5_000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[13; 32]);
    TestRunner::new_with_rng(config, rng)
}

fn frames() -> Vec<Vec<u8>> {
    let frames = [
        Frame::Hello(hello(Role::Entry, "entry")),
        Frame::Request(request(7)),
        Frame::Answer(answer(7, "body")),
        Frame::JobRequest(RequestId(1), JobRequest::Cancel(JobId(5))),
        Frame::JobReply(
            RequestId(1),
            JobReply::Stored(StoredJob::State(JobState::Running)),
        ),
        Frame::KeepAlive,
    ];
    let encoded = frames.iter().map(postcard::to_stdvec);
    encoded.map(|bytes| bytes.expect("a frame")).collect()
}

/// A chunk: number of its frame, whether it is the last, and bytes of a damaged frame.
fn chunk() -> impl Strategy<Value = Vec<u8>> {
    let frame = prop::sample::select(frames());
    let damaged = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4);
    let extra = prop::collection::vec(any::<u8>(), 0..20);
    let last = prop_oneof![Just(0_u8), Just(1), any::<u8>()];
    (0_u8..8, last, frame, damaged, extra).prop_map(|(stream, last, mut bytes, damaged, extra)| {
        for (index, byte) in damaged {
            let at = index.index(bytes.len());
            bytes[at] = byte;
        }
        bytes.extend(extra);
        let mut chunk = vec![stream, last];
        chunk.extend(bytes);
        chunk
    })
}

/// Guards against a chunk that ends the process, and against chunks that take its memory.
#[test]
fn damaged_chunks_are_refused_or_decoded() {
    let chunks = prop::collection::vec(chunk(), 1..12);
    let outcome = runner().run(&chunks, |chunks| {
        let mut partial = HashMap::new();
        for chunk in chunks {
            let _ = reassemble(&mut partial, &chunk);
            let held: usize = partial.values().map(Vec::len).sum();
            prop_assert!(partial.len() <= 4 && held <= 4 * FRAME_LIMIT_BYTES);
        }
        Ok(())
    });
    outcome.expect("no chunk ends the process");
}

/// Guards against the first message of an unknown process, which nothing authenticates.
#[test]
fn damaged_openings_are_refused_or_decoded() {
    let own = hello(Role::Entry, "own");
    let mut valid = postcard::to_stdvec(&hello(Role::Agent, "peer")).expect("a hello");
    valid.extend([9; 40]);
    let damaged = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..5);
    let bytes = (damaged, 0..=valid.len()).prop_map(move |(damaged, cut)| {
        let mut bytes = valid.clone();
        for (index, byte) in damaged {
            let at = index.index(bytes.len());
            bytes[at] = byte;
        }
        if cut % 4 == 0 {
            bytes.truncate(cut);
        }
        bytes
    });
    let outcome = runner().run(&bytes, |bytes| {
        let _ = check_opening(&bytes, &own);
        Ok(())
    });
    outcome.expect("no opening ends the process");
}
