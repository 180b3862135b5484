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
 * @param daemonIdentifier this daemon
 * @param loads the loads of upstreams
 * @param selection chooses upstreams
 * @param retries decides on retries
 * @param admission admits calls to upstreams beside this daemon
 * @param forwarder sends calls to other daemons
 * @param signer signs calls to other daemons
 * @param dialect how callers speak
 * @param responses writes the answers of the mesh itself
 * @param daemonHop the hop to other daemons
 * @param metrics counts calls
 * @param log writes a line for each decision on a request
 * @param tracing starts spans
 * @param limits bounds of bodies
 * @param readDelays tells how long requests waited to be read
 * @param clock the time
 * @param random gives the calling thread its source of choices
 */
public record EntryDependencies(
    MeshState state,
    String daemonIdentifier,
    UpstreamLoadTable loads,
    UpstreamSelection selection,
    RetryPolicy retries,
    AdmissionService admission,
    Forwarder forwarder,
    CallSigner signer,
    Dialect dialect,
    MeshResponses responses,
    HopPolicy daemonHop,
    CallMetrics metrics,
    CallLog log,
    CallTracing tracing,
    DaemonLimits limits,
    ReadDelays readDelays,
    InstantSource clock,
    Supplier<RandomGenerator> random) {

  // -- construction

  public EntryDependencies {
    requireNonNull(state, "state is null");
    requireNonNull(daemonIdentifier, "daemonIdentifier is null");
    requireNonNull(loads, "loads is null");
    requireNonNull(selection, "selection is null");
    requireNonNull(retries, "retries is null");
    requireNonNull(admission, "admission is null");
    requireNonNull(forwarder, "forwarder is null");
    requireNonNull(signer, "signer is null");
    requireNonNull(dialect, "dialect is null");
    requireNonNull(responses, "responses is null");
    requireNonNull(daemonHop, "daemonHop is null");
    requireNonNull(metrics, "metrics is null");
    requireNonNull(log, "log is null");
    requireNonNull(tracing, "tracing is null");
    requireNonNull(limits, "limits is null");
    requireNonNull(readDelays, "readDelays is null");
    requireNonNull(clock, "clock is null");
    requireNonNull(random, "random is null");
  }
}
