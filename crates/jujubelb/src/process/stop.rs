//! The signals that request a planned stop.

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Takes the signals that request a planned stop. Must exist before the process says that it has
/// started: until then SIGTERM ends it at once.
#[derive(Debug)]
pub struct StopSignal(Signals);

impl StopSignal {
    /// Keeps SIGTERM and SIGINT from ending the process. Fails if the handlers can't be installed.
    pub fn install() -> std::io::Result<Self> {
        Signals::new([SIGTERM, SIGINT]).map(Self)
    }

    /// Blocks until one of the signals has arrived since the installation.
    pub fn wait(mut self) {
        if let Some(signal) = self.0.forever().next() {
            log::info!(signal = signal; "received a stop signal; a planned stop begins");
        }
    }
}
