package org.parsleycart.daemon.call;

import io.undertow.util.HttpString;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.parsleycart.decision.routing.Candidate;

/** The headers that an entry adds to a call to another daemon. */
final class DaemonCallHeaders {
  private DaemonCallHeaders() {}

  /**
   * Returns the headers of a call.
   *
   * @param remaining the time until the deadline of the call
   */
  static Map<HttpString, String> of(
      EntryDependencies dependencies,
      RoutedRequest request,
      Candidate candidate,
      String traceParent,
      Duration remaining) {
    String route = request.route().name();
    Optional<String> organisation = request.organisationName();
    Map<HttpString, String> headers = new LinkedHashMap<>();
    headers.put(CallHeaders.UPSTREAM, candidate.identifier());
    headers.put(CallHeaders.ROUTE, route);
    organisation.ifPresent(name -> headers.put(CallHeaders.ORGANISATION, name));
    if (request.isNested()) {
      headers.put(CallHeaders.NESTED, Boolean.TRUE.toString());
    }
    CallHeaders.putTraceParent(headers, traceParent);
    headers.put(
        CallHeaders.SIGNATURE,
        dependencies
            .signer()
            .sign(request.identifier(), candidate.identifier(), route, organisation));
    headers.put(CallHeaders.DEADLINE, Long.toString(Math.max(0, remaining.toMillis())));
    dependencies
        .state()
        .callerService()
        .ifPresent(
            service -> headers.put(dependencies.dialect().headers().callerService(), service));
    return headers;
  }
}
