//! Command line that both binaries share.

use std::future::Future;
use std::process::ExitCode;

use getopts::{Matches, Options};
use parsleytally::configs::ConfigError;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit code of a wrong command line or settings file.
const EXIT_REFUSED: u8 = 2;

/// An option of one binary beside the common ones.
#[derive(Debug, Clone, Copy)]
pub struct ExtraOption {
    /// Long name without dashes.
    pub name: &'static str,
    /// What it does.
    pub description: &'static str,
    /// Name of its value; none for a flag.
    pub value: Option<&'static str>,
}

/// A parsed command line.
#[derive(Debug)]
pub struct Command {
    matches: Matches,
}

/// Parses the arguments of this process; `--help` and `--version` end it.
///
/// # Errors
///
/// Returns the exit code with which the process shall end.
pub fn parse(usage: &str, version: &str, extra: &[ExtraOption]) -> Result<Command, ExitCode> {
    let mut options = Options::new();
    options.optopt("", "config", "settings file in INI", "FILE");
    options.optflag("", "check", "check the settings file and exit with 0 or 2");
    options.optflag("", "help", "show this text");
    options.optflag("", "version", "show the version");
    for option in extra {
        match option.value {
            Some(value) => options.optopt("", option.name, option.description, value),
            None => options.optflag("", option.name, option.description),
        };
    }
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("{error}\n{}", options.usage(usage));
            return Err(ExitCode::from(EXIT_REFUSED));
        }
    };
    if matches.opt_present("help") {
        println!("{}", options.usage(usage));
        return Err(ExitCode::SUCCESS);
    }
    if matches.opt_present("version") {
        println!("{version}");
        return Err(ExitCode::SUCCESS);
    }
    Ok(Command { matches })
}

impl Command {
    /// Whether the flag `name` was given.
    pub fn has(&self, name: &str) -> bool {
        self.matches.opt_present(name)
    }

    /// Value of the option `name`.
    pub fn value(&self, name: &str) -> Option<String> {
        self.matches.opt_str(name)
    }

    /// Reads the settings file with `parse`; with `--check` the process ends here.
    ///
    /// # Errors
    ///
    /// Returns the exit code with which the process shall end.
    pub fn load<T>(
        &self,
        parse: impl FnOnce(&[u8]) -> Result<T, ConfigError>,
    ) -> Result<T, ExitCode> {
        let Some(path) = self.value("config") else {
            return Err(refused("option --config FILE is missing"));
        };
        let text = std::fs::read(&path);
        let text = text.map_err(|error| refused(&format!("{path}: {error}")))?;
        let config = parse(&text).map_err(|error| refused(&format!("{path}: {error}")))?;
        if self.has("check") {
            println!("{path}: accepted");
            return Err(ExitCode::SUCCESS);
        }
        Ok(config)
    }
}

fn refused(reason: &str) -> ExitCode {
    eprintln!("{reason}");
    ExitCode::from(EXIT_REFUSED)
}

/// Completes on SIGTERM or SIGINT; call it within a runtime.
pub fn terminated() -> impl Future<Output = ()> {
    let term = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    async move {
        match (term, interrupt) {
            (Ok(term), Ok(interrupt)) => first_of(term, interrupt).await,
            _ => std::future::pending().await,
        }
    }
}

/// Logs each SIGHUP; the settings of this process are read at its start only.
pub async fn note_reloads() {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return;
    };
    while hangup.recv().await.is_some() {
        log::info!("settings file has changed: it is read at the next start");
    }
}

async fn first_of(mut term: Signal, mut interrupt: Signal) {
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
}
