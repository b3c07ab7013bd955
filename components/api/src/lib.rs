//! Empty.
