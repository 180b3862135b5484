package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.vavr.control.Either;
import java.time.InstantSource;
import java.util.Optional;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.decision.routing.Authentication;
import org.parsleycart.decision.spreading.Freshness;
import org.parsleycart.decision.spreading.RevocationPolicy;
import org.parsleycart.link.dialect.CallHeaderNames;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.Organisation;
import org.parsleycart.model.Route;

/** Authenticates the requests of callers at their entry. */
public final class CallerAuthentication {
  private final CallHeaderNames names;
  private final Freshness freshness;
  private final RevocationPolicy revocation;
  private final InstantSource clock;

  // -- construction

  /**
   * Creates an authentication.
   *
   * @param freshness supplies the age of the confirmation of the configuration
   * @param clock the clock by which confirmations are recorded
   */
  public CallerAuthentication(
      CallHeaderNames names,
      Freshness freshness,
      RevocationPolicy revocation,
      InstantSource clock) {
    this.names = requireNonNull(names, "names is null");
    this.freshness = requireNonNull(freshness, "freshness is null");
    this.revocation = requireNonNull(revocation, "revocation is null");
    this.clock = requireNonNull(clock, "clock is null");
  }

  // -- operations

  /**
   * Authenticates a request. Where the configuration holds organisations, also removes the key from
   * the request, so that no later step can forward or write it, and the name of an organisation
   * that the caller may have set.
   *
   * @return the organisation, empty for a request without one; or the reason to refuse the request
   */
  Either<RefusalReason, Optional<Organisation>> authenticate(
      HttpServerExchange exchange, Configuration configuration, Route route) {
    HeaderMap headers = exchange.getRequestHeaders();
    Optional<String> key = CallerCredentials.key(headers);
    if (configuration.hasOrganisations()) {
      CallerCredentials.remove(headers, names);
    }
    return Authentication.authenticate(
        configuration, route, key, freshness.confirmationAge(clock.instant()), revocation);
  }
}
