package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.util.HttpString;
import java.util.Set;
import org.parsleycart.link.dialect.Dialect;

/**
 * The kind of process to which an attempt goes.
 *
 * @param identifierHeader the header that names the request, which the answer echoes
 * @param mustEcho whether an answer without that header is none to the request
 * @param mayEndWithConnection whether an answer without a length may end with its connection
 * @param replaced the headers of the sender that are not passed on
 */
public record Hop(
    HttpString identifierHeader,
    boolean mustEcho,
    boolean mayEndWithConnection,
    Set<HttpString> replaced) {

  // -- construction

  public Hop {
    requireNonNull(identifierHeader, "identifierHeader is null");
    replaced = Set.copyOf(replaced);
  }

  /** Returns the hop from an entry to the daemon beside an upstream. */
  public static Hop toDaemon(Dialect dialect) {
    return new Hop(CallHeaders.REQUEST_IDENTIFIER, true, false, dialect.headers().setByMesh());
  }

  /** Returns the hop from the entry itself to an upstream beside it. */
  public static Hop fromEntryToUpstream(Dialect dialect) {
    return toUpstream(dialect, dialect.headers().setByMesh());
  }

  /** Returns the hop to an upstream of a call that came from another daemon. */
  public static Hop fromDaemonToUpstream(Dialect dialect) {
    return toUpstream(
        dialect, Set.of(dialect.headers().deadline(), dialect.headers().expectedInstance()));
  }

  private static Hop toUpstream(Dialect dialect, Set<HttpString> replaced) {
    boolean named = dialect.isNamedByCaller();
    return new Hop(dialect.headers().requestIdentifier(), named, named, replaced);
  }
}
