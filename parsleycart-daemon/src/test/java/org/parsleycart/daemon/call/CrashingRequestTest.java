package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.parsleycart.daemon.PlatformMesh;
import org.parsleycart.daemon.PlatformMesh.Heartbeat;
import org.parsleycart.link.http.HttpRequest;

/** Guards against a request that ends upstream after upstream, at whichever daemon it arrives. */
class CrashingRequestTest {
  private static final int DAEMONS = 6;
  private static final int CRASHES = 3;
  private static final int ROUNDS = 3;
  private static final int NOT_RUN = 503;
  private static final String CONFIGURATION =
      """
      {"version":"r1","routes":{
        "read":{"host":"127.0.0.1","prefix":"/read/","kind":"safe","timeoutMs":5000,
             "targetLatencyMs":300,"priority":1,"service":"one","maxAttempts":3},
        "write":{"host":"127.0.0.1","prefix":"/write/","kind":"unsafe","timeoutMs":5000,
             "targetLatencyMs":300,"priority":1,"service":"one","maxAttempts":3}},
       "services":{
        "one":{"healthPath":"/health","maxConnections":50,"coldStartS":0.0,"coldPerS":1000.0}},
       "limits":{"maxHeaderBytes":16384}}
      """;

  private final List<MortalUpstream> upstreams = new ArrayList<>();
  private PlatformMesh mesh;
  private int attempts;

  /** A request that ends its upstream, and a similar one that does not. */
  enum Shape {
    PATH("GET", "/read/deadly?a=1", "", "/read/sound?a=1", ""),
    BODY("POST", "/write/x", "deadly", "/write/x", "sound");

    private final String method;
    private final String deadlyPath;
    private final String deadlyBody;
    private final String soundPath;
    private final String soundBody;

    Shape(String method, String deadlyPath, String deadlyBody, String soundPath, String soundBody) {
      this.method = method;
      this.deadlyPath = deadlyPath;
      this.deadlyBody = deadlyBody;
      this.soundPath = soundPath;
      this.soundBody = soundBody;
    }

    private HttpRequest deadly() {
      return request(deadlyPath, deadlyBody);
    }

    private HttpRequest sound() {
      return request(soundPath, soundBody);
    }

    private HttpRequest request(String path, String body) {
      HttpRequest request = HttpRequest.of(method, path);
      return body.isEmpty() ? request : request.body(body);
    }
  }

  @BeforeEach
  void start() throws IOException {
    mesh = PlatformMesh.start(CONFIGURATION, "one", "one", "one", "one", "one", "one");
    for (int index = 0; index < DAEMONS; index++) {
      upstreams.add(
          new MortalUpstream(
              request ->
                  request.startLine().contains("deadly") || request.body().equals("deadly")));
    }
    reviveAll();
  }

  @AfterEach
  void stop() throws IOException {
    mesh.close();
    for (MortalUpstream upstream : upstreams) {
      upstream.close();
    }
  }

  /** Starts all upstreams that have ended as new processes, and announces all. */
  private void reviveAll() throws IOException {
    for (int index = 0; index < DAEMONS; index++) {
      MortalUpstream upstream = upstreams.get(index);
      upstream.restart();
      mesh.beat(
          mesh.member(index),
          new Heartbeat(
              "i-" + index + "-" + upstream.life(),
              "one",
              upstream.address(),
              upstream.life(),
              ++attempts,
              "ready"));
    }
    mesh.await(() -> call(0, Shape.PATH.sound()) == 200);
  }

  private int call(int daemon, HttpRequest request) {
    return mesh.send(
            mesh.member(daemon).callers(),
            request.header("Parsleycart-Attempt-Id", "attempt-" + attempts++))
        .status();
  }

  private int ends() {
    return upstreams.stream().mapToInt(MortalUpstream::ends).sum();
  }

  private void endUpstreams(Shape shape) throws IOException {
    for (int daemon = 0; ends() < CRASHES; daemon++) {
      call(daemon % DAEMONS, shape.deadly());
      reviveAll();
    }
  }

  /**
   * Returns whether a daemon refuses the deadly request while it serves others, and revives what it
   * ends otherwise.
   */
  private boolean isRefused(int daemon, Shape shape) {
    try {
      int endsBefore = ends();
      boolean isServing = call(daemon, shape.sound()) == 200;
      boolean isRefused = call(daemon, shape.deadly()) == NOT_RUN && ends() == endsBefore;
      reviveAll();
      return isServing && isRefused;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  @ParameterizedTest
  @EnumSource(Shape.class)
  void shouldRefuseRequestAtEveryDaemonWhenItHasEndedThreeUpstreams(Shape shape)
      throws IOException {
    endUpstreams(shape);
    for (int index = 0; index < DAEMONS; index++) {
      int daemon = index;
      mesh.await(() -> isRefused(daemon, shape));
    }
    int endsWhenKnown = ends();

    for (int round = 0; round < ROUNDS * DAEMONS; round++) {
      int daemon = round % DAEMONS;
      assertThat(call(daemon, shape.deadly())).isEqualTo(NOT_RUN);
      mesh.await(() -> call(daemon, shape.sound()) == 200);
    }

    assertThat(ends()).isEqualTo(endsWhenKnown);
  }

  @Test
  void shouldRefuseRequestAfterRestartOfADaemon() throws IOException {
    endUpstreams(Shape.PATH);
    for (int index = 0; index < DAEMONS; index++) {
      int daemon = index;
      mesh.await(() -> isRefused(daemon, Shape.PATH));
    }
    int endsWhenKnown = ends();

    PlatformMesh.Member restarted = mesh.restart(0);
    mesh.await(() -> mesh.isReady(restarted));

    mesh.await(() -> call(0, Shape.PATH.sound()) == 200);
    for (int round = 0; round < ROUNDS * DAEMONS; round++) {
      assertThat(call(0, Shape.PATH.deadly())).isEqualTo(NOT_RUN);
    }
    assertThat(ends()).isEqualTo(endsWhenKnown);
  }
}
