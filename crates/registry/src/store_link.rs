//! The link to the configuration store on this machine.

use std::time::Duration;

use damsonbeam_control::link;
use damsonbeam_control::messages::Message;
use damsonbeam_control::settings::Port;
use damsonbeam_control::voters::VoterSet;
use tokio::time::sleep;

use crate::state::Shared;
use crate::{DIAL_TIMEOUT, REDIAL_PAUSE};

/// The store may be busy with a sweep, never for long.
const STORE_SILENCE: Duration = Duration::from_secs(3600);

/// Holds the link for as long as the process lives.
pub(crate) async fn hold(registry: Shared) {
    let (at, me) = {
        let w = registry.borrow();
        (w.settings.inner(w.settings.ip, Port::Store), w.me)
    };
    loop {
        if let Ok(stream) = link::dial(at, DIAL_TIMEOUT).await {
            let (mut from, out) = link::split(stream);
            {
                let mut w = registry.borrow_mut();
                w.roster = Vec::new();
                w.store = Some(out);
                let alive = w.members.alive();
                w.tell_roster(alive);
                log::info!("store: reached.");
            }
            while let Ok(note) = from.next::<Message>(STORE_SILENCE).await {
                let mut w = registry.borrow_mut();
                match note {
                    Message::Roster { ips } => {
                        w.members.hint(ips.into_iter().filter(|ip| *ip != me));
                    }
                    Message::Voters { epoch, voters } => w.set_voters(VoterSet::new(epoch, voters)),
                    Message::EpochConfirmed { no, epoch } => w.confirm_epoch(no, epoch),
                    Message::Decided { items, whole } => w.apply_decided(items, whole),
                    Message::StoreBackends(backends) => {
                        w.lease.observe_term(backends.term);
                        if backends.is_above(&w.backends) {
                            w.backends = backends;
                        }
                    }
                    Message::Reply { no, reply } => {
                        w.asks
                            .remove(&no)
                            .map(|pending| pending.to.send(reply).ok());
                    }
                    Message::ConfirmSubmit { no } => w.confirm_submit(no),
                    _ => {}
                }
            }
            let mut w = registry.borrow_mut();
            w.store = None;
            w.epoch_question = None;
            w.asks.clear();
            log::warn!("store: lost.");
        }
        sleep(REDIAL_PAUSE).await;
    }
}
