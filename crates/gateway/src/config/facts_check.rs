//! What the settings must be, and what of them has no meaning on sockets.

use damsonbeam_settings::{Class, Facts, PlanFacts};

use super::ConfigError;

/// What the gateway can't do without, or would misread.
pub(super) fn check(facts: &Facts) -> Result<(), ConfigError> {
    check_spans(facts)?;
    if facts.ceilings.try_limit == 0 {
        let key = "settings.ceilings.try-limit";
        return Err(ConfigError::invalid(key, "missing or 0"));
    }
    let operations: Vec<_> = facts
        .request_classes
        .iter()
        .map(|class| &class.name)
        .collect();
    check_unique("request-classes", &operations)?;
    let plans: Vec<_> = facts.plans.iter().map(|plan| &plan.name).collect();
    check_unique("plans", &plans)?;
    if facts.self_index >= facts.siblings {
        let problem = format!("{} of {} siblings", facts.self_index, facts.siblings);
        return Err(ConfigError::invalid("settings.self-index", problem));
    }
    let numbered = facts.request_classes.iter().enumerate();
    for (number, class) in numbered.clone() {
        check_class(number, class)?;
    }
    for (number, class) in numbered {
        let figures = [
            ("importance", class.importance),
            ("late-worth", class.late_worth),
        ];
        check_figures(&format!("settings.request-classes[{number}]"), &figures)?;
    }
    let figures = [
        ("most-units", facts.domain.most_units),
        ("call-price", facts.domain.call_price),
    ];
    check_figures("settings.domain", &figures)?;
    for (number, plan) in facts.plans.iter().enumerate() {
        check_plan(number, plan)?;
    }
    Ok(())
}

fn check_spans(facts: &Facts) -> Result<(), ConfigError> {
    let needs_no_counter = u64::from(!facts.domain.has_counter);
    let counter_timeout_ns = facts.domain.counter_timeout_ns.max(needs_no_counter);
    let spans = [
        ("tick-ns", facts.tick_ns),
        (
            "ceilings.connect-timeout-ns",
            facts.ceilings.connect_timeout_ns,
        ),
        ("ceilings.conn-idle-ns", facts.ceilings.conn_idle_ns),
        ("domain.counter-timeout-ns", counter_timeout_ns),
    ];
    match spans.iter().find(|(_, span)| *span == 0) {
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
            let problem = format!("`{name}` stands there twice");
            return Err(ConfigError::invalid(key, problem));
        }
    }
    Ok(())
}

fn check_class(number: usize, class: &Class) -> Result<(), ConfigError> {
    let has_name = !class.name.is_empty() && !class.name.contains('/');
    if has_name && class.deadline_ns > 0 && class.slo_ns > 0 {
        return Ok(());
    }
    let key = format!("settings.request-classes[{number}]");
    let problem = "needs a name for a path, deadline-ns, slo-ns";
    Err(ConfigError::invalid(key, problem))
}

fn check_plan(number: usize, plan: &PlanFacts) -> Result<(), ConfigError> {
    let path = format!("settings.plans[{number}]");
    if plan.name.is_empty() {
        return Err(ConfigError::invalid(format!("{path}.name"), "missing"));
    }
    let figures = [
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
    check_figures(&path, &figures)?;
    // Each pair means one thing: with half of it nothing would be held, or nothing let in.
    if (plan.quota_rate > 0.0) != (plan.store_size > 0.0) {
        let problem = "needed with quota-rate, and only with it";
        return Err(ConfigError::invalid(format!("{path}.store-size"), problem));
    }
    if (plan.cap_rate > 0.0) != (plan.never_over_depth > 0.0) {
        let problem = "needed with cap-rate, and only with it";
        let key = format!("{path}.never-over-depth");
        return Err(ConfigError::invalid(key, problem));
    }
    Ok(())
}

fn check_figures(path: &str, figures: &[(&str, f64)]) -> Result<(), ConfigError> {
    let is_wrong = |(_, figure): &&(&str, f64)| !figure.is_finite() || *figure < 0.0;
    match figures.iter().find(is_wrong) {
        Some((key, figure)) => {
            let problem = format!("{figure} is no figure from 0 on");
            Err(ConfigError::invalid(format!("{path}.{key}"), problem))
        }
        None => Ok(()),
    }
}

/// The decisions are sound without these; the socket protocol has no page for them, and none is guessed.
pub(super) fn notes(facts: &Facts) -> Vec<String> {
    let absent = [
        (
            facts.domain.settles,
            "domain.settles: answers tell no true units here, the guesses stand",
        ),
        (
            facts.domain.meter_ns > 0,
            "domain.meter-ns: answers tell no use here, the counter alone does",
        ),
        (
            facts.report.how == "on_probe",
            "report.how: no probe is sent here, so no load is reported",
        ),
    ];
    absent
        .iter()
        .filter(|(is, _)| *is)
        .map(|(_, what)| format!("settings.{what}"))
        .collect()
}
