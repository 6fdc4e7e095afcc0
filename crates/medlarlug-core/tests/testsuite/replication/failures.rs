//! Focused failures.
use super::cluster::*;
#[test]
fn dbg() {
    let mut c = Cluster::new(0, &[true, true, true], Fault::None, |_| {});
    for _ in 0..20 {
        c.run(std::time::Duration::from_millis(200));
        for n in 0..3 {
            let r = c.nodes[n].replica.as_ref().unwrap();
            print!(
                "{:?} t{} l{} c{} m{:?} | ",
                r.role(),
                r.term(),
                r.last_index(),
                r.committed(),
                r.membership().map(|m| m.members().len())
            );
        }
        println!();
    }
}
