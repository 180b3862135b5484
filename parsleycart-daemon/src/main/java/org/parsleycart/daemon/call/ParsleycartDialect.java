package org.parsleycart.daemon.call;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.parsleycart.decision.admission.UpstreamNotice;
import org.parsleycart.decision.membership.UpstreamHeartbeat;
import org.parsleycart.link.dialect.CallHeaderNames;
import org.parsleycart.link.dialect.DecimalHeader;
import org.parsleycart.link.dialect.Dialect;
import org.parsleycart.model.document.Problem;
import org.parsleycart.model.document.SourceLocation;

/**
 * The product's own dialect. It has no heartbeats: upstreams announce themselves at the operators'
 * API.
 */
public final class ParsleycartDialect implements Dialect {
  private static final CallHeaderNames HEADERS =
      new CallHeaderNames(
          CallHeaders.REQUEST_IDENTIFIER,
          CallHeaders.DEADLINE,
          new HttpString(CallHeaders.PREFIX + "expected-upstream"),
          new HttpString(CallHeaders.PREFIX + "caller-service"),
          new HttpString(CallHeaders.PREFIX + "not-run"),
          CallHeaders.ORGANISATION);

  private static final HttpString CALLS_PER_SECOND =
      new HttpString(CallHeaders.PREFIX + "calls-per-second");

  private static final HttpString LEAVING = new HttpString(CallHeaders.PREFIX + "leaving");

  // -- Dialect

  @Override
  public CallHeaderNames headers() {
    return HEADERS;
  }

  @Override
  public Either<String, UpstreamNotice> notice(HeaderMap answerHeaders) {
    boolean isLeaving = "true".equals(answerHeaders.getFirst(LEAVING));
    return DecimalHeader.read(answerHeaders, CALLS_PER_SECOND)
        .map(callsPerSecond -> new UpstreamNotice(callsPerSecond, isLeaving));
  }

  @Override
  public String readinessPath() {
    return "/readyz";
  }

  @Override
  public boolean isRequestIdentifiedByCaller() {
    return false;
  }

  @Override
  public Optional<String> heartbeatSender(String path) {
    return Optional.empty();
  }

  @Override
  public Optional<String> deregisteringUpstream(String path) {
    return Optional.empty();
  }

  @Override
  public Either<List<Problem>, UpstreamHeartbeat> heartbeat(String identifier, byte[] body) {
    return Either.left(
        List.of(new Problem(SourceLocation.ofRoot("heartbeat"), "a heartbeat", "an announcement")));
  }
}
