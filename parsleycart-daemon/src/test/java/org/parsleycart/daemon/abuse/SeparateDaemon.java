package org.parsleycart.daemon.abuse;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.parsleycart.link.Addresses;
import org.parsleycart.link.FreePorts;
import org.parsleycart.link.http.HttpClient;
import org.parsleycart.link.http.HttpRequest;
import org.parsleycart.platform.standin.StoreStandin;

/**
 * A daemon in a process of its own with the memory bounds of the deployment, an upstream beside it
 * and a stand-in of the store.
 */
final class SeparateDaemon implements AutoCloseable {
  static final int LARGE_RESPONSE_BYTES = 540_000;

  /** The upstream does not answer requests whose path contains it. */
  static final String UNANSWERED = "unanswered";

  static final int MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;

  /** How long an ordinary caller waits, as the contract of its route states. */
  static final Duration ORDINARY_DEADLINE = Duration.ofSeconds(5);

  private static final String CONFIGURATION =
      """
      {"version":"r1","routes":{
        "read":{"host":"127.0.0.1","prefix":"/read/","kind":"safe","timeoutMs":%d,
             "targetLatencyMs":1000,"priority":1,"service":"one","maxAttempts":1},
        "upload":{"host":"127.0.0.1","prefix":"/upload/","kind":"upload","timeoutMs":20000,
             "targetLatencyMs":10000,"priority":1,"service":"one","maxAttempts":1}},
       "services":{
        "one":{"healthPath":"/health","maxConnections":50,"coldStartS":0.0,"coldPerS":1000.0}},
       "limits":{"maxHeaderBytes":16384,"maxBodyBytes":%d,"headerTimeoutMs":%d,
                 "idleTimeoutMs":%d}}
      """;

  private static final List<String> FLAGS =
      List.of(
          "-Xms16m",
          "-Xmx64m",
          "-Xss256k",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-XX:MaxMetaspaceSize=64m",
          "-XX:ReservedCodeCacheSize=24m",
          "-XX:MaxDirectMemorySize=16m",
          "-XX:-UsePerfData");

  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final Duration MAXIMUM_START = Duration.ofSeconds(30);
  private static final long BEAT_MILLISECONDS = 500;
  private static final String IDENTIFIER_HEADER = "Parsleycart-Attempt-Id";

  private final StoreStandin store =
      StoreStandin.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  private final HttpClient client = HttpClient.start(1);
  private final ScheduledExecutorService beats = Executors.newSingleThreadScheduledExecutor();
  private final ExecutorService upstreamThreads = Executors.newCachedThreadPool();
  private final HttpServer upstream;
  private final List<Integer> ports;
  private final Path settings;
  private final Process process;
  private final ScheduledFuture<?> beating;
  private int sequence;

  /**
   * The timeouts that the configuration gives callers.
   *
   * @param header how long the head of a request may take
   * @param idle how long a connection may be without a request
   */
  record Timeouts(Duration header, Duration idle) {
    static final Timeouts SHORT = new Timeouts(Duration.ofSeconds(1), Duration.ofSeconds(5));
    static final Timeouts LONG = new Timeouts(Duration.ofMinutes(1), Duration.ofMinutes(1));
  }

  /** The listeners of a daemon, with their index among its ports. */
  enum Listener {
    CALLERS(0),
    DAEMONS(1),
    CONTROL(2),
    OPERATORS(3),
    READINESS(4);

    private final int index;

    Listener(int index) {
      this.index = index;
    }
  }

  // -- construction

  private SeparateDaemon(List<String> flags, String limits, Timeouts timeouts) throws IOException {
    store.put(
        "op",
        "config",
        CONFIGURATION.formatted(
            ORDINARY_DEADLINE.toMillis(),
            MAXIMUM_BODY_BYTES,
            timeouts.header().toMillis(),
            timeouts.idle().toMillis()));
    upstream = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    upstream.setExecutor(upstreamThreads);
    upstream.createContext("/", SeparateDaemon::answer);
    upstream.start();
    ports = FreePorts.find(Listener.values().length);
    settings = Files.createTempFile("daemon", ".yaml");
    Files.writeString(settings, settingsText(limits));
    process = new ProcessBuilder(command(flags)).redirectErrorStream(true).start();
    // Nobody reads the output otherwise, and a full pipe would block the daemon.
    Thread reader = new Thread(this::discardOutput, "daemon-output");
    reader.setDaemon(true);
    reader.start();
    beating = beats.scheduleAtFixedRate(this::beat, 0, BEAT_MILLISECONDS, TimeUnit.MILLISECONDS);
  }

  /** Starts a daemon and waits until it serves calls. */
  static SeparateDaemon start() throws IOException {
    return start(List.of(), "", Timeouts.SHORT);
  }

  /**
   * Starts a daemon with lowered limits and waits until it serves calls.
   *
   * @param flags flags of the virtual machine that override those of the deployment
   * @param limits further entries of the section {@code limits} of the settings, each after a comma
   * @param timeouts the timeouts of callers
   */
  static SeparateDaemon start(List<String> flags, String limits, Timeouts timeouts)
      throws IOException {
    SeparateDaemon daemon = new SeparateDaemon(flags, limits, timeouts);
    long deadline = System.nanoTime() + MAXIMUM_START.toNanos();
    while (daemon.status(daemon.address(Listener.CALLERS), "/read/ready") != 200) {
      if (System.nanoTime() > deadline) {
        daemon.close();
        throw new IOException("the daemon did not become ready");
      }
      LockSupport.parkNanos(Duration.ofMillis(20).toNanos());
    }
    return daemon;
  }

  private List<String> command(List<String> flags) {
    return Stream.of(
            Stream.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()),
            FLAGS.stream(),
            flags.stream(),
            Stream.of(
                "-cp",
                System.getProperty("java.class.path"),
                "org.parsleycart.daemon.DaemonMain",
                "--settings",
                settings.toString()))
        .flatMap(part -> part)
        .toList();
  }

  private String settingsText(String limits) {
    return """
    dialect: platform
    zone: z
    zones: [z]
    upstreamService: one
    addresses: {callers: "127.0.0.1:%d", daemons: "127.0.0.1:%d", control: "127.0.0.1:%d",
                operators: "127.0.0.1:%d", readiness: "127.0.0.1:%d"}
    platform: "%s"
    peerKeys: [test-key-0123456789]
    limits: {trustsSlots: true, inputOutputThreads: 1, maximumBodyBytes: %d,
             stallTime: 2s, stalledConnections: 4%s}
    """
        .formatted(
            ports.get(0),
            ports.get(1),
            ports.get(2),
            ports.get(3),
            ports.get(4),
            store.address(),
            MAXIMUM_BODY_BYTES,
            limits);
  }

  private void discardOutput() {
    try (var output = process.getInputStream()) {
      output.transferTo(OutputStream.nullOutputStream());
    } catch (IOException e) {
      // The process has ended.
    }
  }

  // -- upstream

  /** Answers with a large body where the path asks for one. */
  private static void answer(HttpExchange exchange) throws IOException {
    try (exchange) {
      exchange.getRequestBody().readAllBytes();
      if (exchange.getRequestURI().getPath().contains(UNANSWERED)) {
        LockSupport.parkNanos(Duration.ofMinutes(1).toNanos());
      }
      exchange
          .getResponseHeaders()
          .set(IDENTIFIER_HEADER, exchange.getRequestHeaders().getFirst(IDENTIFIER_HEADER));
      boolean isLarge = exchange.getRequestURI().getPath().contains("large");
      byte[] body = new byte[isLarge ? LARGE_RESPONSE_BYTES : 4];
      exchange.sendResponseHeaders(200, body.length);
      exchange.getResponseBody().write(body);
    }
  }

  private void beat() {
    String body =
        """
        {"address":"127.0.0.1:%d","born":1,
         "info":{"service":"one","version":"v1","zone":"z","slots":8},
         "status":{"state":"ready","seq":%d,"coldLeftMs":0}}
        """
            .formatted(upstream.getAddress().getPort(), ++sequence);
    client.send(
        address(Listener.OPERATORS),
        HttpRequest.of("POST", "/parsleycart/Instances.Heartbeat/i-one").body(body),
        TIMEOUT);
  }

  // -- queries

  String address(Listener listener) {
    return "127.0.0.1:" + ports.get(listener.index);
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Returns the resident memory of the daemon in megabytes. */
  long residentMegabytes() throws IOException {
    try (Stream<String> lines = Files.lines(Path.of("/proc", pid(), "status"))) {
      return lines
          .filter(line -> line.startsWith("VmRSS:"))
          .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024)
          .findFirst()
          .orElseThrow();
    }
  }

  /** Returns the number of open descriptors of the daemon. */
  long descriptors() throws IOException {
    try (Stream<Path> entries = Files.list(Path.of("/proc", pid(), "fd"))) {
      return entries.count();
    }
  }

  private String pid() {
    return Long.toString(process.pid());
  }

  // -- ordinary requests

  /**
   * Sends a request as an ordinary caller does: again after a refusal or a lost connection, until
   * its deadline. Returns the last status, 0 for no response.
   */
  int ordinaryStatus(String address, String path) {
    return repeatedStatus(client, address, path, ORDINARY_DEADLINE);
  }

  /**
   * Sends a request over a new connection, as an ordinary caller does, until the caller loses its
   * patience or the daemon has ended. Returns the last status, 0 for no response.
   */
  int newCallerStatus(String address, String path, Duration patience) {
    try (HttpClient newCaller = HttpClient.start(1)) {
      return repeatedStatus(newCaller, address, path, patience);
    }
  }

  private int repeatedStatus(HttpClient caller, String address, String path, Duration patience) {
    long deadline = System.nanoTime() + patience.toNanos();
    int status = 0;
    for (long left = patience.toNanos();
        left > 0 && status != 200 && isAlive();
        left = deadline - System.nanoTime()) {
      status = status(caller, address, path, Duration.ofNanos(left));
      LockSupport.parkNanos(Duration.ofMillis(10).toNanos());
    }
    return status;
  }

  private int status(String address, String path) {
    return status(client, address, path, TIMEOUT);
  }

  private static int status(HttpClient caller, String address, String path, Duration timeout) {
    HttpRequest request = HttpRequest.of("GET", path).header(IDENTIFIER_HEADER, "ordinary");
    return caller.send(address, request, timeout).map(response -> response.status()).getOrElse(0);
  }

  /** Opens a connection and sends bytes. */
  Socket send(Listener listener, String bytes) throws IOException {
    InetSocketAddress target = Addresses.parse(address(listener)).orElseThrow();
    Socket socket = new Socket(target.getAddress(), target.getPort());
    socket.setSoTimeout((int) TIMEOUT.toMillis());
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    return socket;
  }

  /** Sends bytes over a new connection, and returns all that comes back until it is closed. */
  String answerTo(Listener listener, String bytes) throws IOException {
    try (Socket socket = send(listener, bytes)) {
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  @Override
  public void close() throws IOException {
    beating.cancel(true);
    beats.shutdownNow();
    process.destroyForcibly().onExit().join();
    upstream.stop(0);
    upstreamThreads.shutdownNow();
    client.close();
    store.close();
    Files.deleteIfExists(settings);
  }
}
