package org.parsleycart.daemon.settings;

import java.time.Duration;
import org.parsleycart.daemon.call.ParsleycartDialect;
import org.parsleycart.link.dialect.Dialect;
import org.parsleycart.platform.PlatformDialect;

/** The interfaces that a daemon can serve. */
public enum DialectName {
  /** The product's own: operators send changes to daemons, upstreams announce themselves. */
  PARSLEYCART("parsleycart") {
    @Override
    public Dialect create() {
      return new ParsleycartDialect();
    }

    @Override
    public Duration peerPullDelay() {
      return Duration.ZERO;
    }
  },
  /** The platform's: operators write documents to its store, servers send heartbeats. */
  PLATFORM("platform") {
    @Override
    public Dialect create() {
      return new PlatformDialect();
    }

    @Override
    public Duration peerPullDelay() {
      return PEER_PULL_DELAY;
    }
  };

  /** Above the usual delay of the platform's feed, and a third of the time for a version. */
  private static final Duration PEER_PULL_DELAY = Duration.ofMillis(600);

  private final String label;

  DialectName(String label) {
    this.label = label;
  }

  /** Returns how long a daemon's own reading of the platform may take before peers are asked. */
  public abstract Duration peerPullDelay();

  /** Returns the names and forms of this interface. */
  public abstract Dialect create();

  @Override
  public String toString() {
    return label;
  }
}
