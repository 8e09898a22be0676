//! Whether settings are consistent.

use crate::interface::{Class, Settings, SettingsError};

/// Names a field that is not in its range.
fn range(field: &'static str, good: bool) -> Result<(), SettingsError> {
    if good {
        Ok(())
    } else {
        Err(SettingsError::OutOfRange(field))
    }
}

impl Class {
    /// Checks the figures of one class.
    ///
    /// # Errors
    /// Names the first field that is out of its range.
    pub fn check(&self) -> Result<(), SettingsError> {
        range("classes.aim", !self.aim.is_zero())?;
        range("classes.deadline", self.deadline >= self.aim)?;
        range("classes.worth", self.worth >= 0.0)?;
        range("classes.late_worth", self.late_worth >= 0.0)
    }
}

impl Settings {
    /// Checks that the settings are consistent; a router is made of no others.
    ///
    /// # Errors
    /// Names the first field that is not.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::Empty("classes"));
        }
        range("gateways", self.gateways > 0)?;
        self.classes.iter().try_for_each(Class::check)?;
        range("limits.max_attempts", self.limits.max_attempts > 0)?;
        let rules = &self.rules;
        range("rules.start_capacity", rules.start_capacity > 0.0 && rules.start_capacity <= 1.0)?;
        range("rules.cold", !rules.cold.is_zero())?;
        range("rules.fall", !rules.fall.is_zero())?;
        range("rules.tip_multiple", rules.tip_multiple > 0.0)
    }
}
