//! When each recorded request is sent again, and what came of it. No I/O and no clock.
//!
//! [`wheel::Wheel`] holds what is due, [`plan::Plan`] decides what is sent when, and [`message`] makes a recorded
//! request's bytes anew.

pub mod message;
pub mod plan;
pub mod wheel;

pub use message::Retell;
pub use plan::{Action, Plan, Report};
pub use wheel::Wheel;
