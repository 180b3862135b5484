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
 * The objects that {@link EntryHandler} and its calls depend on.
 *
 * @param state the local view of the mesh
 * @param daemonIdentifier the identifier of this daemon
 * @param authentication authenticates the requests of callers
 * @param loads the loads of upstreams as observed by this daemon
 * @param admission admits calls to upstreams beside this daemon
 * @param forwarder forwards calls to other daemons
 * @param signer signs calls to other daemons
 * @param dialect the header names and conventions that callers use
 * @param responses writes responses that originate in the mesh
 * @param daemonHop the header and framing rules for calls to other daemons
 * @param log writes one line for each decision on a request
 * @param limits the limits on request bodies
 * @param readDelays measures how long requests wait before they are read
 * @param random supplies the random generator of the calling thread
 */
public record EntryDependencies(
    MeshState state,
    String daemonIdentifier,
    CallerAuthentication authentication,
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
    requireNonNull(authentication, "authentication is null");
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
