//! The signals that request a planned stop.

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Blocks until the process receives SIGTERM or SIGINT.
pub fn stop_signal() -> std::io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    if let Some(signal) = signals.forever().next() {
        log::info!(signal = signal; "received a stop signal; a planned stop begins");
    }
    Ok(())
}
