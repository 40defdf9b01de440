//! Executes the replica's effects: writes are synced to disk before any message that depends on them is sent.

use std::time::Duration;

use damsonbeam_control::address::Ip;
use damsonbeam_control::messages::{CommandReply, Message, encode};

use super::links::LinkId;
use super::store::{DISK_UNAVAILABLE, StoreProcess, configuration_items};
use crate::consensus::{DurableWrite, Effect, Replica, describe_items};
use crate::disk::Disk;

/// The interval between attempts to reopen a disk that failed.
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(400);

impl StoreProcess {
    /// Executes the replica's effects: writes are synced to disk before any message is sent. If the write fails, no
    /// message is sent. `received_from` is the connection whose message caused the effects.
    pub(super) fn execute_effects(&mut self, received_from: Option<(LinkId, Ip)>) {
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
                Effect::Reconfirm(number, command) => {
                    if let Some(source) = self.commands.remove(&number) {
                        self.request_confirmation(source, command);
                    }
                }
                Effect::Log(event) => log::info!("store: {event}."),
                Effect::Committed(items) => {
                    log::info!("store: committed {}.", describe_items(&items));
                    let items = configuration_items(items.into_iter());
                    if !items.is_empty() {
                        self.send_committed(items, false);
                    }
                }
            }
        }
        self.send_voters();
    }

    /// Writes to disk and returns whether all writes are synced.
    fn persist(&mut self, writes: &[DurableWrite]) -> bool {
        if writes.is_empty() {
            return true;
        }
        let error = match self.disk.as_ref().map(|disk| disk.persist(writes)) {
            Some(Ok(())) => return true,
            Some(Err(error)) => error.to_string(),
            None => "the store is closed".into(),
        };
        log::error!("store: disk write failed: {error}.");
        self.close_disk();
        false
    }

    /// Closes the disk after a failed write, and fails all commands under way. The replica's state in memory differs
    /// from the state on disk now; the replica is recreated from the disk once the store can be reopened.
    fn close_disk(&mut self) {
        self.disk = None;
        self.next_disk_retry = self.now() + DISK_RETRY_INTERVAL;
        for source in std::mem::take(&mut self.commands).into_values() {
            self.reply(source, CommandReply::Unavailable(DISK_UNAVAILABLE.into()));
        }
    }

    /// Reopens the store after a disk failure if a retry is due, and recreates the replica from the state on disk.
    pub(super) fn reopen_disk_if_due(&mut self, now: Duration) {
        if self.disk.is_some() || now < self.next_disk_retry {
            return;
        }
        self.next_disk_retry = now + DISK_RETRY_INTERVAL;
        let reopened = Disk::open(&self.directory).and_then(|disk| Ok((disk.read()?, disk)));
        match reopened {
            Ok((state, disk)) => {
                let items = state.durable.accepted.items().len();
                log::info!("store: reopened the disk; {items} items on disk.");
                self.replica = Replica::new(self.own_ip, state.durable, rand::random(), now);
                self.replica.set_roster(&self.roster);
                self.disk = Some(disk);
            }
            Err(error) => log::warn!("store: cannot reopen the disk: {error}."),
        }
    }

    /// Sends a message to a store. An answer goes over the connection on which the request was received.
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
