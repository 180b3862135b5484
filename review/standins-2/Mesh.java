import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.parsleycart.platform.standin.StoreStandin;

/**
 * A small deployment on loopback addresses: the store stand-in of this project, daemons started
 * with the command of the deploy file, and a record of what happens.
 */
@SuppressWarnings("try")
final class Mesh implements AutoCloseable {
  /** A case, which returns whether the rule was broken. */
  interface Case {
    boolean play(Mesh mesh) throws Exception;
  }

  // Differ from the codes with which the runtime ends when it can't start a program.
  private static final int RULE_HELD = 10;
  private static final int RULE_BROKEN = 11;
  private static final int NOT_PLAYED = 12;

  /** The bounds of the small deployments. */
  private static final String BOUNDS =
      "\"seedLagS=3\",\"reuseAfterS=2\",\"touchMs=3000\",\"ackMs=4000\",\"catchUpS=4\","
          + "\"drainMs=2000\",\"graceS=6\",\"lossSlackMs=200\",\"configMs=2000\",\"backMs=250\","
          + "\"outerMs=5000\",\"retryBudgetRatio=0.2\",\"budgetWindowS=10\",\"budgetSlack=56\","
          + "\"canaryShare=0.1\",\"canarySlack=50\",\"rollbackMs=5000\",\"coldMultiplier=1.5\","
          + "\"coldSlack=5\",\"evacMs=5000\",\"recoverS=15\"";

  static final String ZONE = "zone-1";

  private static final int LOWEST_PORT = 12_000;
  private static final int PORTS_PER_BLOCK = 200;
  private static final int BLOCKS = 100;

  private static int nextPort =
      LOWEST_PORT + (int) (ProcessHandle.current().pid() % BLOCKS) * PORTS_PER_BLOCK;

  private final Path root;
  private final Path work;
  private final PrintWriter record;
  private final long startNanos = System.nanoTime();
  private final List<Daemon> daemons = new ArrayList<>();
  private final List<AutoCloseable> closeables = new ArrayList<>();
  final StoreStandin store;

  /** A daemon process and its addresses. */
  final class Daemon {
    final String name;
    final String callers;
    final String operators;
    final String readiness;
    private final Path settings;
    private Process process;

    private Daemon(String name, String service) throws IOException {
      this.name = name;
      this.callers = freeAddress();
      this.operators = freeAddress();
      this.readiness = freeAddress();
      this.settings = work.resolve(name + ".yaml");
      Files.writeString(
          settings,
          """
          dialect: platform
          zone: "%s"
          zones: ["%s"]
          upstreamService: "%s"
          addresses:
            callers: "%s"
            daemons: "%s"
            control: "%s"
            operators: "%s"
            readiness: "%s"
          platform: "%s"
          platformTimeout: 1s
          peerKeys: [parsleycart-on-the-users-platform]
          platformBounds: [%s]
          limits:
            trustsSlots: true
            queueLength: 64
            inputOutputThreads: 1
            maximumBodyBytes: 67108864
            savedRetries: 2
            balancing: expected-end
          """
              .formatted(
                  ZONE,
                  ZONE,
                  service,
                  callers,
                  freeAddress(),
                  freeAddress(),
                  operators,
                  readiness,
                  store.address(),
                  BOUNDS));
    }

    /** Starts the process with the command of the deploy file. */
    void start() throws IOException {
      ProcessBuilder builder = new ProcessBuilder(command()).directory(root.toFile());
      Map<String, String> environment = builder.environment();
      environment.put("PARSLEYCART_CONFIG", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(work.resolve(name + ".log").toFile()));
      process = builder.start();
      record("%s: started as process %d", name, process.pid());
    }

    /** Waits until the daemon says that it is ready. */
    void awaitReady() throws Exception {
      for (int attempt = 0; attempt < 200; attempt++) {
        if (isReady()) {
          record("%s: ready", name);
          return;
        }
        Thread.sleep(100);
      }
      throw new IllegalStateException(name + " did not become ready");
    }

    boolean isReady() {
      try {
        return Client.get(readiness, "/parsleycart/ready").status() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    /** Sends a signal, such as KILL, STOP, CONT, TERM or HUP. */
    void signal(String signal) throws Exception {
      record("%s: SIG%s", name, signal);
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    void awaitEnd() throws Exception {
      process.waitFor(20, TimeUnit.SECONDS);
      record("%s: ended with %d", name, process.exitValue());
    }

    boolean isAlive() {
      return process.isAlive();
    }
  }

  // -- construction

  /** Plays a case and ends the process with its result. */
  static void play(String[] arguments, Case played) {
    int result = NOT_PLAYED;
    try (Mesh mesh = new Mesh(Path.of(arguments[0]))) {
      boolean isBroken = played.play(mesh);
      mesh.record("result: the rule was %s", isBroken ? "broken" : "kept");
      result = isBroken ? RULE_BROKEN : RULE_HELD;
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(result);
  }

  Mesh(Path caseFolder) throws IOException {
    Runtime.getRuntime().addShutdownHook(new Thread(this::endDaemons));
    this.root = Path.of("").toAbsolutePath();
    this.work = Files.createTempDirectory("parsleycart-review");
    this.record =
        new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
    this.store = StoreStandin.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    record("store: at %s", store.address());
  }

  // -- parts

  /** Writes a configuration whose routes are made by {@link #route}. */
  void configure(String version, String... routes) {
    String service = "{\"healthPath\":\"/health\",\"maxConnections\":110,"
        + "\"coldStartS\":3.0,\"coldPerS\":1000.0}";
    store.put(
        "op",
        "config",
        "{\"version\":\"" + version + "\",\"routes\":{" + String.join(",", routes)
            + "},\"services\":{\"one\":" + service + ",\"two\":" + service + "},"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
    record("operator: configuration %s", version);
  }

  static String route(
      String name, String prefix, String kind, int timeoutMilliseconds, int targetMilliseconds) {
    return ("\"%s\":{\"host\":\"mesh.example\",\"prefix\":\"%s\",\"kind\":\"%s\","
            + "\"timeoutMs\":%d,\"targetLatencyMs\":%d,\"priority\":1,\"service\":\"one\","
            + "\"maxAttempts\":2}")
        .formatted(name, prefix, kind, timeoutMilliseconds, targetMilliseconds);
  }

  /** Starts a daemon beside a server of a service, in the only zone. */
  Daemon daemon(String name, String service) throws Exception {
    Daemon daemon = new Daemon(name, service);
    daemon.start();
    daemons.add(daemon);
    return daemon;
  }

  <T extends AutoCloseable> T closeAtEnd(T closeable) {
    closeables.add(closeable);
    return closeable;
  }

  private List<String> command() throws IOException {
    Matcher matcher =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!matcher.find()) {
      throw new IllegalStateException("no run command in deploy/system.toml");
    }
    return List.of(matcher.group(1).split(" +"));
  }

  /**
   * Returns an address with a free port, each port once. The ports lie below those that the system
   * gives to outgoing connections, and each process of a case has a block of its own, so that nothing
   * takes a port before the daemon does.
   */
  private static synchronized String freeAddress() {
    while (true) {
      int port = nextPort++;
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return "127.0.0.1:" + socket.getLocalPort();
      } catch (IOException e) {
        // The port is in use.
      }
    }
  }

  static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /** Returns the milliseconds since the start of the case. */
  long now() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  void record(String format, Object... arguments) {
    synchronized (record) {
      record.printf(Locale.ROOT, "%7d  %s%n", now(), String.format(Locale.ROOT, format, arguments));
    }
  }

  /** Returns whether the disruption is to be played. */
  static boolean hasTrouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  private void endDaemons() {
    daemons.forEach(daemon -> daemon.process.destroyForcibly());
  }

  @Override
  public void close() throws Exception {
    endDaemons();
    for (Daemon daemon : daemons) {
      daemon.process.waitFor();
    }
    for (AutoCloseable closeable : closeables) {
      closeable.close();
    }
    store.close();
    if (System.getenv("KEEP_LOGS") != null) {
      System.err.println("logs in " + work);
      return;
    }
    try (var files = Files.list(work)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(work);
  }
}
