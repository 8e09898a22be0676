//! The pages that operators read keep up with the code.

use std::fs;
use std::path::Path;

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
