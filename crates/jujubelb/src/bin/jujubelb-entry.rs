//! Entry process of a host: runs until a stop signal arrives.

use std::process::ExitCode;

use jujubelb::entry::EntryHandle;
use jujubelb::peer::Role;
use jujubelb::process::{run, stop_signal};

fn main() -> ExitCode {
    run(Role::Entry, |settings| {
        let entry = EntryHandle::start(settings)?;
        stop_signal()?;
        Ok(entry.stop())
    })
}
