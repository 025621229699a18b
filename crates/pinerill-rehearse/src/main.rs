//! The rehearsal kit command line.

fn main() {}
