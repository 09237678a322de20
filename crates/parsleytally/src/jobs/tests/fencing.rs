//! Order of the fencing tokens of links, epochs and raises.

use super::super::fencing::{is_of_later_epoch, link_token, needs_new_link};
use crate::types::Epoch;

/// Last link number of an epoch.
const LAST_LINK: u64 = (1 << 20) - 1;
/// Raises that an agent can add to the token of a link.
const RAISES: u64 = (1 << 12) - 1;

/// Guards against an owner that no agent accepts, and against orders of an earlier link that
/// are carried out after the listing for a later one.
#[test]
fn the_token_of_a_later_link_or_epoch_is_higher_than_any_raise_before() {
    struct Case {
        what: &'static str,
        earlier: (u64, u64),
        later: (u64, u64),
    }
    let cases = [
        Case {
            what: "next link",
            earlier: (3, 1),
            later: (3, 2),
        },
        Case {
            what: "last link",
            earlier: (3, LAST_LINK - 1),
            later: (3, LAST_LINK),
        },
        Case {
            what: "next epoch",
            earlier: (3, LAST_LINK),
            later: (4, 1),
        },
        Case {
            what: "first epoch",
            earlier: (0, LAST_LINK),
            later: (1, 0),
        },
    ];
    let token = |(epoch, number)| link_token(Epoch(epoch), number).expect("a token");
    for case in cases {
        let raised = token(case.earlier) + RAISES;
        assert!(raised < token(case.later), "{}", case.what);
        let later = case.later.0 > case.earlier.0;
        let epoch = Epoch(case.earlier.0);
        assert_eq!(
            is_of_later_epoch(token(case.later), epoch),
            later,
            "{}",
            case.what
        );
        assert!(!is_of_later_epoch(raised, epoch), "{}", case.what);
    }
}

/// Guards against link numbers that reach the bits of the epoch: the agents then refuse the
/// next owner.
#[test]
fn there_is_no_token_after_the_last_link() {
    assert!(link_token(Epoch(3), LAST_LINK).is_some());
    assert_eq!(link_token(Epoch(3), LAST_LINK + 1), None);
}

/// Guards against raises that reach the tokens of later links.
#[test]
fn an_agent_needs_another_link_once_half_of_its_raises_are_used() {
    let token = link_token(Epoch(3), 7).expect("a token");
    assert!(!needs_new_link(token));
    assert!(!needs_new_link(token + RAISES / 2));
    assert!(needs_new_link(token + RAISES / 2 + 1));
    assert!(needs_new_link(token + RAISES));
}
