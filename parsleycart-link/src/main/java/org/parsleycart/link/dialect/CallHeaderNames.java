package org.parsleycart.link.dialect;

import static java.util.Objects.requireNonNull;

import io.undertow.util.HttpString;
import java.util.Set;

/**
 * The names of the headers that callers, daemons and upstreams exchange.
 *
 * @param requestIdentifier identifies one attempt of a caller; upstreams echo it
 * @param deadline the time for which the sender waits, in milliseconds
 * @param expectedInstance the identifier of the only upstream that may run the request
 * @param callerService the service on the VM of the daemon that received the request
 * @param notRun set in answers if the upstream did not run the request
 * @param organisation the name of the organisation whose key came with the request
 */
public record CallHeaderNames(
    HttpString requestIdentifier,
    HttpString deadline,
    HttpString expectedInstance,
    HttpString callerService,
    HttpString notRun,
    HttpString organisation) {

  // -- construction

  public CallHeaderNames {
    requireNonNull(requestIdentifier, "requestIdentifier is null");
    requireNonNull(deadline, "deadline is null");
    requireNonNull(expectedInstance, "expectedInstance is null");
    requireNonNull(callerService, "callerService is null");
    requireNonNull(notRun, "notRun is null");
    requireNonNull(organisation, "organisation is null");
  }

  // -- queries

  /**
   * Returns the request headers that the mesh sets, overwriting those of the sender. The header of
   * the organisation is not among them, as it is controlled only where organisations are
   * configured.
   */
  public Set<HttpString> meshControlledHeaders() {
    return Set.of(deadline, expectedInstance, callerService);
  }
}
