//! Runs the model check and prints a line for each exploration.

use sesamewing_spec::report::{run_all, Run, PROPERTIES};

fn print(run: &Run) {
    let removed = run
        .mutant
        .map_or_else(String::new, |m| format!(" without {m}"));
    let verdict = match (&run.verdict.violation, run.is_good()) {
        (None, true) => "holds".to_owned(),
        (None, false) => "NOT NOTICED".to_owned(),
        (Some((property, path)), good) => {
            let word = if good { "noticed" } else { "VIOLATED" };
            format!("{word}: {property}\n    {}", path.join(" "))
        }
    };
    println!(
        "{}{removed}: {} states, {verdict}",
        run.name, run.verdict.states
    );
}

fn main() -> eyre::Result<()> {
    let runs = run_all(print);
    let (mutants, complete): (Vec<_>, Vec<_>) = runs.iter().partition(|r| r.mutant.is_some());
    let states: usize = complete.iter().map(|r| r.verdict.states).sum();
    let caught = mutants.iter().filter(|r| r.is_good()).count();
    println!(
        "properties={PROPERTIES} states={states} mutants={} mutants_caught={caught}",
        mutants.len()
    );
    eyre::ensure!(
        runs.iter().all(Run::is_good),
        "a property does not hold or a mutant was not noticed"
    );
    Ok(())
}
