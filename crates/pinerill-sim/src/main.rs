//! The simulation command line.

fn main() {}
