//! Tests of access control for settings.

use std::sync::Arc;

use http::HeaderValue;
use parsleytally::configs::TokenConfig;
use parsleytally::types::TeamName;

use super::*;

fn hash(token: &str) -> TokenHash {
    TokenHash(*blake3::hash(token.as_bytes()).as_bytes())
}

fn view() -> View {
    let tokens = TokenConfig {
        hash: Some(hash("new-demo")),
        previous: Some(hash("old-demo")),
    };
    let other = TokenConfig {
        hash: Some(hash("other")),
        previous: None,
    };
    let tokens = [("demo", tokens), ("other", other)];
    let tokens = tokens.map(|(team, tokens)| (TeamName::new(team).unwrap(), tokens));
    View {
        tokens: Arc::new(tokens.into_iter().collect()),
        ..View::default()
    }
}

struct AccessCase {
    header: Option<&'static str>,
    path: &'static str,
    expected: Result<(), Denied>,
}

#[test]
fn a_team_token_grants_access_to_its_own_team_only() {
    let case = |header, path, expected| AccessCase {
        header,
        path,
        expected,
    };
    let cases = [
        case(None, "demo/quota", Err(Denied::Missing)),
        case(Some(""), "demo/quota", Err(Denied::Missing)),
        case(Some("new-demo"), "demo/quota", Err(Denied::Missing)),
        case(Some("Bearer "), "demo/quota", Err(Denied::Wrong)),
        case(Some("Bearer new-demo"), "demo/quota", Ok(())),
        case(Some("Bearer old-demo"), "demo/batch/count", Ok(())),
        case(Some("Bearer other"), "demo/quota", Err(Denied::Wrong)),
        case(Some("Bearer new-demo"), "other/quota", Err(Denied::Wrong)),
        case(Some("Bearer new-demo"), "nobody/quota", Err(Denied::Wrong)),
        case(Some("Bearer new-demo"), "demo/token", Err(Denied::Wrong)),
        case(Some("Bearer new-demo"), "_deployment", Err(Denied::Wrong)),
        case(Some("Bearer admin"), "demo/token", Ok(())),
        case(Some("Bearer admin"), "_deployment", Ok(())),
        case(Some("Bearer admin"), "nobody/quota", Ok(())),
    ];
    let access = Access {
        admin: Some(hash("admin")),
    };
    for case in cases {
        let mut headers = HeaderMap::new();
        if let Some(value) = case.header {
            headers.insert(header::AUTHORIZATION, HeaderValue::from_static(value));
        }
        let path = SettingPath::parse(case.path).unwrap();
        let result = access.check(&headers, &path, &view());
        assert_eq!(result, case.expected, "{:?} {path}", case.header);
    }
}

#[test]
fn without_an_administrator_settings_are_open() {
    let access = Access { admin: None };
    let path = SettingPath::parse("demo/quota").unwrap();
    assert_eq!(access.check(&HeaderMap::new(), &path, &view()), Ok(()));
    assert!(access.is_open());
}
