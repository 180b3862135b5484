package org.parsleycart.link.dialect;

import static java.util.Objects.requireNonNull;

import io.undertow.util.HttpString;
import java.util.Set;

/**
 * The names of the headers that callers, daemons and upstreams exchange.
 *
 * @param requestIdentifier names one attempt of a caller; upstreams echo it
 * @param deadline the milliseconds for which the sender waits
 * @param expectedInstance the identifier of the only upstream that may run the request
 * @param callerService the service beside the daemon that took the request
 * @param notRun in answers: the upstream did not run the request
 */
public record CallHeaderNames(
    HttpString requestIdentifier,
    HttpString deadline,
    HttpString expectedInstance,
    HttpString callerService,
    HttpString notRun) {

  // -- construction

  public CallHeaderNames {
    requireNonNull(requestIdentifier, "requestIdentifier is null");
    requireNonNull(deadline, "deadline is null");
    requireNonNull(expectedInstance, "expectedInstance is null");
    requireNonNull(callerService, "callerService is null");
    requireNonNull(notRun, "notRun is null");
  }

  // -- queries

  /** Returns the headers of requests that the mesh sets, whatever the sender put there. */
  public Set<HttpString> meshControlledHeaders() {
    return Set.of(deadline, expectedInstance, callerService);
  }
}
