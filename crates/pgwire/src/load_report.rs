//! What a db host says of its load and position.

use crate::backend::{set, Role};

/// A load report, such as `x0=1767225600.5,x1=1`. One that cannot be read whole teaches nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// `x0`: a position, as Unix time in seconds.
    pub x0: Option<f64>,
    /// `x1`: its role.
    pub x1: Option<Role>,
}

/// Reads a load report; none if any part of it cannot be read.
pub fn load(report: &str) -> Option<Load> {
    let mut load = Load::default();
    for field in report.split(',') {
        let (name, value) = field.split_once('=')?;
        let value: f64 = value.trim().parse().ok().filter(|value: &f64| value.is_finite())?;
        match name.trim() {
            "" => return None,
            "x0" => set(&mut load.x0, Some(value)).then_some(())?,
            "x1" if value == 0.0 => set(&mut load.x1, Some(Role::Replica)).then_some(())?,
            "x1" if value == 1.0 => set(&mut load.x1, Some(Role::Primary)).then_some(())?,
            "x1" => return None,
            _ => {}
        }
    }
    Some(load)
}
