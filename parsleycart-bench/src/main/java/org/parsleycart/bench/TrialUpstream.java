package org.parsleycart.bench;

import java.util.ArrayDeque;
import java.util.Deque;
import org.parsleycart.decision.admission.AdmissionControl;
import org.parsleycart.decision.routing.Candidate;
import org.parsleycart.standin.UpstreamModel;

/** A simulated upstream with the admission control of the daemon beside it. */
final class TrialUpstream {
  Candidate candidate;
  UpstreamModel model;
  AdmissionControl<TrialCall> admission;

  /** Waiting calls of the baseline with a fixed limit. */
  final Deque<TrialCall> waitingCalls = new ArrayDeque<>();

  boolean down;
  boolean failing;
  boolean withdrawn;
}
