package org.parsleycart.daemon.settings;

import java.time.Duration;
import org.parsleycart.daemon.call.ParsleycartDialect;
import org.parsleycart.link.dialect.Dialect;
import org.parsleycart.platform.PlatformDialect;

/** The dialects in which a daemon can communicate with callers, upstreams and operators. */
public enum DialectName {
  /**
   * The dialect of this project: operators send changes to daemons, and upstreams announce
   * themselves.
   */
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
  /**
   * The dialect of the platform: operators write documents to its store, and upstreams send
   * heartbeats.
   */
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

  /**
   * Longer than the usual delay of the platform feed, and a third of the time in which a version
   * must take effect.
   */
  private static final Duration PEER_PULL_DELAY = Duration.ofMillis(600);

  private final String label;

  DialectName(String label) {
    this.label = label;
  }

  /**
   * Returns how long a watcher waits for a new version from the platform before it pulls the
   * version from peers.
   */
  public abstract Duration peerPullDelay();

  /** Creates the dialect: its header names, paths and message formats. */
  public abstract Dialect create();

  @Override
  public String toString() {
    return label;
  }
}
