//! Tests of the shared types.

use super::*;

struct NameCase {
    text: &'static str,
    valid: bool,
}

#[test]
fn names_are_validated() {
    let too_long = "a".repeat(64);
    let cases = [
        NameCase {
            text: "demo",
            valid: true,
        },
        NameCase {
            text: "pew-7.a_b",
            valid: true,
        },
        NameCase {
            text: "7th",
            valid: true,
        },
        NameCase {
            text: "",
            valid: false,
        },
        NameCase {
            text: "..",
            valid: false,
        },
        NameCase {
            text: ".hidden",
            valid: false,
        },
        NameCase {
            text: "a/b",
            valid: false,
        },
        NameCase {
            text: "Demo",
            valid: false,
        },
        NameCase {
            text: "órgão",
            valid: false,
        },
    ];
    for case in cases {
        assert_eq!(
            TeamName::new(case.text).is_ok(),
            case.valid,
            "{:?}",
            case.text
        );
    }
    assert!(TeamName::new(&too_long).is_err());
}

struct FitCase {
    need: Resources,
    available: Resources,
    fits: bool,
}

#[test]
fn resources_fit_only_if_every_dimension_fits() {
    let cases = [
        FitCase {
            need: Resources::new(1, 1, 1),
            available: Resources::new(1, 1, 1),
            fits: true,
        },
        FitCase {
            need: Resources::new(2, 1, 1),
            available: Resources::new(1, 9, 9),
            fits: false,
        },
        FitCase {
            need: Resources::new(1, 2, 1),
            available: Resources::new(9, 1, 9),
            fits: false,
        },
        FitCase {
            need: Resources::new(1, 1, 2),
            available: Resources::new(9, 9, 1),
            fits: false,
        },
        FitCase {
            need: Resources::NONE,
            available: Resources::NONE,
            fits: true,
        },
    ];
    for case in cases {
        assert_eq!(
            case.need.fits(&case.available),
            case.fits,
            "{} in {}",
            case.need,
            case.available
        );
    }
}

#[test]
fn duration_since_a_later_time_is_zero() {
    let earlier = Time::from_secs(1);
    let later = earlier.after(std::time::Duration::from_millis(1500));
    assert_eq!(later, Time::from_millis(2500));
    assert_eq!(earlier.since(later), std::time::Duration::ZERO);
}
