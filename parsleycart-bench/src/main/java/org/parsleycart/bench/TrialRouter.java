package org.parsleycart.bench;

import java.util.HashSet;
import java.util.Set;
import org.parsleycart.decision.routing.RetryBudget;
import org.parsleycart.decision.routing.RetryPolicy;
import org.parsleycart.decision.routing.UpstreamLoadTable;
import org.parsleycart.decision.routing.UpstreamSelection;

/** The routing state of a simulated daemon that receives calls. */
final class TrialRouter {
  final UpstreamLoadTable loadTable = new UpstreamLoadTable();
  final UpstreamSelection selection = new UpstreamSelection(loadTable);
  final RetryPolicy retryPolicy = new RetryPolicy(new RetryBudget());
  final Set<String> withdrawnZones = new HashSet<>();
  String zone;

  /** Counts round-robin selections, for the baselines. */
  int roundRobinIndex;
}
