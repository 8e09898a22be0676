//! The pages that operators read keep up with the code.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};

/// The message of each event that the gateway logs: the last text in its macro.
fn log_messages(folder: &Path, found: &mut Vec<String>) {
    for file in fs::read_dir(folder).unwrap() {
        let path = file.unwrap().path();
        if path.is_dir() {
            log_messages(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            let text = fs::read_to_string(&path).unwrap();
            for begin in ["info!(", "warn!(", "error!("] {
                for event in text.split(begin).skip(1) {
                    let Some((event, _)) = event.split_once("\")") else { continue };
                    found.push(event.rsplit('"').next().unwrap().to_owned());
                }
            }
        }
    }
}

#[test]
fn every_log_line_is_on_the_on_call_page() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = fs::read_to_string(root.join("../docs/on-call.md")).unwrap();
    let mut messages = Vec::new();
    log_messages(&root.join("src"), &mut messages);
    assert!(messages.len() >= 18, "{messages:?}");
    for message in messages {
        assert!(message.len() > 4 && page.contains(&format!("`{message}`")), "not on the page: {message}");
    }
}

// Guards against: a sample configuration with which the program does not start.
#[test]
fn the_gateway_starts_with_the_configuration_of_the_readme() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = fs::read_to_string(root.join("../README.md")).unwrap();
    let lines = page.lines().skip_while(|line| !line.starts_with("    {\"name\""));
    let sample: Vec<&str> = lines.take_while(|line| !line.is_empty()).collect();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    fs::write(&file, sample.join("\n")).unwrap();
    let mut gateway = Command::new(env!("CARGO_BIN_EXE_yewroute"))
        .env_clear()
        .env("EDGE_CONFIG", file)
        // The ports of the sample may be somebody else's.
        .env("EDGE_LISTEN", "127.0.0.1:0")
        .env("EDGE_DISCOVERY", "127.0.0.1:1")
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let log = BufReader::new(gateway.stderr.take().unwrap()).lines().map_while(Result::ok);
    let said: Vec<String> = log.take_while(|line| !line.contains("msg=listening")).collect();
    let serves = gateway.try_wait().unwrap().is_none();
    let _ = gateway.kill();
    gateway.wait().unwrap();
    assert!(serves, "{said:?}");
}
