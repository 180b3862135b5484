package org.parsleycart.decision.membership;

import static java.util.Objects.requireNonNull;

/**
 * A process of an upstream that has reported that it leaves. It gets no new calls, whatever arrives
 * from it afterwards.
 *
 * @param identifier the identifier of the upstream, which a later process may take over
 * @param startedAt the start of the process in milliseconds since the epoch; earlier processes have
 *     left too
 */
public record DepartedProcess(String identifier, long startedAt) {

  public DepartedProcess {
    requireNonNull(identifier, "identifier is null");
  }

  /** Returns the process that sent a heartbeat. */
  public static DepartedProcess of(UpstreamHeartbeat heartbeat) {
    return new DepartedProcess(heartbeat.upstream().identifier(), heartbeat.startedAt());
  }

  /** Returns whether the start of the process is known, so that a later one can be told from it. */
  public boolean isIdentified() {
    return startedAt > 0;
  }
}
