//! The `pinerill` command line.

fn main() {}
