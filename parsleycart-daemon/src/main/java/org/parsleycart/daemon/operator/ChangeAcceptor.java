package org.parsleycart.daemon.operator;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.util.Optional;
import org.parsleycart.daemon.control.GossipWorker;
import org.parsleycart.model.ConfigurationChange;
import org.parsleycart.store.AcceptanceError;
import org.parsleycart.store.ConfigurationAuthority;

/**
 * Accepts configuration changes and announces each new version to the other daemons immediately.
 */
public final class ChangeAcceptor {
  private final ConfigurationAuthority authority;
  private final GossipWorker gossip;

  // -- construction

  public ChangeAcceptor(ConfigurationAuthority authority, GossipWorker gossip) {
    this.authority = requireNonNull(authority, "authority is null");
    this.gossip = requireNonNull(gossip, "gossip is null");
  }

  // -- operation

  /**
   * Accepts a change as {@link ConfigurationAuthority#accept} does and announces the new version by
   * gossip.
   */
  public Either<AcceptanceError, Long> accept(ConfigurationChange change, Optional<Long> basedOn) {
    return authority
        .accept(change, basedOn)
        .peek(version -> gossip.submit((protocol, pullPlanner) -> protocol.announce()));
  }
}
