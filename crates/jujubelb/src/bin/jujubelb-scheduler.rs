//! Scheduler process of a host: runs until a stop signal arrives.

use std::process::ExitCode;

use jujubelb::peer::Role;
use jujubelb::process::{StopSignal, run};
use jujubelb::scheduler::SchedulerHandle;

fn main() -> ExitCode {
    run(Role::Scheduler, |settings| {
        let stop = StopSignal::install()?;
        let scheduler = SchedulerHandle::start(settings)?;
        stop.wait();
        Ok(scheduler.stop())
    })
}
