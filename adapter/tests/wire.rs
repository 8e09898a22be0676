//! The adapter as a process: lines in, lines out.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const ID: &str = "5d3a91c4-366a-4d71-acd5-58917dbd845b";

fn run(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_yewroute-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("piped");
    for line in lines {
        // The adapter may have ended on an earlier line.
        if writeln!(input, "{line}").is_err() {
            break;
        }
    }
    drop(input);
    child.wait_with_output().expect("the adapter ends")
}

fn batch(events: &str) -> String {
    format!(r#"{{"AtTimeMs":1000.5,"inbox":[{events}]}}"#)
}

fn born(conf_tweak: impl Fn(String) -> String) -> String {
    let conf = r#"{"Bounds":{"MaxAttempts":4,"MaxRetryAfterMs":500.0,"MayCancel":true,"Peers":false,"Probing":true,
        "RetryAfter":false,"SecondCopies":false},"Classes":[{"AimMs":100.0,"Credit":1.0,"DeadlineMs":400.0,
        "Effect":"idempotent","KeyScope":"all","LateWorth":0.0,"Name":"a","RepeatWindowMs":1000.0,"Stream":false}],
        "Discovery":"automatic","Domain":{"AnswersStamped":true,"BaseTimeMs":0.0,"CatchUpWaitMs":0.0,
        "Freshness":["any"],"LagAllowedMs":[0.0],"ShowsRole":"start","Tokens":"carried","WhenBehind":"silent"},
        "Instances":1,"Report":{"Fields":["x0","x1"],"Source":"pull"},"Rules":{"ColdMs":1000.0,"FallMs":1000.0,
        "StartCapacity":0.2,"TipMultiple":2.0},"Zone":0,"Novel":1}"#;
    let conf = conf_tweak(conf.replace('\n', " "));
    let roster = r#"{"t":"ROSTER","Slot":0,"MembersList":[
        {"Hall":0,"Kind":0,"Set":1,"ReadyAtMs":null,"Leads":1,"CapacityHint":1,"Phase":"SERVING","Server":7},
        {"Hall":0,"Kind":0,"Set":1,"ReadyAtMs":0,"Leads":0,"CapacityHint":1,"Phase":"SERVING","Server":8}]}"#
        .replace('\n', " ");
    let list = r#"{"t":"TOPOLOGY","Gateway":3,"Slot":0,"Revision":1,"Kind":"stale_copy"}"#;
    batch(&format!(r#"{{"t":"BORN","Gateway":3,"Prng":5,"Conf":{conf}}},{roster},{list}"#))
}

fn submit() -> String {
    batch(&format!(
        r#"{{"t":"SUBMIT","Gateway":3,"OpId":"{ID}","SetNo":1,"LeftMs":240.0,"Update":false,"Resent":false,
        "SizeHintMs":null,"LastWriteMs":null,"Grade":0,"Account":0,"Key":null,"Novel":[1]}}"#
    ))
    .replace('\n', " ")
}

fn failure(lines: &[String]) -> String {
    let output = run(lines);
    assert!(!output.status.success());
    let text = String::from_utf8(output.stderr).expect("UTF-8");
    assert!(!text.contains("panicked"), "{text}");
    text
}

#[test]
fn a_read_goes_round_the_wire_and_end_of_input_is_a_clean_exit() {
    let output = run(&[batch(""), born(|c| c), submit()]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("UTF-8");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines[0], r#"{"do":[]}"#);
    assert_eq!(lines.len(), 3);
    let place = format!(r#"{{"Gateway":3,"t":"PLACE","OpId":"{ID}","CutAtMs":1100.5,"Server":8}}"#);
    assert!(lines[2].contains(&place), "{}", lines[2]);
}

#[test]
fn malformed_lines_are_named_by_number() {
    for bad in ["{", "[]", r#"{"AtTimeMs":1.0}"#, r#"{"AtTimeMs":"x","inbox":[]}"#, "\u{feff}"] {
        let text = failure(&[batch(""), bad.to_string()]);
        assert!(text.contains("line 2"), "{text}");
    }
}

#[test]
fn bad_events_are_named_by_kind_and_field() {
    let cases = [
        (r#"{"t":"NOVEL","Gateway":3}"#, "NOVEL"),
        (r#"{"Gateway":3}"#, "`t`"),
        (r#"{"t":"FIRED","Gateway":3}"#, "`Name`"),
        (r#"{"t":"FIRED","Name":1}"#, "`Gateway`"),
        (r#"{"t":"FIRED","Gateway":9,"Name":1}"#, "gateway 9"),
        (r#"{"t":"GONE","Gateway":3,"OpId":"nonsense"}"#, "GONE"),
        (r#"{"t":"PONG","Gateway":3,"Server":8,"StateCode":"FINE","SpentMs":1.0}"#, "FINE"),
        (r#"{"t":"TOPOLOGY","Gateway":3,"Slot":4,"Revision":1,"Kind":"whole"}"#, "ROSTER 4"),
    ];
    for (event, named) in cases {
        let text = failure(&[born(|c| c), batch(event)]);
        assert!(text.contains("line 2") && text.contains(named), "{text}");
    }
}

#[test]
fn inconsistent_settings_are_named() {
    let text = failure(&[born(|c| c.replace(r#"["any"]"#, r#"["any","any"]"#))]);
    assert!(text.contains("Freshness"), "{text}");
    let text = failure(&[born(|c| c.replace(r#""StartCapacity":0.2"#, r#""StartCapacity":0"#))]);
    assert!(text.contains("start_capacity"), "{text}");
}

#[test]
fn a_killed_instance_is_forgotten() {
    let text = failure(&[born(|c| c), batch(r#"{"t":"KILLED","Gateway":3}"#), submit()]);
    assert!(text.contains("line 3") && text.contains("gateway 3"), "{text}");
}
