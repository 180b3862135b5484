package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.util.HttpString;
import java.util.Set;
import org.parsleycart.link.dialect.Dialect;

/**
 * The kind of process to which an attempt goes.
 *
 * @param identifierHeader the header that names the request, which the answer echoes
 * @param requiresEcho whether an answer without that header is none to the request
 * @param allowsUnframedResponse whether an answer without a length may end with its connection
 * @param replacedHeaders the headers of the sender that are not passed on
 */
public record HopPolicy(
    HttpString identifierHeader,
    boolean requiresEcho,
    boolean allowsUnframedResponse,
    Set<HttpString> replacedHeaders) {

  // -- construction

  public HopPolicy {
    requireNonNull(identifierHeader, "identifierHeader is null");
    replacedHeaders = Set.copyOf(replacedHeaders);
  }

  /** Returns the hop from an entry to the daemon beside an upstream. */
  public static HopPolicy toDaemon(Dialect dialect) {
    return new HopPolicy(
        CallHeaders.REQUEST_IDENTIFIER, true, false, dialect.headers().meshControlledHeaders());
  }

  /** Returns the hop from the entry itself to an upstream beside it. */
  public static HopPolicy fromEntryToUpstream(Dialect dialect) {
    return toUpstream(dialect, dialect.headers().meshControlledHeaders());
  }

  /** Returns the hop to an upstream of a call that came from another daemon. */
  public static HopPolicy fromDaemonToUpstream(Dialect dialect) {
    return toUpstream(
        dialect, Set.of(dialect.headers().deadline(), dialect.headers().expectedInstance()));
  }

  private static HopPolicy toUpstream(Dialect dialect, Set<HttpString> replacedHeaders) {
    boolean named = dialect.isRequestIdentifiedByCaller();
    return new HopPolicy(dialect.headers().requestIdentifier(), named, named, replacedHeaders);
  }
}
