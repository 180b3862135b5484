package org.parsleycart.daemon;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.InstantSource;
import org.parsleycart.daemon.call.ConnectionGuard;
import org.parsleycart.daemon.settings.ProtectionSettings;
import org.parsleycart.decision.protection.MemoryBudget;

/**
 * The accounts of the connections to each group of listeners. A group that is full takes no
 * connections from the others.
 *
 * @param callers connections of callers
 * @param daemons connections of other daemons
 * @param operators connections to the addresses for operators and readiness
 */
record ConnectionGuards(
    ConnectionGuard callers, ConnectionGuard daemons, ConnectionGuard operators) {

  /** Each group is guaranteed this part of what clients may hold, whatever the others hold. */
  private static final int GUARANTEED_PARTS = 8;

  // -- construction

  static ConnectionGuards create(
      ProtectionSettings settings, Telemetry telemetry, InstantSource clock) {
    Groups groups =
        new Groups(
            settings,
            new MemoryBudget(settings.heldBytes()),
            new MemoryBudget(settings.bufferBytes()),
            telemetry,
            clock);
    return new ConnectionGuards(
        groups.add("callers", settings.callerConnections(), false),
        groups.add("daemons", settings.daemonConnections(), false),
        groups.add("operators", settings.operatorConnections(), true));
  }

  /** The groups of listeners, which divide what clients may hold between them. */
  private record Groups(
      ProtectionSettings settings,
      MemoryBudget heap,
      MemoryBudget buffers,
      Telemetry telemetry,
      InstantSource clock) {

    private ConnectionGuard add(String name, int maximumConnections, boolean needsParameters) {
      ConnectionGuard guard =
          new ConnectionGuard(
              name,
              maximumConnections,
              settings.pipelinedRequests(),
              settings.limits(),
              heap.addShare(settings.heldBytes() / GUARANTEED_PARTS),
              buffers.addShare(settings.bufferBytes() / GUARANTEED_PARTS),
              needsParameters,
              clock,
              telemetry.callLog());
      register(telemetry.registry(), name, guard);
      return guard;
    }
  }

  private static void register(MeterRegistry registry, String name, ConnectionGuard guard) {
    Gauge.builder("parsleycart.connections", guard, ConnectionGuard::connectionCount)
        .tag("listener", name)
        .strongReference(true)
        .register(registry);
    Gauge.builder("parsleycart.connections.held.bytes", guard, ConnectionGuard::heldBytes)
        .tag("listener", name)
        .register(registry);
    Gauge.builder("parsleycart.requests.pipelined", guard, ConnectionGuard::waitingPipelinedCount)
        .tag("listener", name)
        .register(registry);
    FunctionCounter.builder("parsleycart.connections.closed", guard, ConnectionGuard::closedCount)
        .tag("listener", name)
        .register(registry);
    FunctionCounter.builder(
            "parsleycart.requests.refused.memory", guard, ConnectionGuard::refusedRequestCount)
        .tag("listener", name)
        .register(registry);
    FunctionCounter.builder("parsleycart.connections.refused", guard, ConnectionGuard::refusedCount)
        .tag("listener", name)
        .register(registry);
  }
}
