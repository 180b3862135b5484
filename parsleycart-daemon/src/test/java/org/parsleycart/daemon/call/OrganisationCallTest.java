package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.util.Locale;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleycart.daemon.PlatformMesh;
import org.parsleycart.daemon.PlatformMesh.Heartbeat;

/**
 * Sends calls with and without keys to the first of two daemons. Calls below {@code /a/} go to the
 * upstream beside it, calls below {@code /b/} to the one beside the other daemon. The upstreams
 * record the raw bytes that reach them.
 */
class OrganisationCallTest {
  private static final String ROUTE =
      """
      "%s":{"host":"127.0.0.1","prefix":"/%s/","kind":"unsafe","timeoutMs":20000,
            "targetLatencyMs":300,"priority":1,"service":"%s","maxAttempts":1,"public":%b}
      """;
  private static final String SERVICE =
      """
      "%s":{"healthPath":"/health","maxConnections":50,"coldStartS":0.0,"coldPerS":1000.0}
      """;
  private static final String ORGANISATIONS =
      """
      {"pulo780":{"apiKeys":["secret-1","secret-2"],"priority":0},
       "kabo51":{"apiKeys":["secret-3"]}}
      """;
  private static final int TIMEOUT_MILLISECONDS = 10_000;

  private static PlatformMesh mesh;
  private static SocketUpstream beside;
  private static SocketUpstream remote;
  private static int version;

  /** A connection of a caller that stays open between requests. */
  private static final class Caller implements AutoCloseable {
    private final Socket socket;
    private final InputStream input;

    private Caller() throws IOException {
      String[] address = mesh.member(0).callers().split(":", 2);
      socket = new Socket(address[0], Integer.parseInt(address[1]));
      socket.setSoTimeout(TIMEOUT_MILLISECONDS);
      input = new BufferedInputStream(socket.getInputStream());
    }

    private WireMessage send(String path, String fields) throws IOException {
      SocketUpstream.write(
          socket,
          "GET %s HTTP/1.1\r\nHost: 127.0.0.1\r\nParsleycart-Attempt-Id: q\r\n%s\r\n"
              .formatted(path, fields));
      return WireMessage.readResponse(input);
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  @BeforeAll
  static void start() throws IOException {
    mesh = PlatformMesh.start(configuration(ORGANISATIONS), "one", "two");
    beside = new SocketUpstream(OrganisationCallTest::answer);
    remote = new SocketUpstream(OrganisationCallTest::answer);
    beside.startRecording();
    remote.startRecording();
  }

  @AfterAll
  static void stop() throws IOException {
    mesh.close();
    beside.close();
    remote.close();
  }

  @BeforeEach
  void putOrganisationsInForce() {
    version++;
    mesh.beat(mesh.member(0), Heartbeat.ready("i-one", "one", beside.address(), version));
    mesh.beat(mesh.member(1), Heartbeat.ready("i-two", "two", remote.address(), version));
    putInForce(ORGANISATIONS, "/a/x", "secret-1", 200);
    putInForce(ORGANISATIONS, "/b/x", "secret-1", 200);
    putInForce(ORGANISATIONS, "/a/x", "none", 401);
    beside.forgetReceived();
    remote.forgetReceived();
  }

  private static String configuration(String organisations) {
    return "{\"version\":\"r%d\",\"tenants\":%s,\"routes\":{%s,%s,%s,%s},\"services\":{%s,%s}}"
        .formatted(
            version,
            organisations,
            ROUTE.formatted("a", "a", "one", false),
            ROUTE.formatted("b", "b", "two", false),
            ROUTE.formatted("ao", "a/open", "one", true),
            ROUTE.formatted("bo", "b/open", "two", true),
            SERVICE.formatted("one"),
            SERVICE.formatted("two"));
  }

  /** Writes a configuration and waits until a request with the key gets the status. */
  private static void putInForce(String organisations, String path, String key, int status) {
    mesh.store().put("op", "config", configuration(organisations));
    mesh.await(() -> status(path, bearer(key)) == status);
  }

  private static boolean answer(WireMessage request, Socket socket) throws IOException {
    SocketUpstream.write(
        socket,
        "HTTP/1.1 200 OK\r\nParsleycart-Attempt-Id: "
            + request.header("Parsleycart-Attempt-Id").orElse("")
            + "\r\nContent-Length: 4\r\n\r\nfine");
    return true;
  }

  private static String bearer(String key) {
    return "Authorization: Bearer " + key + "\r\n";
  }

  private static int status(String path, String fields) {
    try (Caller caller = new Caller()) {
      return caller.send(path, fields).status();
    } catch (IOException e) {
      throw new UncheckedIOException("no response to a request of the test", e);
    }
  }

  /** Returns what has reached the upstreams, in lower case as the names of headers may vary. */
  private static String received() {
    return (beside.received() + remote.received()).toLowerCase(Locale.ROOT);
  }

  @ParameterizedTest
  @ValueSource(strings = {"/a/x", "/b/x"})
  void shouldSendTrueOrganisationAndNoKeyToUpstreamWhenKeyIsKnown(String path) {
    String forged = "Parsleycart-Tenant: forged\r\nparsleycart-tenant: forged\r\n";

    assertThat(status(path, forged + bearer("secret-3"))).isEqualTo(200);

    assertThat(received())
        .containsOnlyOnce("parsleycart-tenant: kabo51\r\n")
        .doesNotContain("forged", "secret", "authorization", "bearer", "x-parsleycart-org");
  }

  /** Guards against a request that runs, or that waits, without a key of an organisation. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "Parsleycart-Tenant: kabo51\r\n",
        "x-parsleycart-organisation: kabo51\r\n",
        "Authorization: Bearer secret-\r\n",
        "Authorization: Bearer secret-11\r\n",
        "Authorization: Bearer \r\n",
        "Authorization: Basic secret-1\r\n",
        "Authorization: Bearer secret-1\r\nAuthorization: Bearer secret-1\r\n"
      })
  void shouldRefuseWithoutRunningWhenKeyIsMissingUnknownOrMalformed(String fields)
      throws IOException {
    try (Caller caller = new Caller()) {
      for (String path : new String[] {"/a/x", "/b/x"}) {
        WireMessage response = caller.send(path, fields);

        assertThat(response.status()).isEqualTo(401);
        assertThat(response.toString()).doesNotContain("secret");
      }
    }
    assertThat(received()).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "Authorization: Bearer secret-1\r\n", "Authorization: Bearer x\r\n"})
  void shouldAnswerThatThereIsNoRouteWhateverTheKey(String fields) {
    assertThat(status("/c/x", fields)).isEqualTo(404);
  }

  @ParameterizedTest
  @CsvSource({
    "/a/open/x, , false",
    "/a/open/x, unknown, false",
    "/a/open/x, secret-3, true",
    "/b/open/x, , false",
    "/b/open/x, unknown, false",
    "/b/open/x, secret-3, true"
  })
  void shouldServePublicRouteAndNameOrganisationOnlyWhenKeyIsKnown(
      String path, String key, boolean isNamed) {
    String fields = "Parsleycart-Tenant: forged\r\n" + (key == null ? "" : bearer(key));

    assertThat(status(path, fields)).isEqualTo(200);

    assertThat(received())
        .contains("get " + path)
        .doesNotContain("forged", "authorization", "secret", "unknown");
    assertThat(received().contains("parsleycart-tenant: kabo51")).isEqualTo(isNamed);
    assertThat(received().contains("parsleycart-tenant")).isEqualTo(isNamed);
  }

  /** Guards against a key that works as long as its caller keeps the connection open. */
  @Test
  void shouldRefuseRevokedKeyOnOpenConnectionWhenNewVersionIsInForce() throws IOException {
    try (Caller caller = new Caller()) {
      assertThat(caller.send("/b/x", bearer("secret-2")).status()).isEqualTo(200);
      putInForce("{\"pulo780\":{\"apiKeys\":[\"secret-4\"]}}", "/b/x", "secret-4", 200);
      remote.forgetReceived();

      assertThat(caller.send("/b/x", bearer("secret-2")).status()).isEqualTo(401);
      assertThat(received()).isEmpty();
      assertThat(caller.send("/b/x", bearer("secret-4")).status()).isEqualTo(200);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"/a/x", "/b/x"})
  void shouldPassBothHeadersThroughWhenThereAreNoOrganisations(String path) {
    putInForce("{}", "/a/x", "none", 200);
    putInForce("{}", "/b/x", "none", 200);
    // The daemon beside the other upstream follows the configuration on its own.
    mesh.await(
        () -> {
          beside.forgetReceived();
          remote.forgetReceived();
          status(path, "Parsleycart-Tenant: own\r\n" + bearer("own-key"));
          return received().contains("authorization: bearer own-key")
              && received().contains("parsleycart-tenant: own");
        });
  }
}
