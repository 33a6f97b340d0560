//! `jujubectl confirm-dead`: confirms that a worker's host is dead.

use serde::Serialize;

use crate::ctl::CtlError;
use crate::ctl::cli::ConfirmDead;
use crate::ctl::client::Client;
use crate::ctl::export::{Render, Style, export};
use crate::ctl::options::{self, Options};
use crate::ctl::terminal::Terminal;
use crate::operator::api::{self, DoneBody};

#[derive(Serialize)]
#[serde(transparent)]
struct Confirmation(DoneBody);

impl Render for Confirmation {
    fn text(&self, _: &Style) -> String {
        format!("{} ({})", self.0.message, self.0.number)
    }
}

pub(super) fn run(
    args: &ConfirmDead,
    options: &Options,
    terminal: &mut Terminal,
) -> Result<(), CtlError> {
    let worker = &args.worker;
    if !args.yes {
        let message = format!(
            "tasks of {worker} will run elsewhere at once, and twice if the host is alive; \
             make sure that it is powered off or cut off, then add --yes"
        );
        return Err(CtlError::Usage(message));
    }
    let request = api::ConfirmDead {
        author: options::author(args.author.as_deref()),
    };
    let client = Client::new(options)?;
    let remedy = "the confirmation may have taken effect; repeat the command";
    let segments = [worker.as_str(), api::CONFIRM_DEAD];
    let answer = client.post(api::WORKERS, &segments, &request, remedy)?;
    export(options.format, &Confirmation(answer), terminal)
}
