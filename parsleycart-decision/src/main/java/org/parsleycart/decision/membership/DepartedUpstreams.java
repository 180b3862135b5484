package org.parsleycart.decision.membership;

import static java.util.Objects.requireNonNull;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers upstreams that have deregistered, so that a heartbeat sent before the deregistration
 * and delivered after it does not register them again. Not thread-safe: guarded by the lock of its
 * owner.
 */
public final class DepartedUpstreams {
  /** More upstreams than run beside one daemon in a day. The oldest entry is evicted first. */
  public static final int MAXIMUM_REMEMBERED = 64;

  private final Map<String, Long> departedProcessStarts = new LinkedHashMap<>();

  // -- events

  /** Records that a process has left, unless a later one of the same upstream has. */
  public void record(DepartedProcess departed) {
    requireNonNull(departed, "departed is null");
    Long before = departedProcessStarts.remove(departed.identifier());
    long startedAt = before == null ? departed.startedAt() : Math.max(before, departed.startedAt());
    departedProcessStarts.put(departed.identifier(), startedAt);
    if (departedProcessStarts.size() > MAXIMUM_REMEMBERED) {
      departedProcessStarts.remove(departedProcessStarts.keySet().iterator().next());
    }
  }

  // -- queries

  /** Returns whether the heartbeat comes from a process that has left. */
  public boolean hasLeft(UpstreamHeartbeat heartbeat) {
    return hasLeft(DepartedProcess.of(heartbeat));
  }

  /** Returns whether the process, or a later one of the same upstream, has left. */
  public boolean hasLeft(DepartedProcess process) {
    requireNonNull(process, "process is null");
    Long departedStart = departedProcessStarts.get(process.identifier());
    return departedStart != null && process.startedAt() <= departedStart;
  }

  /** Returns the last process of each upstream that has left, in the order of departure. */
  public List<DepartedProcess> all() {
    return departedProcessStarts.entrySet().stream()
        .map(entry -> new DepartedProcess(entry.getKey(), entry.getValue()))
        .toList();
  }
}
