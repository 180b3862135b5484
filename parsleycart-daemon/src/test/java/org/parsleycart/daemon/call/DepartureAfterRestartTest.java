package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleycart.daemon.PlatformMesh;
import org.parsleycart.daemon.PlatformMesh.Heartbeat;
import org.parsleycart.platform.standin.StoreFault;
import org.parsleycart.platform.standin.StoreStandin;

/**
 * Guards against an upstream that has reported that it leaves and is used again after a restart of
 * its daemon, when an earlier heartbeat arrives late.
 */
class DepartureAfterRestartTest {
  private static final String CONFIGURATION =
      """
      {"version":"r1","routes":{
        "a":{"host":"127.0.0.1","prefix":"/a/","kind":"safe","timeoutMs":900,
             "targetLatencyMs":300,"priority":1,"service":"one","maxAttempts":1}},
       "services":{
        "one":{"healthPath":"/health","maxConnections":50,"coldStartS":0.0,"coldPerS":1000.0},
        "two":{"healthPath":"/health","maxConnections":50,"coldStartS":0.0,"coldPerS":1000.0}},
       "limits":{"maxHeaderBytes":16384}}
      """;
  private static final Heartbeat LATE = new Heartbeat("i", "one", "127.0.0.1:9", 7, 5, "ready");
  private static final Heartbeat MARKER = Heartbeat.ready("i-two", "two", "127.0.0.1:8", 1);

  private PlatformMesh mesh;

  @BeforeEach
  void start() throws IOException {
    mesh = PlatformMesh.start(CONFIGURATION, "one", "two");
    mesh.beat(mesh.member(0), new Heartbeat("i", "one", "127.0.0.1:9", 7, 4, "ready"));
    mesh.await(() -> mesh.hasUpstream(mesh.member(1), "one"));
  }

  @AfterEach
  void stop() {
    mesh.close();
  }

  private void restart() throws IOException {
    PlatformMesh.Member restarted = mesh.restart(0);
    mesh.await(() -> mesh.isReady(restarted));
  }

  /** Waits until an announcement made after the late heartbeat has reached the other daemon. */
  private void awaitMarker() {
    mesh.beat(mesh.member(0), MARKER);
    mesh.await(() -> mesh.hasUpstream(mesh.member(1), "two"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"deregistered", "draining"})
  void shouldIgnoreLateHeartbeatWhenDaemonHasRestarted(String departure) throws IOException {
    int status =
        departure.equals("draining")
            ? mesh.beat(mesh.member(0), new Heartbeat("i", "one", "127.0.0.1:9", 7, 6, "draining"))
                .status()
            : mesh.deregister(mesh.member(0), "i").status();
    assertThat(status).isEqualTo(200);
    restart();

    mesh.beat(mesh.member(0), LATE);

    awaitMarker();
    assertThat(mesh.hasUpstream(mesh.member(1), "one")).isFalse();
  }

  /** Guards against a departure that was acknowledged and that a restored store has lost. */
  @Test
  void shouldIgnoreLateHeartbeatWhenStoreHasLostTheDeparture() throws IOException {
    StoreStandin.Copy copy = mesh.store().copy();
    assertThat(mesh.deregister(mesh.member(0), "i").status()).isEqualTo(200);
    String row = "departed/" + mesh.member(0).settings().identifier();
    mesh.store().restore(copy);
    mesh.await(() -> mesh.store().value("parsleycart", row).isPresent());
    restart();

    mesh.beat(mesh.member(0), LATE);

    awaitMarker();
    assertThat(mesh.hasUpstream(mesh.member(1), "one")).isFalse();
  }

  @Test
  void shouldUseLaterProcessOfTheSameUpstreamWhenDaemonHasRestarted() throws IOException {
    assertThat(mesh.deregister(mesh.member(0), "i").status()).isEqualTo(200);
    restart();

    mesh.beat(mesh.member(0), new Heartbeat("i", "one", "127.0.0.1:9", 8, 1, "ready"));

    mesh.await(() -> mesh.hasUpstream(mesh.member(1), "one"));
  }

  @Test
  void shouldAcknowledgeDepartureOnlyOnceItIsStored() {
    mesh.store().setFault(StoreFault.DOWN);
    assertThat(mesh.deregister(mesh.member(0), "i").status()).isEqualTo(503);

    mesh.store().setFault(StoreFault.NONE);

    mesh.await(() -> mesh.deregister(mesh.member(0), "i").status() == 200);
  }

  @Test
  void shouldKeepDepartureWhenTheAnswerOfTheStoreIsLost() throws IOException {
    mesh.store().setFault(StoreFault.ANSWERS_LOST);
    mesh.deregister(mesh.member(0), "i");
    mesh.store().setFault(StoreFault.NONE);
    mesh.await(() -> mesh.deregister(mesh.member(0), "i").status() == 200);
    restart();

    mesh.beat(mesh.member(0), LATE);

    awaitMarker();
    assertThat(mesh.hasUpstream(mesh.member(1), "one")).isFalse();
  }
}
