package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.parsleycart.daemon.call.LocalUpstreams;
import org.parsleycart.daemon.report.CallStatistics;
import org.parsleycart.decision.message.ControlMessage.EvidenceAnswer;
import org.parsleycart.decision.message.VersionLoad;

/**
 * The evidence that this daemon contributes to the evaluation of a rollout: call counts, and the
 * load of its local upstreams. Safe for use by several threads.
 */
public final class LocalEvidence {
  private final CallStatistics callStatistics;
  private final LocalUpstreams upstreams;

  // -- construction

  public LocalEvidence(CallStatistics callStatistics, LocalUpstreams upstreams) {
    this.callStatistics = requireNonNull(callStatistics, "callStatistics is null");
    this.upstreams = requireNonNull(upstreams, "upstreams is null");
  }

  // -- queries

  /**
   * Returns the call counts of a service and the load of its local upstreams that are not draining.
   */
  public EvidenceAnswer forService(String service) {
    requireNonNull(service, "service is null");
    List<VersionLoad> loads =
        upstreams.view().stream()
            .filter(upstream -> upstream.announced().service().equals(service))
            .filter(upstream -> !upstream.announced().draining())
            .map(
                upstream ->
                    new VersionLoad(
                        upstream.announced().version(),
                        upstream.load().outstandingCalls(),
                        upstream.load().limit()))
            .toList();
    return new EvidenceAnswer(callStatistics.forService(service), loads);
  }
}
