//! Checks of the settings, and notes on settings that have no effect in this process.

use damsonbeam_settings::{OperationSettings, PlanSettings, SettingsFile};

use super::ConfigError;

/// Returns an error for the first setting that is missing, inconsistent or out of range.
pub(super) fn check(settings_file: &SettingsFile) -> Result<(), ConfigError> {
    check_durations(settings_file)?;
    if settings_file.ceilings.try_limit == 0 {
        let key = "settings.ceilings.try-limit";
        return Err(ConfigError::invalid(key, "missing or 0"));
    }
    let operations: Vec<_> = settings_file
        .request_classes
        .iter()
        .map(|operation| &operation.name)
        .collect();
    check_unique("request-classes", &operations)?;
    let plans: Vec<_> = settings_file.plans.iter().map(|plan| &plan.name).collect();
    check_unique("plans", &plans)?;
    if settings_file.self_index >= settings_file.siblings {
        let problem = format!(
            "{} is not below siblings = {}",
            settings_file.self_index, settings_file.siblings
        );
        return Err(ConfigError::invalid("settings.self-index", problem));
    }
    let numbered = settings_file.request_classes.iter().enumerate();
    for (number, operation) in numbered.clone() {
        check_operation(number, operation)?;
    }
    for (number, operation) in numbered {
        let values = [
            ("importance", operation.importance),
            ("late-worth", operation.late_worth),
        ];
        check_non_negative(&format!("settings.request-classes[{number}]"), &values)?;
    }
    let values = [
        ("most-units", settings_file.domain.most_units),
        ("call-price", settings_file.domain.call_price),
    ];
    check_non_negative("settings.domain", &values)?;
    for (number, plan) in settings_file.plans.iter().enumerate() {
        check_plan(number, plan)?;
    }
    Ok(())
}

fn check_durations(settings_file: &SettingsFile) -> Result<(), ConfigError> {
    // Without a counter its time-out may be 0.
    let without_counter = u64::from(!settings_file.domain.has_counter);
    let counter_timeout_ns = settings_file.domain.counter_timeout_ns.max(without_counter);
    let durations = [
        ("tick-ns", settings_file.tick_ns),
        (
            "ceilings.connect-timeout-ns",
            settings_file.ceilings.connect_timeout_ns,
        ),
        ("ceilings.conn-idle-ns", settings_file.ceilings.conn_idle_ns),
        ("domain.counter-timeout-ns", counter_timeout_ns),
    ];
    match durations.iter().find(|(_, duration)| *duration == 0) {
        Some((key, _)) => Err(ConfigError::invalid(
            format!("settings.{key}"),
            "missing or 0",
        )),
        None => Ok(()),
    }
}

fn check_unique(key: &str, names: &[&String]) -> Result<(), ConfigError> {
    for (number, name) in names.iter().enumerate() {
        if names[..number].contains(name) {
            let key = format!("settings.{key}[{number}].name");
            let problem = format!("the name `{name}` is used twice");
            return Err(ConfigError::invalid(key, problem));
        }
    }
    Ok(())
}

fn check_operation(number: usize, operation: &OperationSettings) -> Result<(), ConfigError> {
    let has_name = !operation.name.is_empty() && !operation.name.contains('/');
    if has_name && operation.deadline_ns > 0 && operation.slo_ns > 0 {
        return Ok(());
    }
    let key = format!("settings.request-classes[{number}]");
    let problem = "needs a name without `/`, deadline-ns and slo-ns";
    Err(ConfigError::invalid(key, problem))
}

fn check_plan(number: usize, plan: &PlanSettings) -> Result<(), ConfigError> {
    let path = format!("settings.plans[{number}]");
    if plan.name.is_empty() {
        return Err(ConfigError::invalid(format!("{path}.name"), "missing"));
    }
    let values = [
        ("quota-rate", plan.quota_rate),
        ("store-size", plan.store_size),
        ("max-out", plan.max_out),
        ("cap-rate", plan.cap_rate),
        ("never-over-depth", plan.never_over_depth),
        ("hard-slack", plan.hard_slack),
        ("value-factor", plan.value_factor),
        ("excess-worth", plan.excess_worth),
        ("overrun-cost", plan.overrun_cost),
    ];
    check_non_negative(&path, &values)?;
    // A rate and its burst size make up one limit: a rate of 0 would limit nothing, and a burst size of 0 would admit
    // nothing.
    if (plan.quota_rate > 0.0) != (plan.store_size > 0.0) {
        let problem = "must be set if and only if quota-rate is";
        return Err(ConfigError::invalid(format!("{path}.store-size"), problem));
    }
    if (plan.cap_rate > 0.0) != (plan.never_over_depth > 0.0) {
        let problem = "must be set if and only if cap-rate is";
        let key = format!("{path}.never-over-depth");
        return Err(ConfigError::invalid(key, problem));
    }
    Ok(())
}

fn check_non_negative(path: &str, values: &[(&str, f64)]) -> Result<(), ConfigError> {
    let is_invalid = |(_, value): &&(&str, f64)| !value.is_finite() || *value < 0.0;
    match values.iter().find(is_invalid) {
        Some((key, value)) => {
            let problem = format!("{value} is not a finite number of at least 0");
            Err(ConfigError::invalid(format!("{path}.{key}"), problem))
        }
        None => Ok(()),
    }
}

/// Returns a note for each setting that has no effect because the clients' and backends' protocol carries no data for
/// it. The decision module works without that data.
pub(super) fn notes(settings_file: &SettingsFile) -> Vec<String> {
    let unsupported = [
        (
            settings_file.domain.settles,
            "domain.settles: responses don't report the units used; the estimates are kept",
        ),
        (
            settings_file.domain.meter_ns > 0,
            "domain.meter-ns: responses don't report usage; only the counter does",
        ),
        (
            settings_file.report.how == "on_probe",
            "report.how: no probes are sent, so no load is reported",
        ),
    ];
    unsupported
        .iter()
        .filter(|(is_set, _)| *is_set)
        .map(|(_, note)| format!("settings.{note}"))
        .collect()
}
