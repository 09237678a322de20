//! Tests of proofs, authentication tags and keys.

use super::*;

fn key(byte: u8) -> Key {
    Key::new([byte; KEY_BYTES])
}

fn keys(current: u8, other: Option<u8>) -> Keys {
    Keys {
        current: key(current),
        other: other.map(key),
    }
}

struct RotationCase {
    name: &'static str,
    dialler: Keys,
    acceptor: Keys,
    /// Whether the dialler accepts the acceptor's proof, and the acceptor the dialler's.
    accepted: (bool, bool),
}

#[test]
fn keys_rotate_while_two_are_accepted() {
    let cases = [
        RotationCase {
            name: "one key",
            dialler: keys(1, None),
            acceptor: keys(1, None),
            accepted: (true, true),
        },
        RotationCase {
            name: "first round",
            dialler: keys(1, Some(2)),
            acceptor: keys(1, None),
            accepted: (true, true),
        },
        RotationCase {
            name: "second round",
            dialler: keys(2, Some(1)),
            acceptor: keys(1, Some(2)),
            accepted: (true, true),
        },
        RotationCase {
            name: "third round",
            dialler: keys(2, None),
            acceptor: keys(2, Some(1)),
            accepted: (true, true),
        },
        RotationCase {
            name: "a round was skipped",
            dialler: keys(2, Some(1)),
            acceptor: keys(1, None),
            accepted: (true, false),
        },
        RotationCase {
            name: "another key",
            dialler: keys(3, None),
            acceptor: keys(1, Some(2)),
            accepted: (false, false),
        },
    ];
    for case in cases {
        let dialler = Handshake {
            side: Side::Dialler,
            own: b"dialler",
            peer: b"acceptor",
        };
        let acceptor = Handshake {
            side: Side::Acceptor,
            own: b"acceptor",
            peer: b"dialler",
        };
        let to_dialler = acceptor.prove(&case.acceptor);
        let to_acceptor = dialler.prove(&case.dialler);
        let dialler = dialler.verify(&case.dialler, to_dialler);
        let acceptor = acceptor.verify(&case.acceptor, to_acceptor);
        let accepted = (dialler.is_some(), acceptor.is_some());
        assert_eq!(accepted, case.accepted, "{}", case.name);
        if let (Some((mut send_mac, _)), Some((_, mut receive_mac))) = (dialler, acceptor) {
            let tag = send_mac.next_tag(b"frame");
            assert!(receive_mac.verify(b"frame", &tag), "{}", case.name);
        }
    }
}

#[test]
fn a_replayed_or_reflected_proof_fails() {
    let keys = keys(1, None);
    let dialler = |peer| Handshake {
        side: Side::Dialler,
        own: b"dialler",
        peer,
    };
    let acceptor = |own, peer| Handshake {
        side: Side::Acceptor,
        own,
        peer,
    };
    let recorded = dialler(b"nonce 1").prove(&keys);
    let original = acceptor(b"nonce 1", b"dialler").verify(&keys, recorded);
    assert!(original.is_some());
    let replayed = acceptor(b"nonce 2", b"dialler").verify(&keys, recorded);
    assert!(replayed.is_none());
    let own = acceptor(b"nonce 1", b"nonce 1").prove(&keys);
    let reflected = acceptor(b"nonce 1", b"nonce 1").verify(&keys, own);
    assert!(reflected.is_none());
}

type TaggedFrame = (Vec<u8>, [u8; TAG_BYTES]);

struct TagCase {
    name: &'static str,
    tamper: fn(&mut Vec<TaggedFrame>),
}

#[test]
fn a_changed_duplicated_dropped_or_reordered_frame_fails() {
    let cases = [
        TagCase {
            name: "changed frame",
            tamper: |frames| frames[0].0[0] ^= 1,
        },
        TagCase {
            name: "changed tag",
            tamper: |frames| frames[1].1[15] ^= 1,
        },
        TagCase {
            name: "duplicated",
            tamper: |frames| frames.insert(1, frames[0].clone()),
        },
        TagCase {
            name: "dropped",
            tamper: |frames| drop(frames.remove(1)),
        },
        TagCase {
            name: "reordered",
            tamper: |frames| frames.swap(0, 1),
        },
    ];
    for case in cases {
        let mut send_mac = ChunkMac::new([7; KEY_BYTES]);
        let mut receive_mac = ChunkMac::new([7; KEY_BYTES]);
        let frames = [b"first", b"other", b"third"].map(|frame| frame.to_vec());
        let mut frames = frames.map(|f| (f.clone(), send_mac.next_tag(&f))).to_vec();
        (case.tamper)(&mut frames);
        let all_valid = frames.iter().all(|(f, tag)| receive_mac.verify(f, tag));
        assert!(!all_valid, "{}", case.name);
    }
}

#[test]
fn a_short_tag_fails() {
    let tag = ChunkMac::new([7; KEY_BYTES]).next_tag(b"frame");
    let mut receive_mac = ChunkMac::new([7; KEY_BYTES]);
    assert!(!receive_mac.verify(b"frame", &tag[..8]));
}

struct KeyCase {
    text: &'static str,
    valid: bool,
}

#[test]
fn keys_are_parsed_and_never_printed() {
    const VALID: &str = "00112233445566778899aabbccddeeff00112233445566778899AABBCCDDEEFF";
    let cases = [
        KeyCase {
            text: VALID,
            valid: true,
        },
        KeyCase {
            text: "",
            valid: false,
        },
        KeyCase {
            text: "00112233",
            valid: false,
        },
        KeyCase {
            text: "g0112233445566778899aabbccddeeff00112233445566778899AABBCCDDEEFF",
            valid: false,
        },
    ];
    for case in cases {
        let key = case.text.parse::<Key>();
        assert_eq!(key.is_ok(), case.valid, "{:?}", case.text);
        let printed = format!("{:?} {:?}", key, key.clone().map(Keys::single));
        assert!(!printed.contains("001122"), "{printed}");
        assert!(!printed.contains("17, 34"), "{printed}");
    }
}
