package org.parsleycart.daemon;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.function.ToDoubleFunction;
import org.parsleycart.daemon.call.CallsInProgress;
import org.parsleycart.daemon.call.LocalUpstreams;
import org.parsleycart.daemon.control.GossipWorker;
import org.parsleycart.daemon.control.PeerSyncWorker;
import org.parsleycart.daemon.control.UsageStatistics;
import org.parsleycart.daemon.state.MeshState;
import org.parsleycart.decision.quarantine.RequestQuarantine;
import org.parsleycart.link.ControlTrafficCounters;

/** Registers the gauges and counters of the background workers and of the call path. */
final class DaemonMetrics {
  private DaemonMetrics() {}

  /** Registers every meter, with a name that begins with {@code parsleycart.}. */
  static void register(
      MeterRegistry registry,
      MeshState state,
      ControlTrafficCounters counters,
      GossipWorker gossip,
      PeerSyncWorker peerSync,
      LocalUpstreams upstreams,
      CallsInProgress callsInProgress) {
    gauge(registry, "configuration.version", state, source -> source.configuration().version());
    gauge(registry, "ready", state, source -> source.isReady() ? 1 : 0);
    gauge(registry, "isolated", state, source -> source.isIsolated() ? 1 : 0);
    gauge(registry, "members", gossip, source -> source.view().size());
    gauge(registry, "upstreams.beside", upstreams, source -> source.announced().size());
    gauge(registry, "upstreams.rate.limited", upstreams, LocalUpstreams::rateLimitedCount);
    gauge(registry, "requests.quarantined", state.quarantine(), RequestQuarantine::quarantined);
    gauge(registry, "calls.in.progress", callsInProgress, CallsInProgress::count);
    counter(registry, "control.sent.bytes", counters, ControlTrafficCounters::sentBytes);
    counter(registry, "control.sent.messages", counters, ControlTrafficCounters::sentMessages);
    counter(registry, "control.received.bytes", counters, ControlTrafficCounters::receivedBytes);
    counter(
        registry, "control.received.messages", counters, ControlTrafficCounters::receivedMessages);
    counter(
        registry, "control.rejected.messages", counters, ControlTrafficCounters::rejectedMessages);
    counter(registry, "configuration.pulls.failed", peerSync, PeerSyncWorker::failedPulls);
    counter(registry, "gossip.dropped.commands", gossip, GossipWorker::droppedCommands);
  }

  /** Registers the meters of the usage duty. */
  static void registerUsage(MeterRegistry registry, UsageStatistics statistics) {
    gauge(registry, "usage.token", statistics, UsageStatistics::token);
    gauge(registry, "usage.report.age.seconds", statistics, UsageStatistics::reportAgeSeconds);
    counter(registry, "usage.reports", statistics, UsageStatistics::reports);
    counter(registry, "usage.report.failures", statistics, UsageStatistics::failures);
    counter(registry, "usage.missing.daemons", statistics, UsageStatistics::missing);
    counter(registry, "usage.abandoned.windows", statistics, UsageStatistics::abandoned);
  }

  private static <T> void gauge(
      MeterRegistry registry, String name, T source, ToDoubleFunction<T> value) {
    Gauge.builder("parsleycart." + name, source, value).strongReference(true).register(registry);
  }

  private static <T> void counter(
      MeterRegistry registry, String name, T source, ToDoubleFunction<T> value) {
    FunctionCounter.builder("parsleycart." + name, source, value).register(registry);
  }
}
