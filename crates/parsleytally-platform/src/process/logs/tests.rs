//! Volume of logs under load, and readers that stand still.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};

use logforth::Append;
use logforth::record::{Level, Record};
use prometheus::IntCounter;

use super::LogBounds;
use super::ring::Ring;

/// A reader of log lines that reads one piece each time that it is let.
struct Reader {
    gate: Receiver<()>,
    text: Sender<String>,
}

impl Write for Reader {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // After the test has ended nobody holds the gate.
        let _ = self.gate.recv();
        let _ = self.text.send(String::from_utf8_lossy(bytes).into_owned());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn log(ring: &Ring, level: Level, lines: usize) {
    for _ in 0..lines {
        let record = Record::builder()
            .level(level)
            .payload(format_args!("line"))
            .build();
        ring.append(&record, &[]).unwrap();
    }
}

fn dropped() -> IntCounter {
    IntCounter::new("dropped", "Dropped lines.").unwrap()
}

/// Lines that were written, and lines that were said to be dropped.
fn counts(text: &str) -> (usize, usize) {
    let dropped = text.split("dropped\" lines=").skip(1);
    let dropped = dropped.filter_map(|rest| rest.split_whitespace().next()?.parse::<usize>().ok());
    (text.matches("message=line").count(), dropped.sum())
}

/// Reads until each of `lines` was written or counted.
fn settle(ring: &Ring, written: &Receiver<String>, lines: usize) -> (usize, usize) {
    let mut seen = String::new();
    loop {
        ring.flush().unwrap();
        seen.extend(written.try_iter());
        let (kept, dropped) = counts(&seen);
        if kept + dropped == lines {
            return (kept, dropped);
        }
    }
}

#[test]
fn a_reader_that_stands_still_holds_up_nothing() {
    let (open, gate) = channel();
    let (text, written) = channel();
    let bounds = LogBounds {
        per_second: u64::MAX,
        waiting: 8,
    };
    let ring = Ring::start(bounds, Box::new(Reader { gate, text }), dropped());
    log(&ring, Level::Info, 10_000);
    drop(open);
    let (kept, _) = settle(&ring, &written, 10_000);
    assert!(kept < 100, "{kept} lines waited in a ring of 8");
}

#[test]
fn lines_past_the_rate_are_counted_and_warnings_pass() {
    let (text, written) = channel();
    let (open, gate) = channel();
    drop(open);
    let bounds = LogBounds {
        per_second: 0,
        waiting: 64,
    };
    let ring = Ring::start(bounds, Box::new(Reader { gate, text }), dropped());
    log(&ring, Level::Info, 5);
    log(&ring, Level::Warn, 2);
    assert_eq!(settle(&ring, &written, 7), (2, 5));
}
