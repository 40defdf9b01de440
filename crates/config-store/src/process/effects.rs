//! Carries out the replica's effects: what must be durable is on disk before anything that follows it is sent.

use std::time::Duration;

use damsonbeam_control::address::Ip;
use damsonbeam_control::config::Item;
use damsonbeam_control::messages::{CommandReply, Message, encode};

use super::links::LinkId;
use super::store::{DISK_REFUSES, StoreProcess, configuration_items};
use crate::consensus::{DurableWrite, Effect, Replica};
use crate::disk::Disk;

/// A disk that failed is tried again after this.
const DISK_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Items named in one line of the log.
const ITEMS_LOGGED: usize = 8;

impl StoreProcess {
    /// Carries out the replica's effects: what must be durable is on disk before anything that follows it is sent.
    /// `received_from` is the connection whose message brought them about.
    pub(super) fn carry_out_effects(&mut self, received_from: Option<(LinkId, Ip)>) {
        let effects = self.replica.take_effects();
        let writes = effects.iter().filter_map(|effect| match effect {
            Effect::Persist(write) => Some(write.clone()),
            _ => None,
        });
        let writes: Vec<DurableWrite> = writes.collect();
        if !self.persist(&writes) {
            return;
        }
        for effect in effects {
            match effect {
                Effect::Persist(_) => {}
                Effect::Send(to, message) => self.send(to, &message, received_from),
                Effect::Broadcast(message) => self.broadcast(&message),
                Effect::Reply(number, reply) => {
                    if let Some(source) = self.commands.remove(&number) {
                        self.reply(source, reply);
                    }
                }
                Effect::Committed(items) => {
                    log::info!("store: decided {}.", describe_items(&items));
                    let items = configuration_items(items.into_iter());
                    if !items.is_empty() {
                        self.send_committed(items, false);
                    }
                }
            }
        }
        self.send_voters();
    }

    /// Returns whether everything is on disk.
    fn persist(&mut self, writes: &[DurableWrite]) -> bool {
        if writes.is_empty() {
            return true;
        }
        let error = match self.disk.as_ref().map(|disk| disk.persist(writes)) {
            Some(Ok(())) => return true,
            Some(Err(error)) => error.to_string(),
            None => "it is closed".into(),
        };
        log::error!("store: the disk refuses: {error}.");
        self.close_disk();
        false
    }

    /// Nothing that depends on the failed write is sent. What the replica holds in memory is no longer what is on disk: it
    /// starts anew from there, once the disk takes writes again.
    fn close_disk(&mut self) {
        self.disk = None;
        self.next_disk_retry = self.now() + DISK_RETRY_PAUSE;
        for source in std::mem::take(&mut self.commands).into_values() {
            self.reply(source, CommandReply::Unavailable(DISK_REFUSES.into()));
        }
    }

    /// Opens the store again after the disk failed, and starts from what is on it.
    pub(super) fn reopen_disk_when_due(&mut self, now: Duration) {
        if self.disk.is_some() || now < self.next_disk_retry {
            return;
        }
        self.next_disk_retry = now + DISK_RETRY_PAUSE;
        let reopened = Disk::open(&self.directory).and_then(|disk| Ok((disk.read()?, disk)));
        match reopened {
            Ok((state, disk)) => {
                let items = state.durable.accepted.items().len();
                log::info!("store: the disk is back with {items} items.");
                self.replica = Replica::new(self.own_ip, state.durable, rand::random(), now);
                self.replica.set_roster(&self.roster);
                self.disk = Some(disk);
            }
            Err(error) => log::warn!("store: the disk still refuses: {error}."),
        }
    }

    /// An answer goes back the way its question came.
    fn send(&self, to: Ip, message: &Message, received_from: Option<(LinkId, Ip)>) {
        let back = received_from.filter(|(_, from)| *from == to);
        let back = back.and_then(|(link, _)| self.accepted.get(&link));
        let sender = back
            .map(|link| &link.sender)
            .or_else(|| self.peers.get(&to));
        if let Some(sender) = sender {
            sender.send(message);
        }
    }

    fn broadcast(&self, message: &Message) {
        let bytes = encode(message);
        for peer in self.peers.values() {
            peer.send_encoded(bytes.clone());
        }
    }
}

/// Items by name and version, a few of many.
fn describe_items(items: &[Item]) -> String {
    let describe = |item: &Item| format!("{} r{}", item.key.name, item.version);
    let named: Vec<String> = items.iter().take(ITEMS_LOGGED).map(describe).collect();
    let mut text = named.join(", ");
    if items.len() > ITEMS_LOGGED {
        text += &format!(" and {} more", items.len() - ITEMS_LOGGED);
    }
    text
}
