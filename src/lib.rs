//! The decisions of a read/write splitter for database clusters, without any I/O.
//!
//! A gateway that embeds this library owns the sockets and the clock. It makes a [`Router`] from
//! [`interface::Settings`], tells it of each thing that happens, with the time, and carries out the actions it
//! gets back. [`interface`] says who calls what, in which order, and what is promised.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use yewroute::interface::*;
//! use yewroute::Router;
//!
//! let class = |freshness, effect| Class {
//!     aim: Duration::from_millis(300),
//!     deadline: Duration::from_secs(1),
//!     worth: 1.0,
//!     late_worth: 0.0,
//!     effect,
//!     freshness,
//! };
//! let keyed = Effect::Deduplicated { scope: KeyScope::Group, window: Duration::from_secs(2) };
//! let settings = Settings {
//!     gateways: 1,
//!     classes: vec![
//!         class(Freshness::Any, Effect::Idempotent),
//!         class(Freshness::Write, keyed),
//!     ],
//!     when_behind: WhenBehind::Refuses,
//!     list_role: ListRole::Late,
//!     tokens: Tokens::Carried,
//!     discovery: Discovery::Automatic,
//!     limits: Limits {
//!         max_attempts: 4,
//!         max_retry_after: Duration::ZERO,
//!         probes: true,
//!         retry_after: false,
//!     },
//!     rules: Rules {
//!         start_capacity: 0.2,
//!         cold: Duration::from_secs(10),
//!         tip_multiple: 2.0,
//!         fall: Duration::from_secs(1),
//!         must_ask_in: Duration::from_secs(10),
//!         soft_removal: false,
//!     },
//! };
//! let mut router = Router::new(settings, 42)?;
//! let mut actions = Vec::new();
//!
//! let entry = |server, primary| Entry {
//!     server: ServerId(server),
//!     group: GroupId(1),
//!     started: None,
//!     primary,
//!     phase: Phase::Serving,
//!     stand: Stand::default(),
//! };
//! let entries = vec![entry(10, true), entry(11, false)];
//! let now = Instant::now();
//! router.handle(now, Event::List { kind: ListKind::Stale, entries }, &mut actions);
//!
//! let request = |id, class| Request {
//!     id: RequestId(id),
//!     class,
//!     group: GroupId(1),
//!     left: Duration::from_secs(1),
//!     waited: Duration::ZERO,
//!     resent: false,
//!     session: None,
//!     last_write_age: None,
//!     sees: None,
//!     near: None,
//! };
//! router.handle(now + Duration::from_millis(1), Event::Request(request(1, 0)), &mut actions);
//! router.handle(now + Duration::from_millis(2), Event::Request(request(2, 1)), &mut actions);
//! for action in &actions {
//!     println!("{action:?}");
//! }
//! let sent = |id, to| {
//!     actions.iter().any(|action| {
//!         matches!(action, Action::Send { request, server, .. }
//!             if *request == RequestId(id) && *server == ServerId(to))
//!     })
//! };
//! assert!(sent(1, 11), "the read goes to the replica");
//! assert!(sent(2, 10), "the write goes to the primary");
//! # Ok::<(), SettingsError>(())
//! ```

mod fading;
pub mod interface;
mod measured;
mod pending;
mod policy;
mod validate;

pub use policy::Router;
