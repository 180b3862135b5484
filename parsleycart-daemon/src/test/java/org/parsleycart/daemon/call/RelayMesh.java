package org.parsleycart.daemon.call;

import java.io.IOException;
import java.net.Socket;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.parsleycart.daemon.PlatformMesh;
import org.parsleycart.daemon.PlatformMesh.Heartbeat;
import org.parsleycart.daemon.TestMesh;

/**
 * Two daemons, with an upstream beside the first one. Callers of the second daemon need two hops.
 */
final class RelayMesh implements AutoCloseable {
  /** The header names in which the two dialects carry the identifier of a request. */
  private static final String[] IDENTIFIERS = {
    "Parsleycart-Attempt-Id", "X-Parsleycart-Request-Identifier"
  };

  private static final String SOUND_BODY = "fine";

  private final AutoCloseable mesh;
  private final SocketUpstream upstream;
  private final Runnable renewal;
  private final String[] entries;

  /** The dialect of the daemons, which decides on the headers and on answers without a length. */
  enum MeshDialect {
    PARSLEYCART {
      @Override
      RelayMesh start() throws IOException {
        TestMesh mesh = TestMesh.start("abdali", "marka");
        mesh.apply(
            """
            zones: [{name: abdali}, {name: marka}]
            contracts:
              - {name: read, kind: interactive-read, deadline: 5s}
              - {name: write, kind: non-idempotent-write, deadline: 5s}
            services: [{name: ledger, version: v1}]
            routes:
              - {name: read, pathPrefix: /read, service: ledger, contract: read}
              - {name: write, pathPrefix: /write, service: ledger, contract: write}
            """);
        SocketUpstream upstream = new SocketUpstream(RelayMesh::answerSoundly);
        mesh.announce(mesh.member(0), "u0", "ledger", "v1", upstream.address());
        mesh.awaitUpstreams(mesh.member(0), "ledger v1 abdali", 1);
        mesh.awaitUpstreams(mesh.member(1), "ledger v1 abdali", 1);
        return new RelayMesh(
            mesh, upstream, () -> {}, mesh.member(0).callers(), mesh.member(1).callers());
      }
    },
    PLATFORM {
      @Override
      RelayMesh start() throws IOException {
        PlatformMesh mesh =
            PlatformMesh.start(
                """
                {"version":"r1","routes":{
                  "a":{"host":"mesh.example","prefix":"/read/","kind":"safe","timeoutMs":5000,
                       "targetLatencyMs":300,"priority":1,"service":"one","maxAttempts":1},
                  "b":{"host":"mesh.example","prefix":"/write/","kind":"unsafe","timeoutMs":5000,
                       "targetLatencyMs":300,"priority":1,"service":"one","maxAttempts":1}},
                 "services":{
                  "one":{"healthPath":"/health","maxConnections":50,"coldStartS":0.0,
                         "coldPerS":1000.0},
                  "two":{"healthPath":"/health","maxConnections":50,"coldStartS":0.0,
                         "coldPerS":1000.0}},
                 "limits":{"maxHeaderBytes":16384}}
                """,
                "one",
                "two");
        SocketUpstream upstream = new SocketUpstream(RelayMesh::answerSoundly);
        AtomicInteger sequence = new AtomicInteger();
        Runnable renewal =
            () -> {
              mesh.beat(
                  mesh.member(0),
                  Heartbeat.ready("i-one", "one", upstream.address(), sequence.incrementAndGet()));
              mesh.await(() -> mesh.hasUpstream(mesh.member(0), "one"));
              mesh.await(() -> mesh.hasUpstream(mesh.member(1), "one"));
            };
        renewal.run();
        return new RelayMesh(
            mesh, upstream, renewal, mesh.member(0).callers(), mesh.member(1).callers());
      }
    };

    /** Starts a mesh and waits until both daemons have the upstream. */
    abstract RelayMesh start() throws IOException;
  }

  /**
   * A daemon of a mesh to which callers send calls.
   *
   * @param member 0 for the daemon beside the upstream, 1 for the one from which there are two hops
   */
  record Entry(MeshDialect dialect, int member) {}

  // -- construction

  private RelayMesh(
      AutoCloseable mesh, SocketUpstream upstream, Runnable renewal, String... entries) {
    this.mesh = mesh;
    this.upstream = upstream;
    this.renewal = renewal;
    this.entries = entries.clone();
  }

  /** Starts a mesh in each dialect. */
  static Map<MeshDialect, RelayMesh> startInEachDialect() throws IOException {
    Map<MeshDialect, RelayMesh> meshes = new EnumMap<>(MeshDialect.class);
    for (MeshDialect dialect : MeshDialect.values()) {
      meshes.put(dialect, dialect.start());
    }
    return meshes;
  }

  // -- queries

  /** Returns the daemons of all meshes. */
  static Stream<Entry> entries() {
    return Stream.of(MeshDialect.values())
        .flatMap(dialect -> Stream.of(0, 1).map(member -> new Entry(dialect, member)));
  }

  SocketUpstream upstream() {
    return upstream;
  }

  // -- operations

  /** Renews the announcement of the upstream, which expires where upstreams send heartbeats. */
  void renewUpstream() {
    renewal.run();
  }

  /** Opens a connection of a caller to a daemon. */
  WireCaller connect(int member) throws IOException {
    return WireCaller.connect(entries[member]);
  }

  /** Returns the header lines with which an answer echoes the identifiers of its request. */
  static String echo(WireMessage request) {
    return Stream.of(IDENTIFIERS)
        .flatMap(
            name ->
                request.header(name).map(identifier -> name + ": " + identifier + "\r\n").stream())
        .collect(Collectors.joining());
  }

  /** Answers a request as an upstream does that is not in trouble. */
  static boolean answerSoundly(WireMessage request, Socket socket) throws IOException {
    boolean isHead = request.startLine().startsWith("HEAD ");
    SocketUpstream.write(
        socket,
        "HTTP/1.1 200 OK\r\n"
            + echo(request)
            + "Parsleycart-Response-Stamp: s\r\nContent-Length: 4\r\n\r\n"
            + (isHead ? "" : SOUND_BODY));
    return true;
  }

  /** Returns whether a message is the answer of {@link #answerSoundly}. */
  static boolean isSound(WireMessage message) {
    return message.status() == 200
        && message.body().equals(SOUND_BODY)
        && Optional.of("4").equals(message.header("Content-Length"));
  }

  /** Closes meshes. */
  static void closeAll(Collection<RelayMesh> meshes) throws Exception {
    for (RelayMesh mesh : meshes) {
      mesh.close();
    }
  }

  @Override
  public void close() throws Exception {
    mesh.close();
    upstream.close();
  }
}
