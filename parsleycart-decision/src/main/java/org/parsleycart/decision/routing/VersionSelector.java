package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.util.Set;

/** Which versions of a service may take a call. */
public sealed interface VersionSelector {

  // -- construction

  /** Returns the selector of one version. */
  static VersionSelector only(String version) {
    return new Only(version);
  }

  /** Returns the selector of all versions but those given. */
  static VersionSelector allExcept(Set<String> versions) {
    return new AllExcept(versions);
  }

  // -- queries

  /** Returns whether the version may take the call. */
  boolean matches(String version);

  /** One version. */
  record Only(String version) implements VersionSelector {
    public Only {
      requireNonNull(version, "version is null");
    }

    @Override
    public boolean matches(String candidate) {
      return version.equals(candidate);
    }
  }

  /** All versions but some. */
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
