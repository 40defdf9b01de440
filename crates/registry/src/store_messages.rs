//! Processes the messages of the store on this machine: voters, committed items and replies to commands.

use damsonbeam_control::address::ip_strings;
use damsonbeam_control::config::{Item, ItemKind, Tenant};
use damsonbeam_control::link::MessageSender;
use damsonbeam_control::messages::Message;
use damsonbeam_control::voters::VoterSet;

use crate::registry::Registry;

impl Registry {
    /// Starts the session over a new connection to the store.
    pub(crate) fn store_connected(&mut self, sender: MessageSender) {
        self.store.connect(sender);
        self.store.send_roster(self.membership.alive());
        log::info!("store: connected.");
    }

    /// Ends the session after its connection was closed.
    pub(crate) fn store_disconnected(&mut self) {
        self.store.disconnect();
        log::warn!("store: disconnected.");
    }

    /// Processes a message of the store.
    pub(crate) fn receive_from_store(&mut self, message: Message) {
        match message {
            Message::CoreMachines { ips } => {
                let own_ip = self.own_ip;
                self.membership
                    .add_seeds(ips.into_iter().filter(|ip| *ip != own_ip));
            }
            Message::Voters { epoch, voters } => self.set_voters(VoterSet::new(epoch, voters)),
            Message::EpochConfirmed { number, epoch } => {
                // The validity of the confirmed epoch starts when the query was sent.
                if let Some(asked_at) = self.store.receive_epoch_answer(number) {
                    self.lease.confirm_epoch(epoch, asked_at);
                }
            }
            Message::Committed { items, complete } => self.apply_committed(items, complete),
            Message::LastKnownBackends(backends) => {
                self.lease.observe_term(backends.version.term);
                if backends.version > self.backends.version {
                    self.backends = backends;
                }
            }
            Message::Reply { number, reply } => self.store.receive_reply(number, reply),
            Message::ConfirmSubmit { number } => self.store.confirm_submit(number, self.now()),
            _ => {}
        }
    }

    fn set_voters(&mut self, voters: VoterSet) {
        if voters.epoch <= self.lease.epoch() {
            return;
        }
        let ips = ip_strings(voters.voters().iter().copied()).join(" ");
        log::info!("voters: epoch {}, {ips}.", voters.epoch);
        self.membership.add_seeds(voters.voters().iter().copied());
        self.contact.set_voters(voters.clone());
        self.lease.set_voters(voters);
        self.store.discard_epoch_query();
    }

    fn apply_committed(&mut self, items: Vec<Item>, complete: bool) {
        let items = items.into_iter();
        let new: Vec<Item> = items
            .filter(|item| self.config.merge(item.clone()))
            .collect();
        self.has_all_items |= complete;
        if new.is_empty() {
            return;
        }
        new.iter().for_each(|item| self.home_regions.update(item));
        let is_tenant = |item: &&Item| item.key.kind == ItemKind::Tenant && !item.is_removed();
        for tenant in new.iter().filter(is_tenant) {
            if let Ok(tenant) = Tenant::try_from(tenant) {
                let counts = self.role.counts_mut();
                counts.set_rate(&tenant.name, tenant.rate_per_s);
            }
        }
        if !complete {
            let proxies = self.proxies.len();
            log::info!(
                "config: {} items committed, to {proxies} proxies.",
                new.len()
            );
        }
        self.push_items(new);
    }
}
