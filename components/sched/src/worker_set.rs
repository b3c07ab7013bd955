//! Sets of workers by number, for tests that are done for each waiting unit in each planning pass.

/// Number of members in each word.
const WORD: usize = u64::BITS as usize;

/// A set of workers, given by the numbers that [`crate::room::Room`] assigns.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct WorkerSet(Vec<u64>);

impl WorkerSet {
    pub(crate) fn insert(&mut self, number: usize) {
        let word = number / WORD;
        if word >= self.0.len() {
            self.0.resize(word + 1, 0);
        }
        self.0[word] |= 1 << (number % WORD);
    }

    pub(crate) fn remove(&mut self, number: usize) {
        if let Some(word) = self.0.get_mut(number / WORD) {
            *word &= !(1 << (number % WORD));
        }
    }

    pub(crate) fn contains(&self, number: usize) -> bool {
        self.0.get(number / WORD).is_some_and(|word| word >> (number % WORD) & 1 == 1)
    }

    /// Number of members.
    pub(crate) fn len(&self) -> usize {
        self.0.iter().map(|word| word.count_ones() as usize).sum()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.iter().all(|word| *word == 0)
    }

    /// The members of this set.
    pub(crate) fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.0.iter().enumerate().flat_map(|(index, word)| members(index, *word))
    }

    /// The members of both sets.
    pub(crate) fn both<'a>(&'a self, other: &'a WorkerSet) -> impl Iterator<Item = usize> + 'a {
        let words = self.0.iter().zip(&other.0).map(|(own, other)| own & other);
        words.enumerate().flat_map(|(index, word)| members(index, word))
    }
}

/// The members in one word of a set.
fn members(index: usize, word: u64) -> impl Iterator<Item = usize> {
    std::iter::successors((word != 0).then_some(word), |word| Some(word & (word - 1)).filter(|rest| *rest != 0))
        .map(move |word| index * WORD + word.trailing_zeros() as usize)
}
