//! The gateway of yewroute.

mod clock;
mod config;
mod core;
mod log;
mod net;
mod proto;
mod timers;

use std::process::ExitCode;

use config::Config;

/// The configuration is at fault: starting again as it is will not help.
const EXIT_CONFIG: u8 = 78;

fn main() -> ExitCode {
    let config = match Config::read() {
        Ok(config) => config,
        Err(error) => {
            log!("configuration: {error}");
            return ExitCode::from(EXIT_CONFIG);
        }
    };
    match net::run(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log!("stopped: {error}");
            ExitCode::FAILURE
        }
    }
}
