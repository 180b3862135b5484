package org.parsleycart.link.dialect;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.parsleycart.decision.membership.UpstreamHeartbeat;
import org.parsleycart.model.document.Problem;

/** How callers, upstreams and checks of readiness speak to a daemon. */
public interface Dialect {

  /** Returns the names of the headers. */
  CallHeaderNames headers();

  /** Returns the path at which the readiness of the daemon is asked for. */
  String readinessPath();

  /**
   * Returns whether the caller names its request, upstreams echo that name, and answers carry no
   * headers of the mesh. Otherwise the entry names the request.
   */
  boolean isRequestIdentifiedByCaller();

  /** Returns the identifier of the upstream whose heartbeat is posted to the path. */
  Optional<String> heartbeatSender(String path);

  /** Returns the identifier of the upstream whose departure is posted to the path. */
  Optional<String> deregisteringUpstream(String path);

  /**
   * Reads a heartbeat.
   *
   * @param identifier the identifier of the upstream
   * @param body the body of the call
   * @return the heartbeat, or every fault of the body
   */
  Either<List<Problem>, UpstreamHeartbeat> heartbeat(String identifier, byte[] body);
}
