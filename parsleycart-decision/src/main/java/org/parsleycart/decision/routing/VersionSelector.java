package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.util.Set;

/** Selects the versions of a service that may receive a call. */
public sealed interface VersionSelector {

  // -- construction

  /** Returns a selector that matches one version. */
  static VersionSelector only(String version) {
    return new Only(version);
  }

  /** Returns a selector that matches all versions except the given ones. */
  static VersionSelector allExcept(Set<String> versions) {
    return new AllExcept(versions);
  }

  // -- queries

  /** Returns whether the version may receive the call. */
  boolean matches(String version);

  /** Matches one version. */
  record Only(String version) implements VersionSelector {
    public Only {
      requireNonNull(version, "version is null");
    }

    @Override
    public boolean matches(String candidate) {
      return version.equals(candidate);
    }
  }

  /** Matches all versions except the given ones. */
  record AllExcept(Set<String> versions) implements VersionSelector {
    public AllExcept {
      versions = Set.copyOf(versions);
    }

    @Override
    public boolean matches(String candidate) {
      return !versions.contains(candidate);
    }
  }
}
