package org.parsleycart.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.parsleycart.link.http.HttpRequest;
import org.parsleycart.platform.standin.StoreFault;
import org.parsleycart.platform.standin.StoreStandin;

/** Daemons beside each other at a store that is away and comes back from a copy. */
class RestoredStoreMeshTest {
  private static final int NOT_FOUND = 404;
  private static final String[] SERVICES = {"one", "two", "three", "four"};
  private static final String CONFIGURATION =
      """
      {"version":"r%d","routes":{
        "%s":{"host":"127.0.0.1","prefix":"/%s/","kind":"safe","timeoutMs":900,
             "targetLatencyMs":300,"priority":1,"service":"one","maxAttempts":1}},
       "services":{"one":{"healthPath":"/health","maxConnections":50}},
       "limits":{"maxHeaderBytes":16384}}
      """;

  private PlatformMesh mesh;

  @BeforeEach
  void start() throws IOException {
    mesh = PlatformMesh.start(document(1, "first"), SERVICES);
  }

  @AfterEach
  void stop() {
    mesh.close();
  }

  private static String document(int version, String route) {
    return CONFIGURATION.formatted(version, route, route);
  }

  private boolean isRoutedEverywhere(String route) {
    return IntStream.range(0, SERVICES.length).allMatch(index -> isRouted(index, route));
  }

  private boolean isRouted(int index, String route) {
    HttpRequest request = HttpRequest.of("GET", "/" + route + "/x");
    return mesh.send(mesh.member(index).callers(), request).status() != NOT_FOUND;
  }

  /** Loses what was written since the copy, and lets the daemons read what the store then holds. */
  private void restore(StoreStandin.Copy copy) {
    mesh.store().setFault(StoreFault.DOWN);
    mesh.store().restore(copy);
    mesh.store().setFault(StoreFault.NONE);
    mesh.await(() -> IntStream.range(0, SERVICES.length).allMatch(this::isOfSecondEra));
  }

  private boolean isOfSecondEra(int index) {
    return mesh.send(mesh.member(index).heartbeats(), HttpRequest.of("GET", "/status"))
        .text()
        .contains("\"version\":2000000000");
  }

  /** Guards against changes that never come into force after a restore, at any daemon. */
  @Test
  void shouldPutChangesInForceEverywhereWhenTheirVersionsWereGivenOutBefore() {
    StoreStandin.Copy copy = mesh.store().copy();
    mesh.store().put("op", "config", document(2, "second"));
    mesh.await(() -> isRoutedEverywhere("second"));
    restore(copy);
    assertThat(isRoutedEverywhere("second")).isTrue();

    mesh.store().put("op", "config", document(2, "second"));
    mesh.store().put("op", "config", document(4, "third"));

    mesh.await(() -> isRoutedEverywhere("third"));
  }

  /** Guards against a restarted daemon that serves, or spreads, what the store holds by mistake. */
  @Test
  void shouldServeConfirmedChangeAfterRestartWhenStoreHasLostIt() throws IOException {
    StoreStandin.Copy copy = mesh.store().copy();
    mesh.store().put("op", "config", document(2, "second"));
    mesh.await(() -> isRoutedEverywhere("second"));
    restore(copy);

    PlatformMesh.Member restarted = mesh.restart(0);
    mesh.await(() -> mesh.isReady(restarted));

    mesh.await(() -> isRoutedEverywhere("second"));
  }
}
