//! Conversions of values that have bounds.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use crate::types::ServiceName;

/// A time above zero and up to `most`.
pub(super) fn duration(most: Duration) -> impl Fn(&str) -> Result<Duration, String> {
    move |text| {
        let time = humantime::parse_duration(text).map_err(|e| e.to_string())?;
        if time.is_zero() || time > most {
            let most = humantime::format_duration(most);
            return Err(format!("expected more than 0 and at most {most}"));
        }
        Ok(time)
    }
}

/// A number that is not zero.
pub(super) fn at_least_one<T>(text: &str) -> Result<T, String>
where
    T: FromStr + Default + PartialEq,
    T::Err: Display,
{
    let number: T = text.parse().map_err(|e: T::Err| e.to_string())?;
    if number == T::default() {
        return Err("expected at least 1".to_owned());
    }
    Ok(number)
}

/// A class, which is spelt as names are.
pub(super) fn class(text: &str) -> Result<String, String> {
    let name = ServiceName::new(text).map_err(|e| e.to_string())?;
    Ok(name.into())
}

/// A text of at most `most` bytes.
pub(super) fn short(most: usize) -> impl Fn(&str) -> Result<String, String> {
    move |text| {
        if text.len() > most {
            return Err(format!("expected at most {most} bytes"));
        }
        Ok(text.to_owned())
    }
}
