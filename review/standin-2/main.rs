//! Stand-ins of the platform, its runners, operator and clients, and the cases that play them
//! against processes of the project. Needs the standard library only.

mod cases;
mod http;
mod json;
mod record;
mod runner;
mod store;
mod world;

use std::path::PathBuf;
use std::process::exit;
use std::time::{SystemTime, UNIX_EPOCH};

pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, dir] = args.as_slice() else {
        eprintln!("usage: review-2 CASE DIR");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    match cases::play(case, &PathBuf::from(dir), trouble) {
        Ok(breaks) => {
            for line in breaks.iter().take(20) {
                println!("{line}");
            }
            println!(
                "{} broken: {}",
                breaks.len(),
                record::rules(&breaks).join(" ")
            );
            exit(i32::from(!breaks.is_empty()));
        }
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            exit(2);
        }
    }
}
