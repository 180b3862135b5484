package org.parsleycart.link.dialect;

import io.undertow.util.HeaderMap;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.parsleycart.decision.admission.UpstreamNotice;
import org.parsleycart.decision.membership.UpstreamHeartbeat;
import org.parsleycart.model.document.Problem;

/** The HTTP conventions of the callers, upstreams and readiness checks of a daemon. */
public interface Dialect {

  /** Returns the names of the headers. */
  CallHeaderNames headers();

  /**
   * Reads what an upstream states about itself in the headers of an answer.
   *
   * @return the notice, or what is wrong with a malformed header
   */
  Either<String, UpstreamNotice> notice(HeaderMap answerHeaders);

  /** Returns the path of the readiness check of the daemon. */
  String readinessPath();

  /**
   * Returns whether the caller supplies the identifier of its request. In this case upstreams echo
   * the identifier and answers carry no headers of the mesh. Otherwise the daemon that receives the
   * request from the caller assigns the identifier.
   */
  boolean isRequestIdentifiedByCaller();

  /**
   * Returns the identifier of the upstream whose heartbeat is posted to the path, or empty for any
   * other path.
   */
  Optional<String> heartbeatSender(String path);

  /**
   * Returns the identifier of the upstream whose deregistration is posted to the path, or empty for
   * any other path.
   */
  Optional<String> deregisteringUpstream(String path);

  /**
   * Reads a heartbeat.
   *
   * @param identifier the identifier of the upstream
   * @param body the body of the request
   * @return the heartbeat, or all problems in the body
   */
  Either<List<Problem>, UpstreamHeartbeat> heartbeat(String identifier, byte[] body);
}
