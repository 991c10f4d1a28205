//! The decisions of one row of a table.

use crate::PlacementMode;
use crate::PolicyFeature;
use crate::RoutingMode;
use crate::TableKind;

/// The decisions in force in a run.
#[derive(Clone, Debug)]
pub struct PolicySet {
    /// The name of the row.
    pub name: String,
    /// How a worker is chosen.
    pub placement: PlacementMode,
    /// How a runner is chosen.
    pub routing: RoutingMode,
    features: Vec<PolicyFeature>,
}

impl PolicySet {
    /// Every decision of the product.
    #[must_use]
    pub fn chosen() -> Self {
        Self {
            name: "chosen".to_owned(),
            placement: PlacementMode::Chosen,
            routing: RoutingMode::Chosen,
            features: PolicyFeature::ALL.to_vec(),
        }
    }

    /// The chosen policy without one decision.
    #[must_use]
    pub fn without(feature: PolicyFeature) -> Self {
        let mut set = Self::chosen();
        set.name = format!("without {feature}");
        set.features.retain(|kept| *kept != feature);
        set
    }

    /// The rows of `table`, the chosen policy first.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_experiment::PolicySet;
    /// use sapphirestile_experiment::TableKind;
    ///
    /// let rows = PolicySet::rows_of(TableKind::Baselines);
    /// assert_eq!(rows[0].name, "chosen");
    /// assert_eq!(rows.len(), 6);
    /// ```
    #[must_use]
    pub fn rows_of(table: TableKind) -> Vec<Self> {
        let mut rows = vec![Self::chosen()];
        match table {
            TableKind::Baselines => rows.extend(baselines()),
            TableKind::Without => rows.extend(PolicyFeature::ALL.map(Self::without)),
            TableKind::Routing => rows.extend(routings()),
        }
        rows
    }

    /// Whether `feature` is in force.
    #[must_use]
    pub fn has(&self, feature: PolicyFeature) -> bool {
        self.features.contains(&feature)
    }
}

fn baselines() -> Vec<PolicySet> {
    let plain = |name: &str, placement, routing| PolicySet {
        name: name.to_owned(),
        placement,
        routing,
        features: vec![PolicyFeature::Colocation],
    };
    let named = |name: &str, feature| PolicySet {
        name: name.to_owned(),
        ..PolicySet::without(feature)
    };
    vec![
        plain("random", PlacementMode::Random, RoutingMode::Random),
        plain(
            "round robin",
            PlacementMode::RoundRobin,
            RoutingMode::RoundRobin,
        ),
        plain(
            "least loaded",
            PlacementMode::LeastLoaded,
            RoutingMode::LeastLoaded,
        ),
        named("no colocation", PolicyFeature::Colocation),
        named("declared sizes", PolicyFeature::MeasuredSizes),
    ]
}

fn routings() -> Vec<PolicySet> {
    let named = |name: &str, routing| PolicySet {
        name: name.to_owned(),
        routing,
        ..PolicySet::chosen()
    };
    vec![
        named("random routing", RoutingMode::Random),
        named("round robin routing", RoutingMode::RoundRobin),
        named("least loaded routing", RoutingMode::LeastLoaded),
        named("sticky routing", RoutingMode::Sticky),
    ]
}
