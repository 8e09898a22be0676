//! How settings are read: defaults, faults, spans.

use super::*;

#[test]
fn a_class_repeats_only_in_a_scope_that_is_known() {
    let text = include_str!("../../gateway/tests/common/settings.json");
    for (scope, repeats) in [("cell", true), ("all", true), ("zone", false)] {
        let text = text.replace("\"KeyScope\": \"cell\"", &format!("\"KeyScope\": \"{scope}\""));
        let effect = Deployment::from_json(&text).unwrap().module.classes[1].effect;
        assert_eq!(effect != Effect::AtMostOnce, repeats, "{scope}: {effect:?}");
    }
}

#[test]
fn spans_are_neither_negative_nor_endless() {
    let span = |text| parse::<Span>(text).map(|span| span.0).map_err(|fault| fault.to_string());
    assert_eq!(span("8412.25"), Ok(Duration::from_micros(8_412_250)));
    for text in ["-1.0", "1e18", "1e300"] {
        assert!(span(text).unwrap_err().contains("no span of time"), "{text}");
    }
}

#[test]
fn a_span_goes_out_as_it_came() {
    for ms in [1100.5, 620_894_735.627, 0.0, 8492.25] {
        assert_eq!(span_ms(Duration::from_secs_f64(ms / 1000.0)), ms);
    }
}

#[test]
fn a_fault_names_its_key_from_the_root() {
    #[derive(Debug, Deserialize)]
    struct Inner {
        #[serde(rename = "Key")]
        _key: u32,
    }
    let fault = parse::<Vec<Inner>>(r#"[{"Key":1},{"Key":"x"}]"#).unwrap_err();
    assert_eq!(fault.key, "[1].Key");
    assert_eq!(fault.inside("settings").key, "settings.[1].Key");
    assert_eq!(Fault::at(".", "odd").inside("settings").key, "settings");
}

/// The settings of the gateway's tests, in which all keys with a default are present.
const SETTINGS: &str = include_str!("../../gateway/tests/common/settings.json");

/// The settings with `to` in the place of `from`.
fn changed(from: &str, to: &str) -> Result<Deployment, Fault> {
    assert!(SETTINGS.contains(from), "{from}");
    Deployment::from_json(&SETTINGS.replace(from, to))
}

/// The settings without a key.
fn without(key: &str) -> Result<Deployment, Fault> {
    changed(key, "")
}

#[test]
fn each_missing_key_that_has_a_default_stands_for_the_value_that_the_docs_name() {
    let deployment = without(r#""ConnectTimeoutMs": 250.0, "#).unwrap();
    assert_eq!(deployment.connect_timeout, Duration::from_millis(250));
    let deployment = without(r#""KeepaliveMs": 30000.0, "#).unwrap();
    assert_eq!(deployment.keepalive, Duration::from_millis(30_000));
    let deployment = without(r#" "MaxOpen": 20000,"#).unwrap();
    assert_eq!(deployment.max_open, 20_000);
    let deployment = without(r#""MaxRetryAfterMs": 2000.0, "#).unwrap();
    assert_eq!(deployment.module.limits.max_retry_after, Duration::ZERO);
    let deployment = without(r#", "Name": "view""#).unwrap();
    assert_eq!(deployment.class_names, ["", "order"]);
    let deployment = without(r#""LateWorth": 0.3, "#).unwrap();
    assert_eq!(deployment.module.classes[1].late_worth, 0.0);
    let deployment = without(r#", "KeyScope": "cell""#).unwrap();
    let window = Duration::from_millis(2_000);
    let expected = Effect::Deduplicated { scope: KeyScope::Group, window };
    assert_eq!(deployment.module.classes[1].effect, expected);
    let deployment = without(r#""MustAskInMs": 10000.0, "#).unwrap();
    assert_eq!(deployment.module.rules.must_ask_in, Duration::MAX);
    assert!(!deployment.module.rules.soft_removal);
}

#[test]
fn a_key_that_is_present_outweighs_its_default() {
    let deployment = changed("250.0", "251.0").unwrap();
    assert_eq!(deployment.connect_timeout, Duration::from_millis(251));
    let deployment = changed("30000.0", "9000.0").unwrap();
    assert_eq!(deployment.keepalive, Duration::from_secs(9));
    let deployment = changed("20000,", "7,").unwrap();
    assert_eq!(deployment.max_open, 7);
    let deployment = changed(r#""MaxRetryAfterMs": 2000.0"#, r#""MaxRetryAfterMs": 800.0"#).unwrap();
    assert_eq!(deployment.module.limits.max_retry_after, Duration::from_millis(800));
    assert_eq!(changed("0.3", "0.7").unwrap().module.classes[1].late_worth, 0.7);
    let deployment = changed(r#""KeyScope": "cell""#, r#""KeyScope": "all""#).unwrap();
    let window = Duration::from_millis(2_000);
    assert_eq!(deployment.module.classes[1].effect, Effect::Deduplicated { scope: KeyScope::All, window });
    assert_eq!(changed("10000.0", "4000.0").unwrap().module.rules.must_ask_in, Duration::from_secs(4));
    let deployment = changed(r#""TipMultiple": 4.0"#, r#""TipMultiple": 4.0, "SoftRemoval": true"#).unwrap();
    assert!(deployment.module.rules.soft_removal);
}

#[test]
fn where_lists_arrive_unasked_no_time_to_ask_in_is_as_none() {
    let text = SETTINGS.replace("subscribe", "automatic").replace("10000.0", "0.0");
    assert_eq!(Deployment::from_json(&text).unwrap().module.rules.must_ask_in, Duration::MAX);
}

#[test]
fn every_other_missing_key_is_a_fault_that_names_it() {
    for (key, named) in [
        (r#""MaxAttempts": 8, "#, "Bounds.MaxAttempts"),
        (r#", "RetryAfter": true"#, "Bounds.RetryAfter"),
        (r#""AimMs": 500.0, "#, "Classes[0].AimMs"),
        (r#" "DeadlineMs": 3000.0,"#, "Classes[1].DeadlineMs"),
        (r#""Credit": 3.0, "#, "Classes[1].Credit"),
        (r#" "Effect": "idempotent","#, "Classes[0].Effect"),
        (r#", "RepeatWindowMs": 2000.0"#, "Classes[1].RepeatWindowMs"),
        (r#""Discovery": "subscribe","#, "Discovery"),
        (r#""BaseTimeMs": 0.0, "#, "Domain.BaseTimeMs"),
        (r#", "WhenBehind": "refuse""#, "Domain.WhenBehind"),
        (r#""Instances": 1,"#, "Instances"),
        (r#""ColdMs": 18000.0, "#, "Rules.ColdMs"),
        (r#""StartCapacity": 0.17,"#, "Rules.StartCapacity"),
    ] {
        let fault = without(key).expect_err(key);
        assert_eq!(fault.key, named, "{fault}");
    }
}

#[test]
fn figures_that_cannot_be_are_faults_that_name_their_key() {
    for (from, to, named) in [
        (r#""AimMs": 600.0"#, r#""AimMs": 0.0"#, "Classes[1].AimMs"),
        (r#""DeadlineMs": 1200.0"#, r#""DeadlineMs": 400.0"#, "Classes[0].DeadlineMs"),
        (r#""Credit": 3.0"#, r#""Credit": -3.0"#, "Classes[1].Credit"),
        (r#""LateWorth": 0.3"#, r#""LateWorth": -0.3"#, "Classes[1].LateWorth"),
        (r#""Instances": 1"#, r#""Instances": 0"#, "Instances"),
        (r#""MaxAttempts": 8"#, r#""MaxAttempts": 0"#, "Bounds.MaxAttempts"),
        (r#""MaxOpen": 20000"#, r#""MaxOpen": 0"#, "Bounds.MaxOpen"),
        (r#""ConnectTimeoutMs": 250.0"#, r#""ConnectTimeoutMs": 0"#, "Bounds.ConnectTimeoutMs"),
        (r#""ColdMs": 18000.0"#, r#""ColdMs": 0"#, "Rules.ColdMs"),
        (r#""FallMs": 3000.0"#, r#""FallMs": 0"#, "Rules.FallMs"),
        (r#""MustAskInMs": 10000.0"#, r#""MustAskInMs": 0"#, "Rules.MustAskInMs"),
        (r#""StartCapacity": 0.17"#, r#""StartCapacity": 1.7"#, "Rules.StartCapacity"),
        (r#""TipMultiple": 4.0"#, r#""TipMultiple": 0"#, "Rules.TipMultiple"),
        (r#""LagAllowedMs": [200.0, 0.0]"#, r#""LagAllowedMs": [200.0]"#, "Domain.LagAllowedMs"),
    ] {
        let fault = changed(from, to).expect_err(to);
        assert_eq!(fault.key, named, "{fault}");
    }
    let none = SETTINGS.split_once(r#""Classes": ["#).unwrap();
    let rest = none.1.split_once("}],").unwrap().1;
    let text = format!(r#"{}"Classes": [],{rest}"#, none.0).replace(r#"["bounded", "write"]"#, "[]");
    let fault = Deployment::from_json(&text.replace("[200.0, 0.0]", "[]")).unwrap_err();
    assert_eq!(fault.key, "Classes", "{fault}");
}
