package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import java.time.InstantSource;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.parsleycart.daemon.report.CallLog;
import org.parsleycart.daemon.report.CallMetrics;
import org.parsleycart.daemon.report.CallTracing;
import org.parsleycart.daemon.settings.DaemonLimits;
import org.parsleycart.daemon.state.MeshState;
import org.parsleycart.decision.routing.RetryPolicy;
import org.parsleycart.decision.routing.UpstreamLoadTable;
import org.parsleycart.decision.routing.UpstreamSelection;
import org.parsleycart.link.dialect.Dialect;

/**
 * What the entry works with.
 *
 * @param state the mesh as this daemon knows it
 * @param identifier this daemon
 * @param loads the loads of upstreams
 * @param selection chooses upstreams
 * @param retries decides on retries
 * @param admission admits calls to upstreams beside this daemon
 * @param forwarder sends calls to other daemons
 * @param signature signs calls to other daemons
 * @param dialect how callers speak
 * @param refusals writes the answers of the mesh itself
 * @param hop the hop to other daemons
 * @param metrics counts calls
 * @param log writes a line for each decision on a request
 * @param tracing starts spans
 * @param limits bounds of bodies
 * @param delays tells how long requests waited to be read
 * @param clock the time
 * @param random gives the calling thread its source of choices
 */
public record EntryDependencies(
    MeshState state,
    String identifier,
    UpstreamLoadTable loads,
    UpstreamSelection selection,
    RetryPolicy retries,
    AdmissionService admission,
    Forwarder forwarder,
    CallSigner signature,
    Dialect dialect,
    MeshResponses refusals,
    HopPolicy hop,
    CallMetrics metrics,
    CallLog log,
    CallTracing tracing,
    DaemonLimits limits,
    ReadDelays delays,
    InstantSource clock,
    Supplier<RandomGenerator> random) {

  // -- construction

  public EntryDependencies {
    requireNonNull(state, "state is null");
    requireNonNull(identifier, "identifier is null");
    requireNonNull(loads, "loads is null");
    requireNonNull(selection, "selection is null");
    requireNonNull(retries, "retries is null");
    requireNonNull(admission, "admission is null");
    requireNonNull(forwarder, "forwarder is null");
    requireNonNull(signature, "signature is null");
    requireNonNull(dialect, "dialect is null");
    requireNonNull(refusals, "refusals is null");
    requireNonNull(hop, "hop is null");
    requireNonNull(metrics, "metrics is null");
    requireNonNull(log, "log is null");
    requireNonNull(tracing, "tracing is null");
    requireNonNull(limits, "limits is null");
    requireNonNull(delays, "delays is null");
    requireNonNull(clock, "clock is null");
    requireNonNull(random, "random is null");
  }
}
