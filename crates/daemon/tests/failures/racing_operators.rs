use std::thread;

use serde_json::Value;
use serde_json::json;

use crate::support::Stage;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

const ROUNDS: u64 = 5;

/// Operators at three daemons change the same revision at once, again and again:
/// one of them wins each time, the others are shown the winner's revision, and
/// every daemon comes to the same document.
#[test]
fn one_of_several_racing_operators_wins() {
    let stage = Stage::set("racing_operators", FleetPlan::default());
    let operators = stage.operators();
    for round in 0..ROUNDS {
        let (_, view) = call_json(operators[0], "GET", "/v1/document", &Value::Null)
            .expect("the document is shown");
        let text = view["text"].as_str().expect("a text is a text").to_owned();
        let answers: Vec<(u16, Value)> = thread::scope(|scope| {
            let threads: Vec<_> = operators
                .iter()
                .enumerate()
                .map(|(place, address)| {
                    let change = json!({
                        "based_on": view["revision"],
                        "text": format!("{text}; round {round} of operator {place}\n"),
                        "author": format!("operator-{place}"),
                    });
                    scope.spawn(move || {
                        call_json(*address, "PUT", "/v1/document", &change)
                            .expect("a change is answered")
                    })
                })
                .collect();
            threads
                .into_iter()
                .map(|thread| thread.join().expect("an operator's call ends"))
                .collect()
        });
        let won: Vec<&Value> = answers
            .iter()
            .filter(|(status, _)| *status == 200)
            .map(|(_, answer)| &answer["revision"])
            .collect();
        assert_eq!(won.len(), 1, "{answers:?}");
        for (_, conflict) in answers.iter().filter(|(status, _)| *status != 200) {
            assert_eq!(&conflict["current"]["revision"], won[0], "{conflict}");
        }
        for address in &operators {
            wait_until("the winner is in force", || {
                let (_, shown) = call_json(*address, "GET", "/v1/document", &Value::Null)?;
                (shown["revision"] == *won[0]).then_some(())
            });
        }
    }
}
