//! The settings of a deployment: one JSON object, read, checked and given defaults in one place.
//!
//! The simulator hands this object to each instance and a real gateway finds it in its configuration, with the
//! same names and units. Both programs around the module take it from here.
//!
//! A key that is not in this table has no default: if it is missing, the settings are faulty. Keys that are not
//! known are passed over.
//!
//! | missing key | what counts |
//! | --- | --- |
//! | `Bounds.ConnectTimeoutMs` | 250 |
//! | `Bounds.KeepaliveMs` | 30000 |
//! | `Bounds.MaxOpen` | 20000 |
//! | `Bounds.MaxRetryAfterMs` | 0: clients that are told when to come back are told "at once" |
//! | `Classes[].KeyScope` | `cell`: the group of the request drops repeats; a scope other than `cell` and `all` makes the class one that is sent once |
//! | `Classes[].LateWorth` | 0: nothing is earned after the aim |
//! | `Classes[].Name` | an empty name |
//! | `Classes[].RepeatWindowMs` | none; a fault in a class whose effect is `deduplicated` |
//! | `Rules.MustAskInMs` | never: nothing counts as told for want of asking; 0 stands for the same where lists arrive unasked, and is a fault where they are asked for |
//! | `Rules.SoftRemoval` | false: a db host that is gone gets nothing, whether or not it was seen to drain |

use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use thiserror::Error;
use yewroute::interface::{
    Class, Discovery, Effect, Freshness, KeyScope, Limits, ListRole, Rules, Settings, SettingsError, Tokens,
    WhenBehind,
};

/// What is wrong, and with which key.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("{key}: {problem}")]
pub struct Fault {
    /// The key, as a path from the object's root.
    pub key: String,
    /// What is wrong with it.
    pub problem: String,
}

impl Fault {
    /// A fault at a key.
    pub fn at(key: impl Into<String>, problem: impl Into<String>) -> Self {
        Self { key: key.into(), problem: problem.into() }
    }

    /// The same fault in an object that is itself the value of `outer`.
    #[must_use]
    pub fn inside(self, outer: &str) -> Self {
        let key = if self.key == "." { outer.to_owned() } else { format!("{outer}.{}", self.key) };
        Self { key, ..self }
    }
}

/// What serde says of a key that is missing, up to the key's name.
const MISSING_FIELD: &str = "missing field `";

/// The fault that serde's message tells of, at a path.
fn fault_at(path: &str, message: &str) -> Fault {
    // A missing key is reported at the object that should hold it.
    let missing = message.strip_prefix(MISSING_FIELD).and_then(|rest| rest.split('`').next());
    match missing {
        Some(key) if path == "." => Fault::at(key, message),
        Some(key) => Fault::at(format!("{path}.{key}"), message),
        None => Fault::at(path, message),
    }
}

/// Parses JSON so that a fault names its key.
///
/// # Errors
/// Names the key that is missing or has an unfitting value.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Fault> {
    let mut json = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut json)
        .map_err(|e| fault_at(&e.path().to_string(), &e.inner().to_string()))?;
    json.end().map_err(|e| Fault::at(".", e.to_string()))?;
    Ok(value)
}

/// All that the settings say, for the module and for what surrounds it.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// The module's share.
    pub module: Settings,
    /// The names of the classes, in the module's order.
    pub class_names: Vec<String>,
    /// Where the simulator counts positions from, as a span from its clock's zero.
    pub base: Duration,
    /// A connection that is not up after this counts as failed.
    pub connect_timeout: Duration,
    /// A db host closes a connection that has been idle for so long.
    pub keepalive: Duration,
    /// Requests held at once.
    pub max_open: usize,
    /// A session's key matters to these classes, by position.
    pub sessions: Vec<bool>,
}

impl Deployment {
    /// Reads the settings object.
    ///
    /// # Errors
    /// Names the key that is missing or has an unfitting value.
    pub fn from_json(text: &str) -> Result<Self, Fault> {
        parse::<Conf>(text)?.check()
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Conf {
    bounds: Bounds,
    classes: Vec<WireClass>,
    discovery: WireDiscovery,
    domain: Domain,
    instances: u32,
    rules: WireRules,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Bounds {
    #[serde(default = "connect_timeout")]
    connect_timeout_ms: Span,
    #[serde(default = "keepalive")]
    keepalive_ms: Span,
    max_attempts: u32,
    #[serde(default = "max_open")]
    max_open: usize,
    #[serde(default)]
    max_retry_after_ms: Span,
    probing: bool,
    retry_after: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireClass {
    aim_ms: Span,
    credit: f64,
    deadline_ms: Span,
    effect: WireEffect,
    #[serde(default)]
    key_scope: Option<String>,
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    name: String,
    #[serde(default)]
    repeat_window_ms: Option<Span>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireEffect {
    Idempotent,
    Deduplicated,
    AtMostOnce,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireDiscovery {
    Automatic,
    Subscribe,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Domain {
    base_time_ms: Span,
    freshness: Vec<WireFreshness>,
    lag_allowed_ms: Vec<Span>,
    shows_role: WireListRole,
    tokens: WireTokens,
    when_behind: WireBehind,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireFreshness {
    Write,
    Fresh,
    Session,
    Bounded,
    Any,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireListRole {
    Late,
    Start,
    Silent,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireTokens {
    Carried,
    Remembered,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireBehind {
    Silent,
    Refuse,
    Wait,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireRules {
    cold_ms: Span,
    fall_ms: Span,
    #[serde(default)]
    must_ask_in_ms: Option<Span>,
    start_capacity: f64,
    tip_multiple: f64,
    #[serde(default)]
    soft_removal: Option<bool>,
}

/// A span in milliseconds, as the wire and the settings give it.
pub fn span_ms(span: Duration) -> f64 {
    // By whole nanoseconds: what came as a decimal fraction goes out as the same.
    span.as_nanos() as f64 / 1e6
}

/// A span, given in milliseconds; none by default.
#[derive(Clone, Copy, Default)]
pub struct Span(pub Duration);

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        /// Far more than any deployment needs, and far from where adding to an `Instant` overflows.
        const LONGEST: Duration = Duration::from_secs(10 * 365 * 86_400);
        let ms = f64::deserialize(deserializer)?;
        let span = Duration::try_from_secs_f64(ms / 1000.0).ok().filter(|span| *span <= LONGEST);
        span.map(Self).ok_or_else(|| serde::de::Error::custom(format!("{ms} ms is no span of time")))
    }
}

fn connect_timeout() -> Span {
    Span(Duration::from_millis(250))
}

fn keepalive() -> Span {
    Span(Duration::from_secs(30))
}

fn max_open() -> usize {
    20_000
}

/// A span that has to be over 0.
fn positive(key: &str, span: Duration) -> Result<Duration, Fault> {
    if span.is_zero() {
        Err(Fault::at(key, "must be over 0"))
    } else {
        Ok(span)
    }
}

/// The key, as the settings name it, of what the module finds inconsistent; `index` is that of the class.
fn inconsistent(error: &SettingsError, index: usize) -> Fault {
    let (SettingsError::Empty(field) | SettingsError::OutOfRange(field)) = error;
    let key = match *field {
        "classes" => "Classes".to_owned(),
        "classes.aim" => format!("Classes[{index}].AimMs"),
        "classes.deadline" => format!("Classes[{index}].DeadlineMs"),
        "classes.worth" => format!("Classes[{index}].Credit"),
        "classes.late_worth" => format!("Classes[{index}].LateWorth"),
        "gateways" => "Instances".to_owned(),
        "limits.max_attempts" => "Bounds.MaxAttempts".to_owned(),
        "rules.start_capacity" => "Rules.StartCapacity".to_owned(),
        "rules.cold" => "Rules.ColdMs".to_owned(),
        "rules.fall" => "Rules.FallMs".to_owned(),
        "rules.tip_multiple" => "Rules.TipMultiple".to_owned(),
        other => other.to_owned(),
    };
    Fault::at(key, error.to_string())
}

impl Conf {
    fn check(self) -> Result<Deployment, Fault> {
        let conf = self;
        let domain = conf.domain;
        let count = conf.classes.len();
        for (name, len) in
            [("Freshness", domain.freshness.len()), ("LagAllowedMs", domain.lag_allowed_ms.len())]
        {
            if len != count {
                let problem = format!("has {len} entries for {count} classes");
                return Err(Fault::at(format!("Domain.{name}"), problem));
            }
        }
        let mut classes = Vec::with_capacity(count);
        let mut class_names = Vec::with_capacity(count);
        for (index, ((class, freshness), bound)) in
            conf.classes.into_iter().zip(domain.freshness).zip(domain.lag_allowed_ms).enumerate()
        {
            let effect = match class.effect {
                WireEffect::Idempotent => Effect::Idempotent,
                WireEffect::AtMostOnce => Effect::AtMostOnce,
                // Guards against: a repeat outside a scope that is not known here, such as a zone.
                WireEffect::Deduplicated
                    if !matches!(class.key_scope.as_deref(), None | Some("all" | "cell")) =>
                {
                    Effect::AtMostOnce
                }
                WireEffect::Deduplicated => Effect::Deduplicated {
                    scope: if class.key_scope.as_deref() == Some("all") {
                        KeyScope::All
                    } else {
                        KeyScope::Group
                    },
                    window: class.repeat_window_ms.map(|span| span.0).ok_or_else(|| {
                        Fault::at(
                            format!("Classes[{index}].RepeatWindowMs"),
                            "missing for a deduplicated class",
                        )
                    })?,
                },
            };
            let freshness = match freshness {
                WireFreshness::Write => Freshness::Write,
                WireFreshness::Fresh => Freshness::Fresh,
                WireFreshness::Session => Freshness::Session,
                WireFreshness::Bounded => Freshness::Bounded(bound.0),
                WireFreshness::Any => Freshness::Any,
            };
            let checked = Class {
                aim: class.aim_ms.0,
                deadline: class.deadline_ms.0,
                worth: class.credit,
                late_worth: class.late_worth,
                effect,
                freshness,
            };
            checked.check().map_err(|error| inconsistent(&error, index))?;
            class_names.push(class.name);
            classes.push(checked);
        }
        let connect_timeout = positive("Bounds.ConnectTimeoutMs", conf.bounds.connect_timeout_ms.0)?;
        let keepalive = positive("Bounds.KeepaliveMs", conf.bounds.keepalive_ms.0)?;
        if conf.bounds.max_open == 0 {
            return Err(Fault::at("Bounds.MaxOpen", "must be over 0"));
        }
        // Guards against: asking without a pause while discovery is out of reach.
        let must_ask_in = match (conf.rules.must_ask_in_ms, conf.discovery) {
            (None, _) | (Some(Span(Duration::ZERO)), WireDiscovery::Automatic) => Duration::MAX,
            (Some(span), _) => positive("Rules.MustAskInMs", span.0)?,
        };
        let sessions = classes
            .iter()
            .map(|c: &Class| matches!(c.freshness, Freshness::Session | Freshness::Write))
            .collect();
        let module = Settings {
            gateways: conf.instances,
            classes,
            when_behind: match domain.when_behind {
                WireBehind::Silent => WhenBehind::Silent,
                WireBehind::Refuse | WireBehind::Wait => WhenBehind::Refuses,
            },
            list_role: match domain.shows_role {
                WireListRole::Late => ListRole::Late,
                WireListRole::Start => ListRole::Start,
                WireListRole::Silent => ListRole::Silent,
            },
            tokens: match domain.tokens {
                WireTokens::Carried => Tokens::Carried,
                WireTokens::Remembered => Tokens::Remembered,
            },
            discovery: match conf.discovery {
                WireDiscovery::Automatic => Discovery::Automatic,
                WireDiscovery::Subscribe => Discovery::Subscribe,
            },
            limits: Limits {
                max_attempts: conf.bounds.max_attempts,
                max_retry_after: conf.bounds.max_retry_after_ms.0,
                probes: conf.bounds.probing,
                retry_after: conf.bounds.retry_after,
            },
            rules: Rules {
                start_capacity: conf.rules.start_capacity,
                cold: conf.rules.cold_ms.0,
                tip_multiple: conf.rules.tip_multiple,
                fall: conf.rules.fall_ms.0,
                must_ask_in,
                soft_removal: conf.rules.soft_removal.unwrap_or(false),
            },
        };
        module.check().map_err(|error| inconsistent(&error, 0))?;
        Ok(Deployment {
            module,
            class_names,
            base: domain.base_time_ms.0,
            connect_timeout,
            keepalive,
            max_open: conf.bounds.max_open,
            sessions,
        })
    }
}

#[cfg(test)]
mod tests;
