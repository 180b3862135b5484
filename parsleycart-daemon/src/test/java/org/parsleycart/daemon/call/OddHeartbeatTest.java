package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleycart.daemon.PlatformMesh;
import org.parsleycart.link.http.HttpRequest;

/** Guards against an odd heartbeat that disturbs the daemon or takes a call. */
class OddHeartbeatTest {
  private static final String CONFIGURATION =
      """
      {"version":"r1","routes":{
        "a":{"host":"127.0.0.1","prefix":"/a/","kind":"safe","timeoutMs":900,
             "targetLatencyMs":300,"priority":1,"service":"one","maxAttempts":1}},
       "services":{
        "one":{"healthPath":"/health","maxConnections":50,"coldStartS":0.0,"coldPerS":1000.0}},
       "limits":{"maxHeaderBytes":16384}}
      """;
  private static final String HEARTBEAT =
      """
      {"address":"127.0.0.1:9","born":7,
       "info":{"service":"one","version":"v1","zone":"z","slots":8},
       "status":{"state":"ready","seq":1,"coldLeftMs":0}}
      """;
  private static PlatformMesh mesh;

  /** What is odd in a heartbeat, as a replacement in a proper one. */
  enum Oddity {
    ADDRESS_BEYOND_RANGE("127.0.0.1:9", "999.1.1.1:80"),
    PORT_BEYOND_RANGE("127.0.0.1:9", "127.0.0.1:99999"),
    PORT_ZERO("127.0.0.1:9", "127.0.0.1:0"),
    HOST_NAME("127.0.0.1:9", "localhost:80"),
    NO_PORT("127.0.0.1:9", "127.0.0.1"),
    SPACE("127.0.0.1:9", "127.0.0.1 :9"),
    SEQUENCE_BEYOND_RANGE("\"seq\":1", "\"seq\":123456789012345678901234567890"),
    EXPONENT("\"seq\":1", "\"seq\":1e999999999"),
    START_BEYOND_RANGE("\"born\":7", "\"born\":123456789012345678901234567890"),
    SLOTS_BEYOND_RANGE("\"slots\":8", "\"slots\":99999999999"),
    NO_SLOTS("\"slots\":8", "\"slots\":0"),
    DEEP_NESTING("\"seq\":1", "\"seq\":" + "[".repeat(100_000)),
    DEEP_OBJECTS("\"seq\":1", "\"seq\":" + "{\"a\":".repeat(100_000));

    private final String proper;
    private final String odd;

    Oddity(String proper, String odd) {
      this.proper = proper;
      this.odd = odd;
    }
  }

  @BeforeAll
  static void start() throws IOException {
    mesh = PlatformMesh.start(CONFIGURATION, "one");
  }

  @AfterAll
  static void stop() {
    mesh.close();
  }

  private static int post(String identifier, String body) {
    return mesh.send(
            mesh.member(0).heartbeats(),
            HttpRequest.of("POST", "/parsleycart/Instances.Heartbeat/" + identifier).body(body))
        .status();
  }

  @ParameterizedTest
  @EnumSource(Oddity.class)
  void shouldRejectHeartbeatThatNamesNoUpstreamToUse(Oddity oddity) {
    assertThat(HEARTBEAT).contains(oddity.proper);

    assertThat(post("i-odd", HEARTBEAT.replace(oddity.proper, oddity.odd))).isEqualTo(400);

    assertThat(mesh.hasUpstream(mesh.member(0), "one")).isFalse();
    assertThat(mesh.isReady(mesh.member(0))).isTrue();
  }

  @ParameterizedTest
  @ValueSource(strings = {"%25zz", "%25", "a%25f"})
  void shouldNotFailWhenIdentifierHasABrokenEscape(String identifier) {
    assertThat(post(identifier, HEARTBEAT)).isBetween(400, 499);
  }
}
