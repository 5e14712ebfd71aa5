//! hawthornroute: a query tier over many shards.
fn main() {}
