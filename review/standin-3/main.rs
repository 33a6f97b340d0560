//! Stand-ins of the platform's store, the runners and the clients for the scripts of this
//! review. `standin-3 CASE FOLDER` plays one case, with the nodes as processes of their own, and
//! leaves `record.txt` in the folder. It exits with 1 if the rule was broken, 0 if it held, and
//! 2 if the case could not run. With `TROUBLE=0` nothing is disturbed.

#![allow(dead_code, reason = "not every case uses all of the stand-ins")]

mod crash;
mod http;
mod json;
mod late;
mod nodes;
mod setup;
mod world;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let word = |i: usize| args.get(i).map_or("", String::as_str);
    let folder = std::path::PathBuf::from(word(2));
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let code = match word(1) {
        "late" => late::play(&folder, trouble, false),
        "late-leader" => late::play(&folder, trouble, true),
        "crash" => crash::play(&folder, trouble),
        other => {
            eprintln!("unknown case {other:?}");
            2
        }
    };
    std::process::exit(code);
}
