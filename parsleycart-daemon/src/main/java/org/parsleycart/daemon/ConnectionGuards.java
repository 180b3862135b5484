package org.parsleycart.daemon;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.InstantSource;
import org.parsleycart.daemon.call.ConnectionGuard;
import org.parsleycart.daemon.settings.ProtectionSettings;

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

  // -- construction

  static ConnectionGuards create(
      ProtectionSettings settings, Telemetry telemetry, InstantSource clock) {
    return new ConnectionGuards(
        guard("callers", settings.callerConnections(), settings, telemetry, clock),
        guard("daemons", settings.daemonConnections(), settings, telemetry, clock),
        guard("operators", settings.operatorConnections(), settings, telemetry, clock));
  }

  private static ConnectionGuard guard(
      String name,
      int maximumConnections,
      ProtectionSettings settings,
      Telemetry telemetry,
      InstantSource clock) {
    ConnectionGuard guard =
        new ConnectionGuard(
            name,
            maximumConnections,
            settings.pipelinedRequests(),
            settings.limits(),
            clock,
            telemetry.callLog());
    register(telemetry.registry(), name, guard);
    return guard;
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
    FunctionCounter.builder("parsleycart.connections.refused", guard, ConnectionGuard::refusedCount)
        .tag("listener", name)
        .register(registry);
  }
}
