//! The signals that ask a process for a planned stop.

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Waits for SIGTERM or SIGINT.
pub fn stop_signal() -> std::io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    if let Some(signal) = signals.forever().next() {
        log::info!(signal = signal; "a planned stop begins");
    }
    Ok(())
}
