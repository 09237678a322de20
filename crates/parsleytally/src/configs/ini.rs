//! INI texts with errors that name section, key and reason.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::str::FromStr;

use snafu::{OptionExt, Snafu, ensure};

use super::MAX_CONFIG_BYTES;

/// A settings text that was refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ConfigError {
    /// The text is larger than a settings text may be.
    #[snafu(display("settings of {size} bytes exceed the limit of {MAX_CONFIG_BYTES} bytes"))]
    TooLarge {
        /// Size of the text, in bytes.
        size: usize,
    },
    /// The text is not UTF-8.
    #[snafu(display("settings are not UTF-8 text"))]
    NotText,
    /// The text is not INI.
    #[snafu(display("settings are not INI: {reason}"))]
    Syntax {
        /// What the parser reported.
        reason: String,
    },
    /// A section that this kind of settings does not have.
    #[snafu(display("section [{section}] is not known here"))]
    UnknownSection {
        /// Name of the section.
        section: String,
    },
    /// A key that its section does not have.
    #[snafu(display("key {key:?} is not known in section [{section}]"))]
    UnknownKey {
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: String,
    },
    /// A key that stands twice in its section.
    #[snafu(display("key {key:?} stands twice in section [{section}]"))]
    DuplicateKey {
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: String,
    },
    /// A key that must be given and is not.
    #[snafu(display("key {key:?} is missing in section [{section}]"))]
    MissingKey {
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: String,
    },
    /// A value that its key does not accept.
    #[snafu(display("value {value:?} of key {key:?} in section [{section}]: {reason}"))]
    BadValue {
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: String,
        /// The refused value.
        value: String,
        /// Why it was refused.
        reason: String,
    },
}

/// A parsed text whose sections are taken out one by one.
#[derive(Debug)]
pub struct Document {
    sections: BTreeMap<String, Section>,
}

impl Document {
    /// Parses `text`.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] when the text is too large, not UTF-8, not INI or
    /// holds a key twice in one section.
    pub fn parse(text: &[u8]) -> Result<Self, ConfigError> {
        ensure!(
            text.len() <= MAX_CONFIG_BYTES,
            TooLargeSnafu { size: text.len() }
        );
        let text = std::str::from_utf8(text).ok().context(NotTextSnafu)?;
        let ini = ini::Ini::load_from_str_noescape(text).map_err(|e| ConfigError::Syntax {
            reason: e.to_string(),
        })?;
        let mut sections = BTreeMap::<String, Section>::new();
        for (name, properties) in ini.iter() {
            let name = name.unwrap_or_default();
            if name.is_empty() && properties.is_empty() {
                continue;
            }
            let section = sections
                .entry(name.to_owned())
                .or_insert_with(|| Section::empty(name));
            for (key, value) in properties.iter() {
                section.insert(key, value)?;
            }
        }
        Ok(Self { sections })
    }

    /// Takes the section `name` out; an absent one is empty.
    pub fn take(&mut self, name: &str) -> Section {
        self.sections
            .remove(name)
            .unwrap_or_else(|| Section::empty(name))
    }

    /// Whether the section `name` is present and has not been taken.
    pub fn contains(&self, name: &str) -> bool {
        self.sections.contains_key(name)
    }

    /// Checks that every section has been taken.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::UnknownSection`] for the first one left.
    pub fn finish(self) -> Result<(), ConfigError> {
        match self.sections.into_keys().next() {
            Some(section) => UnknownSectionSnafu { section }.fail(),
            None => Ok(()),
        }
    }
}

/// One section whose keys are taken out one by one.
#[derive(Debug)]
pub struct Section {
    name: String,
    values: BTreeMap<String, String>,
}

impl Section {
    fn empty(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            values: BTreeMap::new(),
        }
    }

    fn insert(&mut self, key: &str, value: &str) -> Result<(), ConfigError> {
        let old = self.values.insert(key.to_owned(), value.to_owned());
        ensure!(
            old.is_none(),
            DuplicateKeySnafu {
                section: &self.name,
                key
            }
        );
        Ok(())
    }

    /// Takes the value of `key`, converted by `convert`, or `default` if absent.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::BadValue`] with the reason that `convert` gave.
    pub fn take_with<T, E: Display>(
        &mut self,
        key: &str,
        default: T,
        convert: impl FnOnce(&str) -> Result<T, E>,
    ) -> Result<T, ConfigError> {
        #[cfg(test)]
        super::tests::note_asked(&self.name, key);
        let Some(value) = self.values.remove(key) else {
            return Ok(default);
        };
        convert(&value).map_err(|reason| ConfigError::BadValue {
            section: self.name.clone(),
            key: key.to_owned(),
            value,
            reason: reason.to_string(),
        })
    }

    /// Takes the value of `key`, or `default` if absent.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::BadValue`] when the value does not parse.
    pub fn take_or<T>(&mut self, key: &str, default: T) -> Result<T, ConfigError>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.take_with(key, default, str::parse)
    }

    /// Takes the value of `key`, which must be there.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::MissingKey`] or [`ConfigError::BadValue`].
    pub fn require<T>(&mut self, key: &str) -> Result<T, ConfigError>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.take_with(key, None, |value| value.parse().map(Some))?
            .context(MissingKeySnafu {
                section: &self.name,
                key,
            })
    }

    /// Takes all keys that are left, each with its value converted by `convert`.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::BadValue`] for the first value that `convert` refuses.
    pub fn take_rest<T, E: Display>(
        &mut self,
        convert: impl Fn(&str) -> Result<T, E>,
    ) -> Result<BTreeMap<String, T>, ConfigError> {
        let values = std::mem::take(&mut self.values).into_iter();
        let converted = values.map(|(key, value)| match convert(&value) {
            Ok(converted) => Ok((key, converted)),
            Err(reason) => Err(ConfigError::BadValue {
                section: self.name.clone(),
                key,
                value,
                reason: reason.to_string(),
            }),
        });
        converted.collect()
    }

    /// Checks that every key has been taken.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::UnknownKey`] for the first one left.
    pub fn finish(self) -> Result<(), ConfigError> {
        match self.values.into_keys().next() {
            Some(key) => UnknownKeySnafu {
                section: self.name,
                key,
            }
            .fail(),
            None => Ok(()),
        }
    }
}
