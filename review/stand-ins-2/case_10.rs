//! The store turns an entry away and takes its leased keys away: a job whose cancelling was
//! acknowledged runs after all.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::{read_answer, request_text};
use crate::store::Mood;
use crate::world::{BUDGET, HOST, PREFIX, World, job};

const JOB: &str = "5c0e7a21d94b36f8";
/// Time for which the store turns the entry away.
const TURNED_AWAY: Duration = Duration::from_secs(3);
/// Time after the submission was sent at which it arrives.
const HELD_UP: Duration = Duration::from_secs(11);
/// Longest time from an acknowledged cancelling to a start.
const CANCEL_BOUND: Duration = Duration::from_millis(3_000);
/// Time for which starts are looked for after the submission has arrived.
const WATCHED: Duration = Duration::from_secs(5);

pub fn run(trouble: bool) -> Verdict {
    let world = World::start(3, 4);
    if !world.serves() {
        world.record.line("the deployment does not serve");
        return Verdict::NotRun;
    }
    // A client sends a job; its bytes are held up on the way to the first entry.
    let sent = Instant::now();
    let headers = [("Host", HOST), ("X-Deadline-Ms", "3000")];
    let path = format!("{PREFIX}{JOB}");
    let bytes = request_text("POST", &path, &headers, &job("2000", 2));
    world.record.line(&format!(
        "client: POST {JOB} sent to edge-1, held up on its way"
    ));
    thread::sleep(BUDGET);
    // Without an answer in its time, it cancels the job at the second entry.
    let status = world.cancel(1, JOB);
    if status != 410 && !(200..300).contains(&status) {
        return Verdict::NotRun;
    }
    let cancelled = Instant::now();
    thread::sleep(Duration::from_millis(500));
    if trouble {
        let entry = world.entries[1].at_store;
        world.store.set(entry, Mood::Busy);
        let keys = world.store.revoke(entry);
        let text = format!("store: turns edge-2 away, takes {keys} leased keys away");
        world.record.line(&text);
        thread::sleep(TURNED_AWAY);
        world.store.set(entry, Mood::Well);
        world.record.line("store: serves edge-2 again");
    }
    thread::sleep(HELD_UP.saturating_sub(sent.elapsed()));
    let Ok(mut stream) = TcpStream::connect(world.entries[0].listen) else {
        return Verdict::NotRun;
    };
    let _ = stream.set_read_timeout(Some(BUDGET));
    let _ = stream.write_all(bytes.as_bytes());
    let answer = read_answer(&stream).unwrap_or_default();
    let text = format!(
        "client: held-up POST {JOB} arrives at edge-1 -> {} {}",
        answer.0, answer.1
    );
    world.record.line(&text);
    thread::sleep(WATCHED);
    let events = world.events_of(JOB);
    let late = events.iter().filter(|event| event.what == "start");
    let late: Vec<u128> = late
        .map(|event| event.at.saturating_duration_since(cancelled))
        .filter(|after| *after > CANCEL_BOUND)
        .map(|after| after.as_millis())
        .collect();
    if late.is_empty() {
        world.record.line("no task started");
        return Verdict::Held;
    }
    let text = format!("UNASKED: tasks started {late:?} ms after the cancelling was acknowledged");
    world.record.line(&text);
    Verdict::Broken
}
