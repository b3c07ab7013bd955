//! What the store does with keys behind its clients' backs.

use super::Cell;

impl Cell {
    /// Removes a key without a sign to its owner.
    pub fn delete_key(&self, key: &str) {
        let mut state = self.state.lock();
        state.items.remove(key);
        self.change(&mut state);
    }

    /// Changes all values below a prefix, as another version of the program would have written them.
    pub fn rewrite_values(&self, prefix: &str, change: impl Fn(&mut Vec<u8>)) {
        let mut state = self.state.lock();
        state.items.iter_mut().filter(|(key, _)| key.starts_with(prefix)).for_each(|(_, kept)| change(&mut kept.value));
    }

    /// All values below a prefix, in the order of their keys.
    pub fn values(&self, prefix: &str) -> Vec<Vec<u8>> {
        let state = self.state.lock();
        let below = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
        below.map(|(_, kept)| kept.value.clone()).collect()
    }

    /// Whoever reads the list of workers next panics.
    pub fn panic_on_next_worker_list(&self) {
        self.state.lock().broken_list = true;
    }
}
