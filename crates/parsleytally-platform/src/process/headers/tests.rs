//! Tests of the headers that are passed on.

use super::*;

struct HeaderCase {
    name: &'static str,
    value: &'static str,
    passed: bool,
}

#[test]
fn headers_of_one_connection_are_left_out() {
    let cases = [
        HeaderCase {
            name: "accept",
            value: "text/plain",
            passed: true,
        },
        HeaderCase {
            name: "idempotency-key",
            value: "pew-7",
            passed: true,
        },
        HeaderCase {
            name: "connection",
            value: "keep-alive, X-Hop",
            passed: false,
        },
        HeaderCase {
            name: "x-hop",
            value: "named by connection",
            passed: false,
        },
        HeaderCase {
            name: "transfer-encoding",
            value: "chunked",
            passed: false,
        },
        HeaderCase {
            name: "content-length",
            value: "7",
            passed: false,
        },
    ];
    let headers: HeaderMap = cases
        .iter()
        .map(|case| {
            let name = HeaderName::from_static(case.name);
            (name, HeaderValue::from_static(case.value))
        })
        .collect();
    let passed: Vec<&str> = end_to_end(&headers)
        .map(|(name, _)| name.as_str())
        .collect();
    for case in cases {
        assert_eq!(passed.contains(&case.name), case.passed, "{}", case.name);
    }
}
