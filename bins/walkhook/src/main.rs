//! Empty.
fn main() {}
