//! Scheduler process of a host: runs until a stop signal arrives.

use std::process::ExitCode;

use jujubelb::peer::Role;
use jujubelb::process::{run, stop_signal};
use jujubelb::scheduler::SchedulerHandle;

fn main() -> ExitCode {
    run(Role::Scheduler, |settings| {
        let scheduler = SchedulerHandle::start(settings)?;
        stop_signal()?;
        Ok(scheduler.stop())
    })
}
