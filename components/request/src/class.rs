//! Maps the path of a request to its class.

/// Position of a class in the settings.
pub type ClassIndex = usize;

/// The path prefixes of all classes.
#[derive(Clone, Debug, Default)]
pub struct Classes {
    /// Longest prefix first, so that the first match is the most specific one.
    prefixes: Vec<(String, ClassIndex)>,
}

impl Classes {
    /// Creates the table from the path prefix of each class, in the order of the settings.
    pub fn new<'a>(paths: impl IntoIterator<Item = &'a str>) -> Classes {
        let mut prefixes: Vec<(String, ClassIndex)> =
            paths.into_iter().enumerate().map(|(index, path)| (path.to_owned(), index)).collect();
        prefixes.sort_by_key(|(prefix, index)| (std::cmp::Reverse(prefix.len()), *index));
        Classes { prefixes }
    }

    /// The class with the longest prefix of `path`. Only whole segments match: `/slots` is a prefix of `/slots` and
    /// `/slots/7`, but not of `/slotsandmore`.
    pub fn find(&self, path: &str) -> Option<ClassIndex> {
        self.prefixes.iter().find(|(prefix, _)| has_prefix(prefix, path)).map(|(_, index)| *index)
    }
}

fn has_prefix(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}
