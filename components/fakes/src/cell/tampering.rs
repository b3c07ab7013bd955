//! Faults of the store, and direct changes to the stored keys without a transaction.

use super::Cell;

impl Cell {
    /// Sets the maximum size of a value, which hosts aren't told.
    pub fn set_max_value(&self, bytes: usize) {
        *self.max_value.lock() = bytes;
    }

    /// Applies the next `count` transactions but loses their answers.
    pub fn lose_commit_answers(&self, count: usize) {
        self.state.lock().answers_to_lose = count;
    }

    /// Neither applies nor answers the next `count` transactions. Other calls are answered.
    pub fn drop_commits(&self, count: usize) {
        self.state.lock().commits_to_drop = count;
    }

    /// Leaves reads and watches of the configuration by a host without an answer. Those that were sent before this
    /// ends stay unanswered.
    pub fn set_config_silent(&self, host: &str, silent: bool) {
        let mut state = self.state.lock();
        if silent {
            state.silent_config_hosts.insert(host.to_owned());
        } else {
            state.silent_config_hosts.remove(host);
        }
    }

    /// Leaves watches of the store's keys that begin from now on without an answer.
    pub fn silence_watches(&self) {
        self.state.lock().silent_watches = true;
    }

    /// Leaves reads by prefix by a host without an answer, as if its link were too slow for the log.
    pub fn silence_ranges(&self, host: &str) {
        self.state.lock().silent_range_hosts.insert(host.to_owned());
    }

    /// Removes a key without telling the host that owns it.
    pub fn delete_key(&self, key: &str) {
        let mut state = self.state.lock();
        state.items.remove(key);
        self.record_change(&mut state);
    }

    /// Ends all leases in the store, with their keys.
    pub fn expire_all_leases(&self) {
        let mut state = self.state.lock();
        let leases: Vec<_> = state.leases.keys().copied().collect();
        leases.into_iter().for_each(|lease| self.drop_lease(&mut state, lease));
    }

    /// Changes all values below a prefix, for example to what another version of the program would have written.
    pub fn rewrite_values(&self, prefix: &str, change: impl Fn(&mut Vec<u8>)) {
        let mut state = self.state.lock();
        state
            .items
            .iter_mut()
            .filter(|(key, _)| key.starts_with(prefix))
            .for_each(|(_, stored)| change(&mut stored.value));
    }

    /// All values below a prefix, in the order of their keys.
    pub fn values(&self, prefix: &str) -> Vec<Vec<u8>> {
        let state = self.state.lock();
        let below = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
        below.map(|(_, stored)| stored.value.clone()).collect()
    }

    /// Makes the next read of the list of workers panic.
    pub fn panic_on_next_worker_list(&self) {
        self.state.lock().panic_on_worker_list = true;
    }
}
