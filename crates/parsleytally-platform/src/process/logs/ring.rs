//! The ring between what logs and the thread that writes.

use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use logforth::layout::LogfmtLayout;
use logforth::record::{Level, Record};
use logforth::{Append, Diagnostic, Error, Layout};
use prometheus::IntCounter;

use super::LogBounds;

/// Time over which lines are gathered before they are written.
const GATHER: Duration = Duration::from_millis(50);
/// Longest wait for the lines that are still to be written.
const FLUSH_LIMIT: Duration = Duration::from_millis(300);
/// Time over which the rate is judged.
const RATE_TIME: Duration = Duration::from_secs(1);

enum Message {
    Line(Vec<u8>),
    /// Answered once all lines before it are written.
    Flush(SyncSender<()>),
}

/// An appender that never waits for the reader of its lines.
#[derive(Debug)]
pub(super) struct Ring {
    layout: LogfmtLayout,
    bounds: LogBounds,
    messages: SyncSender<Message>,
    rate: Mutex<Rate>,
    /// Lines that were dropped.
    dropped: IntCounter,
}

/// Lines of the present second.
#[derive(Debug)]
struct Rate {
    began: Instant,
    lines: u64,
}

impl Rate {
    /// Counts a line; whether it is within `most` of a second.
    fn allows(&mut self, now: Instant, most: u64) -> bool {
        if now.duration_since(self.began) >= RATE_TIME {
            self.began = now;
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= most
    }
}

impl Ring {
    /// Starts the thread that writes to `out`.
    pub(super) fn start(
        bounds: LogBounds,
        out: Box<dyn Write + Send>,
        dropped: IntCounter,
    ) -> Self {
        let (messages, waiting) = sync_channel(bounds.waiting);
        let writer = Writer {
            out,
            told: dropped.get(),
            dropped: dropped.clone(),
        };
        let started = std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.run(&waiting));
        if let Err(error) = started {
            eprintln!("log lines are dropped: the thread that writes did not start: {error}");
        }
        let rate = Rate {
            began: Instant::now(),
            lines: 0,
        };
        Self {
            layout: LogfmtLayout::default(),
            bounds,
            messages,
            rate: Mutex::new(rate),
            dropped,
        }
    }

    /// Hands a line to the writer, or drops it.
    fn pass(&self, line: Vec<u8>) {
        if self.messages.try_send(Message::Line(line)).is_err() {
            self.dropped.inc();
        }
    }

    fn is_within_rate(&self) -> bool {
        let mut rate = self.rate.lock().unwrap_or_else(PoisonError::into_inner);
        rate.allows(Instant::now(), self.bounds.per_second)
    }
}

impl Append for Ring {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        if record.level() < Level::Warn && !self.is_within_rate() {
            self.dropped.inc();
            return Ok(());
        }
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        self.pass(line);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let (written, answer) = sync_channel(1);
        if self.messages.try_send(Message::Flush(written)).is_ok() {
            // A reader that stands still does not hold up the end of the process.
            let _ = answer.recv_timeout(FLUSH_LIMIT);
        }
        Ok(())
    }
}

/// Writes what comes out of the ring.
struct Writer {
    out: Box<dyn Write + Send>,
    dropped: IntCounter,
    /// How many of the dropped lines have been told of.
    told: u64,
}

impl Writer {
    fn run(mut self, messages: &Receiver<Message>) {
        while let Ok(first) = messages.recv() {
            if matches!(first, Message::Line(_)) {
                std::thread::sleep(GATHER);
            }
            let mut lines = Vec::new();
            let mut flushed = Vec::new();
            for message in std::iter::once(first).chain(messages.try_iter()) {
                match message {
                    Message::Line(line) => lines.push(line),
                    Message::Flush(answer) => flushed.push(answer),
                }
            }
            lines.extend(self.dropped_line());
            if let Err(error) = self.write(&lines) {
                eprintln!("log lines are lost: standard output reports {error}");
            }
            for answer in flushed {
                // The one that waited may have given up.
                let _ = answer.try_send(());
            }
        }
    }

    /// Writes each line by one call, so that lines of several processes do not mix.
    fn write(&mut self, lines: &[Vec<u8>]) -> std::io::Result<()> {
        for line in lines {
            self.out.write_all(line)?;
            self.out.flush()?;
        }
        Ok(())
    }

    /// A line on those that were dropped since the last.
    fn dropped_line(&mut self) -> Option<Vec<u8>> {
        let all = self.dropped.get();
        let dropped = all - std::mem::replace(&mut self.told, all);
        let line = format!("level=WARN message=\"log lines dropped\" lines={dropped}\n");
        (dropped > 0).then(|| line.into_bytes())
    }
}
