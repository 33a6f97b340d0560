//! Entry process of a host: runs until a stop signal arrives.

use std::process::ExitCode;

use jujubelb::entry::EntryHandle;
use jujubelb::peer::Role;
use jujubelb::process::{StopSignal, run};

fn main() -> ExitCode {
    run(Role::Entry, |settings| {
        let stop = StopSignal::install()?;
        let entry = EntryHandle::start(settings)?;
        stop.wait();
        Ok(entry.stop())
    })
}
