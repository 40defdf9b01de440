//! Translates the simulator's events to those of the module, and the module's actions to those of the simulator.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use damsonbeam::interface::{
    Action, AttemptNumber, BackendEntry, BackendId, CustomerId, Event, GatewayId, Health,
    Invocation, InvocationId, ListUpdate, OperationId, Outcome, PlanId,
};

use crate::wire::{Disposition, Form, Row, WireAction, WireEvent};

/// Target of a `signal` action that goes to all gateways.
const ALL_GATEWAYS: i64 = -1;

/// Backend lists by the page number under which the simulator registered them.
pub(crate) type Lists = BTreeMap<u32, Arc<[BackendEntry]>>;

/// The reason why an event can't be translated.
#[derive(Debug, thiserror::Error)]
pub(crate) enum TranslateError {
    #[error("roster-change lacks `page`")]
    MissingPage,
    #[error("roster-change names unknown page {0}")]
    UnknownPage(u32),
    #[error("peer-data's `raw`: {0}")]
    InvalidHex(#[from] hex::FromHexError),
}

/// An event with the id of the gateway that receives it.
pub(crate) struct GatewayEvent {
    pub(crate) gateway_id: u32,
    pub(crate) event: Event,
}

fn to_ns(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}

/// Translates one row of a backend list.
pub(crate) fn entry(row: &Row) -> BackendEntry {
    BackendEntry {
        backend_id: BackendId(row.backend),
        health: match row.health.as_str() {
            "U" => Health::Up,
            "L" => Health::Draining,
            "D" => Health::Removed,
            // A backend in an unknown state may not accept requests, so it counts as draining.
            _ => Health::Draining,
        },
        started_at: Duration::from_nanos(row.online_since_ns),
        machine_type: row.family_type,
        zone: row.failure_domain,
        cell: row.unit_group,
        weight: row.capacity_hint,
    }
}

fn outcome(disposition: Disposition) -> Outcome {
    match disposition {
        Disposition::Ok => Outcome::Ok,
        Disposition::QueueFull => Outcome::Full,
        Disposition::TimedOut => Outcome::TimedOut,
        Disposition::ConnectError => Outcome::ConnectFailed,
        Disposition::ResetByPeer => Outcome::Reset,
        Disposition::Canceled => Outcome::Canceled,
        Disposition::Ignored => Outcome::Ignored,
        // An attempt with an unknown outcome may have been executed, so it counts as failed.
        Disposition::Failed | Disposition::Unknown => Outcome::Failed,
    }
}

/// Translates a change of the backend list; returns `None` for an unknown form.
fn backend_list(
    form: Form,
    page: Option<u32>,
    lists: &Lists,
) -> Result<Option<Event>, TranslateError> {
    let form = match form {
        Form::Update => ListUpdate::Update,
        Form::Replace => ListUpdate::Replace,
        Form::Restored => ListUpdate::Restored,
        Form::Unavailable => ListUpdate::Unavailable,
        Form::Unknown => return Ok(None),
    };
    let entries = if form == ListUpdate::Unavailable {
        Arc::from([])
    } else {
        let page = page.ok_or(TranslateError::MissingPage)?;
        let list = lists.get(&page);
        list.ok_or(TranslateError::UnknownPage(page))?.clone()
    };
    Ok(Some(Event::BackendList { form, entries }))
}

/// Translates an event; returns `None` for an unknown event and for events that the adapter handles itself.
#[expect(
    clippy::too_many_lines,
    reason = "one arm per event that only renames fields"
)]
pub(crate) fn event(
    event: WireEvent,
    lists: &Lists,
) -> Result<Option<GatewayEvent>, TranslateError> {
    let (gateway_id, event) = match event {
        WireEvent::RosterChange {
            gateway_id,
            page,
            form,
        } => match backend_list(form, page, lists)? {
            Some(event) => (gateway_id, event),
            None => return Ok(None),
        },
        WireEvent::Request {
            gateway_id,
            msg_id,
            valid_until_ns,
            cls,
            mutates,
            repeat,
            first_door,
            account,
            units,
            width,
            package,
        } => {
            let invocation = Invocation {
                id: InvocationId(msg_id),
                deadline: Duration::from_nanos(valid_until_ns),
                operation: OperationId(cls),
                plan: PlanId(package),
                customer: CustomerId(account.into()),
                units,
                first_gateway: GatewayId(first_door),
                gateway_count: width,
                is_mutating: mutates,
                is_retry: repeat,
                body_pending: false,
            };
            (gateway_id, Event::Invocation(invocation))
        }
        WireEvent::FirstByte {
            gateway_id,
            msg_id,
            r#try,
            backend,
            wait_time_ns,
        } => {
            let event = Event::FirstByte {
                invocation_id: InvocationId(msg_id),
                attempt: AttemptNumber(r#try),
                backend_id: BackendId(backend),
                latency: Duration::from_nanos(wait_time_ns),
            };
            (gateway_id, event)
        }
        WireEvent::Response {
            gateway_id,
            msg_id,
            r#try,
            backend,
            disposition,
            wait_time_ns,
            done_flag,
            seen_use,
            cost,
            server_stats,
        } => {
            // `seen_use` is the percentage plus 1; 0 means that no value was reported.
            let used_percent = seen_use.checked_sub(1);
            let event = Event::AttemptEnded {
                invocation_id: InvocationId(msg_id),
                attempt: AttemptNumber(r#try),
                backend_id: BackendId(backend),
                outcome: outcome(disposition),
                latency: Duration::from_nanos(wait_time_ns),
                is_finished: done_flag,
                metered_use: used_percent.map(|percent| percent as f64 / 100.0),
                actual_units: (cost > 0.0).then_some(cost),
                report: server_stats,
            };
            (gateway_id, event)
        }
        WireEvent::Left { gateway_id, msg_id } => {
            let invocation_id = InvocationId(msg_id);
            (gateway_id, Event::ClientDisconnected { invocation_id })
        }
        WireEvent::DeadlineHit { gateway_id, cookie } => {
            (gateway_id, Event::TimerFired { token: cookie })
        }
        WireEvent::Checked {
            gateway_id,
            backend,
            wait_time_ns,
            disposition,
            server_stats,
        } => {
            let event = Event::ProbeEnded {
                backend_id: BackendId(backend),
                outcome: outcome(disposition),
                latency: Duration::from_nanos(wait_time_ns),
                report: server_stats,
            };
            (gateway_id, event)
        }
        WireEvent::PeerData {
            gateway_id,
            by,
            raw,
        } => {
            let event = Event::PeerMessage {
                from: GatewayId(by),
                bytes: hex::decode(&raw)?,
            };
            (gateway_id, event)
        }
        WireEvent::Total {
            gateway_id,
            wait_time_ns,
            sum,
            disposition,
            tally_id,
        } => {
            let event = Event::CounterTotal {
                name: tally_id,
                outcome: outcome(disposition),
                total: sum,
                peer_units: 0.0,
                latency: Duration::from_nanos(wait_time_ns),
            };
            (gateway_id, event)
        }
        WireEvent::Begin { .. }
        | WireEvent::Shutdown { .. }
        | WireEvent::Register { .. }
        | WireEvent::Unknown => return Ok(None),
    };
    Ok(Some(GatewayEvent { gateway_id, event }))
}

/// Translates an action of the given gateway.
#[expect(
    clippy::too_many_lines,
    reason = "one arm per action that only renames fields"
)]
pub(crate) fn action(gateway_id: u32, action: Action) -> WireAction {
    match action {
        Action::SendAttempt {
            invocation_id,
            backend_id,
            timeout,
        } => WireAction::Place {
            gateway_id,
            msg_id: invocation_id.0,
            backend: backend_id.0,
            timeout_ns: timeout.map(to_ns),
        },
        Action::CancelAttempt {
            invocation_id,
            attempt,
        } => WireAction::Abandon {
            gateway_id,
            msg_id: invocation_id.0,
            r#try: attempt.0,
        },
        Action::Throttle {
            invocation_id,
            retry_after,
            ..
        } => WireAction::PushBack {
            gateway_id,
            msg_id: invocation_id.0,
            stay_away_ns: retry_after.map(to_ns),
        },
        Action::Fail { invocation_id } => WireAction::GiveUp {
            gateway_id,
            msg_id: invocation_id.0,
        },
        Action::SetTimer { after, token } => WireAction::Schedule {
            gateway_id,
            wait_ns: to_ns(after),
            cookie: token,
        },
        Action::AddToCounter {
            name,
            units: add,
            retention: keep,
        } => WireAction::Count {
            gateway_id,
            tally_id: name,
            step: add,
            lifetime_ns: to_ns(keep),
        },
        Action::Probe { backend_id } => WireAction::HealthCheck {
            gateway_id,
            backend: backend_id.0,
        },
        Action::CloseIdleConnections { backend_id } => WireAction::LetGo {
            gateway_id,
            backend: backend_id.0,
        },
        Action::SendToPeers { to, bytes } => WireAction::Signal {
            gateway_id,
            target: to.map_or(ALL_GATEWAYS, |gateway| i64::from(gateway.0)),
            raw: hex::encode(bytes),
        },
        Action::WatchBackendList { on } => WireAction::Observe { gateway_id, on },
        Action::FetchBackendList => WireAction::Resolve { gateway_id },
        // The simulator has no hand-over action and no event that starts a hand-over.
        Action::HandOver(_) => WireAction::Remark {
            gateway_id,
            what: "hand-over".into(),
        },
        Action::Log { text } => WireAction::Remark {
            gateway_id,
            what: text,
        },
    }
}
