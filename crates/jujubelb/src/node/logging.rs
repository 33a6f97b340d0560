//! Logging to standard output that never blocks the process: lines are queued, and
//! dropped when the reader is too slow.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

use env_logger::Target;
use log::LevelFilter;

/// Lines that may be queued for a slow reader; further ones are dropped and counted.
const MAX_QUEUED_LINES: usize = 2_048;

/// Stack of the writer thread, which only copies bytes.
const STACK_BYTES: usize = 64 << 10;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Number of lines dropped since the start of the process.
pub(crate) fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Relaxed)
}

/// Queues each formatted line for the writer thread, without blocking.
struct LineQueue {
    lines: SyncSender<Vec<u8>>,
}

impl Write for LineQueue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(bytes.to_vec()).is_err() {
            DROPPED_LINES.fetch_add(1, Relaxed);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(line) = lines.recv() {
        let mut batch = line;
        while let Ok(next) = lines.try_recv() {
            batch.extend_from_slice(&next);
            // Bounds the memory of one write.
            if batch.len() > 32 << 10 {
                break;
            }
        }
        // If standard output fails, there is nowhere left to report it.
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            DROPPED_LINES.fetch_add(1, Relaxed);
        }
    }
}

/// Starts the logger of the process. `RUST_LOG` sets the levels; the default is `info`.
pub fn start_log() -> io::Result<()> {
    let (lines, pending) = sync_channel(MAX_QUEUED_LINES);
    thread::Builder::new()
        .name("log".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || write_lines(&pending))?;
    env_logger::Builder::new()
        .filter_level(LevelFilter::Info)
        .filter_module("rocket", LevelFilter::Off)
        .filter_module("hyper", LevelFilter::Off)
        .parse_default_env()
        .format(|out, record| {
            let time = out.timestamp_millis();
            write!(out, "{time} {} {}", record.level(), record.args())?;
            let mut fields = Fields(out);
            record
                .key_values()
                .visit(&mut fields)
                .map_err(io::Error::other)?;
            writeln!(out)
        })
        .target(Target::Pipe(Box::new(LineQueue { lines })))
        .init();
    Ok(())
}

/// Writes the key-value pairs of a log record as ` key=value`.
struct Fields<'a, W: Write>(&'a mut W);

impl<'kvs, W: Write> log::kv::VisitSource<'kvs> for Fields<'_, W> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        write!(self.0, " {key}={value}").map_err(log::kv::Error::from)
    }
}
