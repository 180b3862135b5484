package org.parsleycart.bench;

import java.util.HashSet;
import java.util.Set;
import org.parsleycart.decision.routing.RetryBudget;
import org.parsleycart.decision.routing.RetryPolicy;
import org.parsleycart.decision.routing.UpstreamLoadTable;
import org.parsleycart.decision.routing.UpstreamSelection;

/** An entry of a trial with what it knows of loads and zones. */
final class TrialEntry {
  final UpstreamLoadTable loads = new UpstreamLoadTable();
  final UpstreamSelection selection = new UpstreamSelection(loads);
  final RetryPolicy retries = new RetryPolicy(new RetryBudget());
  final Set<String> withdrawnZones = new HashSet<>();
  String zone;
  int turn;
}
