package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.decision.spreading.RevocationPolicy;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.Organisation;
import org.parsleycart.model.Route;

/** Decides whether a request may use a route, and for which organisation it is made. */
public final class Authentication {
  private Authentication() {}

  // -- decision

  /**
   * Authenticates a request. Where the configuration holds no organisations, every request is
   * accepted without one.
   *
   * @param route the route of the request in the configuration
   * @param key the key in the request, empty if it is missing or malformed
   * @param confirmationAge the time since the configuration was last confirmed as the newest, empty
   *     if never
   * @return the organisation, empty for a request without one; or the reason to refuse the request
   */
  public static Either<RefusalReason, Optional<Organisation>> authenticate(
      Configuration configuration,
      Route route,
      Optional<String> key,
      Optional<Duration> confirmationAge,
      RevocationPolicy revocation) {
    requireNonNull(configuration, "configuration is null");
    requireNonNull(route, "route is null");
    requireNonNull(key, "key is null");
    requireNonNull(confirmationAge, "confirmationAge is null");
    requireNonNull(revocation, "revocation is null");
    if (!configuration.hasOrganisations()) {
      return Either.right(Optional.empty());
    }
    Optional<Organisation> organisation = key.flatMap(configuration::organisationOfKey);
    if (route.isPublic()) {
      return Either.right(organisation);
    }
    if (revocation.refusesAt(confirmationAge)) {
      // Also for an unknown key, which a newer version may hold.
      return Either.left(RefusalReason.UNCONFIRMED_CONFIGURATION);
    }
    return organisation.isPresent()
        ? Either.right(organisation)
        : Either.left(RefusalReason.UNAUTHENTICATED);
  }
}
