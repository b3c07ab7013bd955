//! Which class a request belongs to.

/// Position of a class in the settings.
pub type ClassIndex = usize;

/// The paths of all classes.
#[derive(Clone, Debug, Default)]
pub struct Classes {
    /// Longest path first, so that the first match is the most specific one.
    paths: Vec<(String, ClassIndex)>,
}

impl Classes {
    /// Takes the path of each class, in the order of the settings.
    pub fn new<'a>(paths: impl IntoIterator<Item = &'a str>) -> Classes {
        let mut paths: Vec<(String, ClassIndex)> =
            paths.into_iter().enumerate().map(|(at, path)| (path.to_owned(), at)).collect();
        paths.sort_by_key(|(path, at)| (std::cmp::Reverse(path.len()), *at));
        Classes { paths }
    }

    /// The class with the longest path that covers `path`. `/slots` covers `/slots` and `/slots/7`, but not
    /// `/slotsandmore`.
    pub fn find(&self, path: &str) -> Option<ClassIndex> {
        self.paths.iter().find(|(prefix, _)| covers(prefix, path)).map(|(_, at)| *at)
    }
}

fn covers(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}
