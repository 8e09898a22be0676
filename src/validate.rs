//! Whether settings are consistent.

use crate::interface::{Settings, SettingsError};

/// Names the first field that is not.
pub fn check(settings: &Settings) -> Result<(), SettingsError> {
    let range = |field, good: bool| if good { Ok(()) } else { Err(SettingsError::OutOfRange(field)) };
    if settings.classes.is_empty() {
        return Err(SettingsError::Empty("classes"));
    }
    range("gateways", settings.gateways > 0)?;
    for class in &settings.classes {
        range("classes.aim", !class.aim.is_zero())?;
        range("classes.deadline", class.deadline >= class.aim)?;
        range("classes.worth", class.worth >= 0.0)?;
    }
    range("limits.max_attempts", settings.limits.max_attempts > 0)?;
    let rules = &settings.rules;
    range("rules.start_capacity", rules.start_capacity > 0.0 && rules.start_capacity <= 1.0)?;
    range("rules.cold", !rules.cold.is_zero())?;
    range("rules.fall", !rules.fall.is_zero())?;
    range("rules.tip_multiple", rules.tip_multiple > 0.0)
}
