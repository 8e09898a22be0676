//! Drives yewroute routers over a line protocol: one JSON batch of events in, one JSON reply out.
//!
//! Translation only: every decision is the library's.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use wire::{Host, Slots};

fn main() -> ExitCode {
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("yewroute-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), String> {
    let mut hosts: BTreeMap<u64, Host> = BTreeMap::new();
    let mut slots = Slots::new();
    let mut line = Vec::new();
    for number in 1.. {
        line.clear();
        if input.read_until(b'\n', &mut line).map_err(|e| format!("cannot read: {e}"))? == 0 {
            break;
        }
        let reply = wire::batch(&line, &mut hosts, &mut slots).map_err(|e| format!("line {number}: {e}"))?;
        let written = output.write_all(&reply).and_then(|()| output.flush());
        written.map_err(|e| format!("cannot write: {e}"))?;
    }
    Ok(())
}
