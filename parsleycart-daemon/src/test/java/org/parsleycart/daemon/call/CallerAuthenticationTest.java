package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.decision.spreading.Freshness;
import org.parsleycart.decision.spreading.RevocationPolicy;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.Contract;
import org.parsleycart.model.KeyDigest;
import org.parsleycart.model.KeyDigests;
import org.parsleycart.model.Organisation;
import org.parsleycart.model.RequestKind;
import org.parsleycart.model.Resource;
import org.parsleycart.model.Route;
import org.parsleycart.model.Selector;
import org.parsleycart.model.Service;
import org.parsleycart.model.UpstreamBounds;
import org.parsleycart.platform.PlatformDialect;

class CallerAuthenticationTest {
  private static final String KEY = "schl\u00fcssel";
  private static final HttpString ORGANISATION = new PlatformDialect().headers().organisation();
  private static final Route ROUTE = new Route("r", "/r", "s", "c", Selector.all());
  private static final List<Resource> CLOSED =
      List.of(
          new Contract(
              "c", RequestKind.INTERACTIVE_READ, Duration.ofSeconds(1), Duration.ofSeconds(1), 2),
          new Service("s", Optional.empty(), Duration.ZERO, UpstreamBounds.none(), Map.of()),
          ROUTE,
          new Organisation(
              "a",
              KeyDigests.of(List.of(KeyDigest.ofKey(KEY).orElseThrow())),
              OptionalInt.empty(),
              OptionalDouble.empty()));
  private static final Duration MAXIMUM_AGE = Duration.ofSeconds(5);

  private final Freshness freshness = new Freshness();
  private final HttpServerExchange exchange = new HttpServerExchange(null);
  private Instant now = Instant.EPOCH;

  private String authenticate(Configuration configuration) {
    return new CallerAuthentication(
            new PlatformDialect().headers(),
            freshness,
            new RevocationPolicy(true, MAXIMUM_AGE),
            () -> now)
        .authenticate(exchange, configuration, ROUTE)
        .fold(RefusalReason::toString, found -> found.map(Organisation::name).orElse("none"));
  }

  private static Configuration closed() {
    return Configuration.of(1, CLOSED).get();
  }

  /** Returns a header as the server decodes it: one character for each byte. */
  private static String decoded(String text) {
    return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
  }

  /** Every hop copies the headers of the exchange, so that what is removed here reaches none. */
  @Test
  void shouldRemoveKeyAndOrganisationFromTheRequestWhenOrganisationsAreConfigured() {
    freshness.recordConfirmation(now);
    HeaderMap headers = exchange.getRequestHeaders();
    headers.add(Headers.AUTHORIZATION, decoded("Bearer " + KEY));
    headers.add(ORGANISATION, "forged").add(ORGANISATION, "forged again");

    assertThat(authenticate(closed())).isEqualTo("a");

    assertThat(headers.contains(Headers.AUTHORIZATION)).isFalse();
    assertThat(headers.contains(ORGANISATION)).isFalse();
  }

  @Test
  void shouldLeaveTheRequestAsItIsWhenNoOrganisationsAreConfigured() {
    HeaderMap headers = exchange.getRequestHeaders();
    headers.add(Headers.AUTHORIZATION, "Bearer x").add(ORGANISATION, "own");

    assertThat(authenticate(Configuration.empty())).isEqualTo("none");

    assertThat(headers.getFirst(Headers.AUTHORIZATION)).isEqualTo("Bearer x");
    assertThat(headers.getFirst(ORGANISATION)).isEqualTo("own");
  }

  @ParameterizedTest
  @CsvSource({
    "Bearer schlüssel, a",
    "bearer   schlüssel, a",
    "Bearer schlusel, unauthenticated",
    "Bearer, unauthenticated",
    "Basic schlüssel, unauthenticated",
    "schlüssel, unauthenticated",
    "Bearer schlüssel schlüssel, unauthenticated"
  })
  void shouldAcceptOnlyAWellFormedKnownKey(String header, String expected) {
    freshness.recordConfirmation(now);
    exchange.getRequestHeaders().add(Headers.AUTHORIZATION, decoded(header));

    assertThat(authenticate(closed())).isEqualTo(expected);
  }

  /** Guards against a second key that another receiver of the request would take. */
  @Test
  void shouldRefuseRequestWhenItHasTwoKeys() {
    freshness.recordConfirmation(now);
    exchange
        .getRequestHeaders()
        .add(Headers.AUTHORIZATION, decoded("Bearer " + KEY))
        .add(Headers.AUTHORIZATION, decoded("Bearer " + KEY));

    assertThat(authenticate(closed())).isEqualTo("unauthenticated");
  }

  @Test
  void shouldRefuseKeysWhileTheConfigurationIsUnconfirmedForTooLong() {
    HttpString header = Headers.AUTHORIZATION;
    exchange.getRequestHeaders().put(header, decoded("Bearer " + KEY));
    assertThat(authenticate(closed())).isEqualTo("unconfirmed-configuration");

    freshness.recordConfirmation(now);
    now = now.plus(MAXIMUM_AGE);
    exchange.getRequestHeaders().put(header, decoded("Bearer " + KEY));
    assertThat(authenticate(closed())).isEqualTo("a");

    now = now.plusMillis(1);
    exchange.getRequestHeaders().put(header, decoded("Bearer " + KEY));
    assertThat(authenticate(closed())).isEqualTo("unconfirmed-configuration");

    freshness.recordConfirmation(now);
    exchange.getRequestHeaders().put(header, decoded("Bearer " + KEY));
    assertThat(authenticate(closed())).isEqualTo("a");
  }
}
