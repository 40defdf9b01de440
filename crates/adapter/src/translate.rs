//! Between the wire's words and the module's.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use damsonbeam::interface::*;

use crate::wire::{self, Disposition, Form, Happened, Output};

fn ns(t: u64) -> Duration {
    Duration::from_nanos(t)
}

fn to_ns(t: Duration) -> u64 {
    u64::try_from(t.as_nanos()).unwrap_or(u64::MAX)
}

pub fn entry(row: &wire::Row) -> Result<BackendEntry, String> {
    Ok(BackendEntry {
        backend_id: BackendId(row.backend),
        health: match row.health.as_str() {
            "U" => Health::Up,
            "L" => Health::Draining,
            "D" => Health::Gone,
            // An unlisted state is no promise that it takes work.
            _ => Health::Draining,
        },
        since: ns(row.online_since_ns),
        kind: row.family_type,
        zone: row.failure_domain,
        cell: row.unit_group,
        weight: row.capacity_hint,
    })
}

fn outcome(d: Disposition) -> Outcome {
    match d {
        Disposition::Ok => Outcome::Ok,
        Disposition::QueueFull => Outcome::Full,
        Disposition::TimedOut => Outcome::TimedOut,
        Disposition::ConnectError => Outcome::ConnectFailed,
        Disposition::ResetByPeer => Outcome::Reset,
        Disposition::Canceled => Outcome::Canceled,
        Disposition::Ignored => Outcome::Ignored,
        // An outcome of a kind not yet known may have run.
        Disposition::Failed | Disposition::Unknown => Outcome::Failed,
    }
}

/// The instance concerned and what happened to it; none for what this build does not know.
pub fn event(
    h: Happened,
    lists: &BTreeMap<u32, Arc<[BackendEntry]>>,
) -> Result<Option<(u32, Event)>, String> {
    Ok(Some(match h {
        Happened::RosterChange {
            gateway_id,
            page,
            form,
        } => {
            let form = match form {
                Form::Update => ListForm::Update,
                Form::Replace => ListForm::Replace,
                Form::Restored => ListForm::Restored,
                Form::Unavailable => ListForm::Unavailable,
                Form::Unknown => return Ok(None),
            };
            let entries = if form == ListForm::Unavailable {
                Arc::from([])
            } else {
                let page = page.ok_or("roster-change lacks `page`")?;
                let named = lists.get(&page);
                named
                    .ok_or_else(|| format!("roster-change names unknown page {page}"))?
                    .clone()
            };
            (gateway_id, Event::BackendList { form, entries })
        }
        Happened::Request {
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
        } => (
            gateway_id,
            Event::Invocation(Invocation {
                id: InvocationId(msg_id),
                deadline: ns(valid_until_ns),
                operation: OperationId(cls),
                plan: PlanId(package),
                customer: CustomerId(account.into()),
                units,
                first_gateway: GatewayId(first_door),
                spread: width,
                write: mutates,
                repeat,
                body_pending: false,
            }),
        ),
        Happened::FirstByte {
            gateway_id,
            msg_id,
            r#try,
            backend,
            wait_time_ns,
        } => (
            gateway_id,
            Event::FirstByte {
                invocation_id: InvocationId(msg_id),
                attempt: AttemptNumber(r#try),
                backend_id: BackendId(backend),
                latency: ns(wait_time_ns),
            },
        ),
        Happened::Response {
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
        } => (
            gateway_id,
            Event::AttemptEnded {
                invocation_id: InvocationId(msg_id),
                attempt: AttemptNumber(r#try),
                backend_id: BackendId(backend),
                outcome: outcome(disposition),
                latency: ns(wait_time_ns),
                closed: done_flag,
                used: seen_use
                    .checked_sub(1)
                    .map(|percent| percent as f64 / 100.0),
                true_units: (cost > 0.0).then_some(cost),
                report: server_stats,
            },
        ),
        Happened::Left { gateway_id, msg_id } => (
            gateway_id,
            Event::ClientGone {
                invocation_id: InvocationId(msg_id),
            },
        ),
        Happened::DeadlineHit { gateway_id, cookie } => {
            (gateway_id, Event::Timer { token: cookie })
        }
        Happened::Checked {
            gateway_id,
            backend,
            wait_time_ns,
            disposition,
            server_stats,
        } => (
            gateway_id,
            Event::Probed {
                backend_id: BackendId(backend),
                outcome: outcome(disposition),
                latency: ns(wait_time_ns),
                report: server_stats,
            },
        ),
        Happened::PeerData {
            gateway_id,
            by,
            raw,
        } => {
            let bytes = hex::decode(&raw).map_err(|e| format!("peer-data's `raw`: {e}"))?;
            (
                gateway_id,
                Event::PeerMessage {
                    from: GatewayId(by),
                    bytes,
                },
            )
        }
        Happened::Total {
            gateway_id,
            wait_time_ns,
            sum,
            disposition,
            tally_id,
        } => (
            gateway_id,
            Event::CounterTotal {
                name: tally_id,
                outcome: outcome(disposition),
                total: sum,
                others: 0.0,
                latency: ns(wait_time_ns),
            },
        ),
        Happened::Begin { .. }
        | Happened::Shutdown { .. }
        | Happened::Register { .. }
        | Happened::Unknown => return Ok(None),
    }))
}

pub fn output(gateway_id: u32, action: Action) -> Output {
    match action {
        Action::SendAttempt {
            invocation_id,
            backend_id,
            timeout,
        } => Output::Place {
            gateway_id,
            msg_id: invocation_id.0,
            backend: backend_id.0,
            timeout_ns: timeout.map(to_ns),
        },
        Action::CancelAttempt {
            invocation_id,
            attempt,
        } => Output::Abandon {
            gateway_id,
            msg_id: invocation_id.0,
            r#try: attempt.0,
        },
        Action::Throttle {
            invocation_id,
            retry_after,
            ..
        } => Output::PushBack {
            gateway_id,
            msg_id: invocation_id.0,
            stay_away_ns: retry_after.map(to_ns),
        },
        Action::Fail { invocation_id } => Output::GiveUp {
            gateway_id,
            msg_id: invocation_id.0,
        },
        Action::SetTimer { after, token } => Output::Schedule {
            gateway_id,
            wait_ns: to_ns(after),
            cookie: token,
        },
        Action::AddToCounter { name, add, keep } => Output::Count {
            gateway_id,
            tally_id: name,
            step: add,
            lifetime_ns: to_ns(keep),
        },
        Action::Probe { backend_id } => Output::HealthCheck {
            gateway_id,
            backend: backend_id.0,
        },
        Action::CloseIdle { backend_id } => Output::LetGo {
            gateway_id,
            backend: backend_id.0,
        },
        Action::SendToPeers { to, bytes } => {
            let target = to.map_or(-1, |g| i64::from(g.0));
            Output::Signal {
                gateway_id,
                target,
                raw: hex::encode(bytes),
            }
        }
        Action::WatchBackendList { on } => Output::Observe { gateway_id, on },
        Action::FetchBackendList => Output::Resolve { gateway_id },
        // The wire has no word for a hand-over, and so no event that asks for one.
        Action::HandOver(_) => Output::Remark {
            gateway_id,
            what: "hand-over".into(),
        },
        Action::Log { text } => Output::Remark {
            gateway_id,
            what: text,
        },
    }
}
