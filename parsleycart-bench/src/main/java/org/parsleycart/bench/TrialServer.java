package org.parsleycart.bench;

import java.util.ArrayDeque;
import java.util.Deque;
import org.parsleycart.decision.admission.AdmissionControl;
import org.parsleycart.decision.routing.Candidate;
import org.parsleycart.standin.UpstreamModel;

/** An upstream of a trial with the admission beside it. */
final class TrialServer {
  Candidate candidate;
  UpstreamModel model;
  AdmissionControl<TrialCall> admission;
  final Deque<TrialCall> queue = new ArrayDeque<>();
  boolean down;
  boolean failing;
  boolean withdrawn;
}
