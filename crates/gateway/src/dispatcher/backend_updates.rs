//! Applies lists of backends: starts and stops the actors of backends.

use std::collections::BTreeSet;
use std::sync::Arc;

use damsonbeam::interface::{BackendId, Event, Health, ListUpdate};

use super::Dispatcher;
use crate::messages::BackendListUpdate;

impl Dispatcher {
    /// Applies a list of backends: starts actors for new backends and stops those of backends that are gone.
    pub(super) fn update_backends(
        &mut self,
        BackendListUpdate {
            form,
            entries,
            addresses,
            names,
        }: BackendListUpdate,
    ) {
        let no_name: Arc<str> = "".into();
        if matches!(form, ListUpdate::Replace | ListUpdate::Restored) {
            let listed: BTreeSet<BackendId> =
                entries.iter().map(|entry| entry.backend_id).collect();
            self.state
                .backends
                .retain(|backend_id, _| listed.contains(backend_id));
        }
        for (position, (entry, address)) in entries.iter().zip(addresses).enumerate() {
            let id = entry.backend_id;
            if entry.health == Health::Removed {
                self.state.backends.remove(&id);
                continue;
            }
            let known = self.state.backends.get(&id);
            if known.is_none_or(|backend| backend.address != address) {
                let name = names.get(position).unwrap_or(&no_name);
                let backend = (self.spawn_backend)(address, name);
                self.state.backends.insert(id, backend);
            }
            if let Some(backend) = self.state.backends.get(&id) {
                backend.closed.set(entry.health != Health::Up);
            }
        }
        self.handle_event(Event::BackendList { form, entries });
    }
}
