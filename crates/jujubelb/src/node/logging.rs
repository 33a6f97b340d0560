//! Log lines on standard output that never hold up the process.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

use env_logger::Target;
use log::LevelFilter;

/// Lines that may wait for a slow reader; later ones are dropped and counted.
const BACKLOG: usize = 2_048;

/// Stack of the writing thread; it only copies bytes.
const STACK: usize = 64 << 10;

/// Lines that were dropped since the start.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Number of lines that were dropped because nobody read them in time.
pub(crate) fn dropped() -> u64 {
    DROPPED.load(Relaxed)
}

struct Pipe {
    lines: SyncSender<Vec<u8>>,
}

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(bytes.to_vec()).is_err() {
            DROPPED.fetch_add(1, Relaxed);
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
            if batch.len() > 32 << 10 {
                break;
            }
        }
        // Without a reader there is nobody left to tell.
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            DROPPED.fetch_add(1, Relaxed);
        }
    }
}

/// Starts the log of the process. `RUST_LOG` chooses levels.
pub fn start_log() -> io::Result<()> {
    let (lines, pending) = sync_channel(BACKLOG);
    thread::Builder::new()
        .name("log".to_owned())
        .stack_size(STACK)
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
        .target(Target::Pipe(Box::new(Pipe { lines })))
        .init();
    Ok(())
}

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
