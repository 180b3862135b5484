package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.util.HttpString;
import java.util.Set;
import org.parsleycart.link.dialect.Dialect;

/**
 * The header and framing rules for calls to one kind of process.
 *
 * @param identifierHeader the header that carries the request identifier; the response echoes it
 * @param requiresEcho whether a response without that header is rejected; after one that is not
 *     rejected its connection is closed, because a copy of it could not be told from a later answer
 * @param allowsUnframedResponse whether a response without a length may end with its connection
 * @param replacedHeaders the headers of the received request that are not forwarded
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

  /** Returns the policy for calls from an entry to the daemon beside an upstream. */
  public static HopPolicy toDaemon(Dialect dialect) {
    return new HopPolicy(
        CallHeaders.REQUEST_IDENTIFIER, true, false, dialect.headers().meshControlledHeaders());
  }

  /** Returns the policy for calls from an entry to an upstream beside it. */
  public static HopPolicy fromEntryToUpstream(Dialect dialect) {
    return toUpstream(dialect, dialect.headers().meshControlledHeaders());
  }

  /** Returns the policy for calls that came from another daemon to an upstream beside this one. */
  public static HopPolicy fromDaemonToUpstream(Dialect dialect) {
    return toUpstream(
        dialect, Set.of(dialect.headers().deadline(), dialect.headers().expectedInstance()));
  }

  private static HopPolicy toUpstream(Dialect dialect, Set<HttpString> replacedHeaders) {
    boolean isIdentifiedByCaller = dialect.isRequestIdentifiedByCaller();
    return new HopPolicy(
        dialect.headers().requestIdentifier(),
        isIdentifiedByCaller,
        isIdentifiedByCaller,
        replacedHeaders);
  }
}
