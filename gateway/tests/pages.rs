//! The pages that operators read keep up with the code.

use std::fs;
use std::path::Path;

/// The fixed words of each log line's format: what stands before its first argument, or after it.
fn log_formats(folder: &Path, found: &mut Vec<String>) {
    for file in fs::read_dir(folder).unwrap() {
        let path = file.unwrap().path();
        if path.is_dir() {
            log_formats(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            let text = fs::read_to_string(&path).unwrap();
            found
                .extend(text.split("log!(\"").skip(1).map(|rest| rest.split('"').next().unwrap().to_owned()));
        }
    }
}

#[test]
fn every_log_line_is_on_the_on_call_page() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = fs::read_to_string(root.join("../docs/on-call.md")).unwrap();
    let mut formats = Vec::new();
    log_formats(&root.join("src"), &mut formats);
    assert!(formats.len() >= 10, "{formats:?}");
    for format in formats {
        let fixed = format.split(['{', '}']).step_by(2).map(str::trim).max_by_key(|part| part.len()).unwrap();
        assert!(fixed.len() > 4 && page.contains(fixed), "not on the page: {format}");
    }
}
