package org.parsleycart.daemon.settings;

import org.parsleycart.daemon.call.OwnDialect;
import org.parsleycart.link.dialect.Dialect;
import org.parsleycart.platform.PlatformDialect;

/** The interfaces that a daemon can serve. */
public enum DialectName {
  /** The product's own: operators send changes to daemons, upstreams announce themselves. */
  PARSLEYCART("parsleycart") {
    @Override
    public Dialect create() {
      return new OwnDialect();
    }
  },
  /** The platform's: operators write documents to its store, servers send heartbeats. */
  PLATFORM("platform") {
    @Override
    public Dialect create() {
      return new PlatformDialect();
    }
  };

  private final String label;

  DialectName(String label) {
    this.label = label;
  }

  /** Returns the names and forms of this interface. */
  public abstract Dialect create();

  @Override
  public String toString() {
    return label;
  }
}
