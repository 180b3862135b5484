package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.parsleycart.platform.standin.StoreStandin;

/**
 * A small deployment: the store stand-in, and daemons as separate processes started with the
 * command and the settings template of the deploy folder.
 */
final class Stage implements AutoCloseable {
  static final int EXIT_HELD = 0;
  static final int EXIT_BROKEN = 1;
  static final int EXIT_NOT_RUN = 2;

  private static final int LOWEST_PORT = 12_000;
  private static final int HIGHEST_PORT = 32_000;

  private static final String BOUNDS =
      "\"seedLagS=3\",\"reuseAfterS=2\",\"touchMs=3000\",\"ackMs=4000\",\"catchUpS=4\","
          + "\"drainMs=2000\",\"graceS=6\",\"lossSlackMs=200\",\"configMs=2000\",\"backMs=250\","
          + "\"outerMs=5000\",\"retryBudgetRatio=0.2\",\"budgetWindowS=10\",\"budgetSlack=58\","
          + "\"canaryShare=0.1\",\"canarySlack=50\",\"rollbackMs=5000\",\"coldMultiplier=1.5\","
          + "\"coldSlack=5\",\"evacMs=5000\",\"recoverS=15\"";
  private static final List<String> ZONES = List.of("abdali", "marka", "sweileh", "khalda");

  final StoreStandin store = StoreStandin.start(new InetSocketAddress("127.0.0.1", 0));
  private final Path root;
  private final Path work;
  private final PrintWriter record;
  private final long startedAt = System.nanoTime();
  private final List<Daemon> daemons = new ArrayList<>();
  private String storeAddress = store.address();

  /** A daemon with its addresses. */
  final class Daemon {
    final String name;
    final String zone;
    final String service;
    final String outbound = freeAddress();
    final String inbound = freeAddress();
    final String peers = freeAddress();
    final String control = freeAddress();
    final String ready = freeAddress();
    Process process;
    private int descriptorLimit;

    private Daemon(String name, String zone, String service) {
      this.name = name;
      this.zone = zone;
      this.service = service;
    }

    /** Limits the open descriptors of the process, as the sheet of the machine does. */
    void limitDescriptors(int limit) {
      descriptorLimit = limit;
    }

    void start() throws IOException {
      Path settings = work.resolve(name + ".yaml");
      Files.writeString(settings, fillTemplate(this));
      List<String> command = new ArrayList<>(command());
      if (descriptorLimit > 0) {
        command.addAll(
            0, List.of("sh", "-c", "ulimit -n " + descriptorLimit + " && exec \"$@\"", "sh"));
      }
      ProcessBuilder builder = new ProcessBuilder(command);
      builder.directory(root.toFile());
      builder.environment().put("PARSLEYCART_CONFIG", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(work.resolve(name + ".log").toFile()));
      process = builder.start();
      log("daemon " + name + " started, process " + process.pid());
    }

    /** Asks the daemon whether it is ready, as the platform does. */
    boolean isReady() {
      try (Http.Connection connection = new Http.Connection(ready)) {
        connection.send(
            Http.request("GET", "/parsleycart/ready", Map.of("Host", ready), new byte[0]));
        return connection.receive(1000).status() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    void signal(String name) throws IOException, InterruptedException {
      log("SIG" + name + " to daemon " + this.name);
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Returns the number of threads of the process, -1 if it has ended. */
    long threads() {
      try (Stream<Path> tasks = Files.list(Path.of("/proc", process.pid() + "", "task"))) {
        return tasks.count();
      } catch (IOException e) {
        return -1;
      }
    }

    /** Returns the number of open descriptors of the process, -1 if it has ended. */
    long openDescriptors() {
      try (Stream<Path> files = Files.list(Path.of("/proc", process.pid() + "", "fd"))) {
        return files.count();
      } catch (IOException e) {
        return -1;
      }
    }
  }

  Stage(Path caseFolder) throws IOException {
    this.root = Path.of("").toAbsolutePath();
    this.work = Files.createTempDirectory("parsleycart-review");
    this.record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")));
    Runtime.getRuntime().addShutdownHook(new Thread(this::end));
  }

  static boolean hasTrouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /** Sets the address at which the daemons reach the store. */
  void setStoreAddress(String address) {
    storeAddress = address;
  }

  Daemon addDaemon(String name, int zone, String service) {
    Daemon daemon = new Daemon(name, ZONES.get(zone), service);
    daemons.add(daemon);
    return daemon;
  }

  /** Starts all daemons and waits until each is ready. */
  void startDaemons() throws IOException, InterruptedException {
    for (Daemon daemon : daemons) {
      daemon.start();
    }
    for (Daemon daemon : daemons) {
      awaitReady(daemon);
    }
  }

  void awaitReady(Daemon daemon) throws InterruptedException {
    for (int attempt = 0; attempt < 300 && !daemon.isReady(); attempt++) {
      Thread.sleep(100);
    }
    if (!daemon.isReady()) {
      log(
          "daemon %s did not become ready; it runs: %s; its log ends with: %s"
              .formatted(daemon.name, daemon.process.isAlive(), lastLines(daemon)));
      exit(EXIT_NOT_RUN);
    }
  }

  private String lastLines(Daemon daemon) {
    try {
      List<String> lines = Files.readAllLines(work.resolve(daemon.name + ".log"));
      return String.join("\n", lines.subList(Math.max(0, lines.size() - 10), lines.size()));
    } catch (IOException e) {
      return e.getMessage();
    }
  }

  /** Writes a line, with the milliseconds since the start, to the record. */
  void log(String line) {
    synchronized (record) {
      record.printf("%7d %s%n", millis(), line);
    }
  }

  long millis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
  }

  /** Writes the result, ends all processes and this one. */
  void exit(int code) {
    log("exit " + code);
    System.out.println(
        switch (code) {
          case EXIT_HELD -> "the rule held";
          case EXIT_BROKEN -> "THE RULE WAS BROKEN";
          default -> "the case could not run";
        });
    System.exit(code);
  }

  @Override
  public void close() {
    end();
  }

  private synchronized void end() {
    for (Daemon daemon : daemons) {
      if (daemon.process != null) {
        daemon.process.destroyForcibly();
      }
    }
    synchronized (record) {
      record.flush();
    }
    if (System.getenv("KEEP") != null) {
      System.out.println("logs are kept in " + work);
      return;
    }
    try (Stream<Path> files = Files.list(work)) {
      files.forEach(file -> file.toFile().delete());
      Files.deleteIfExists(work);
    } catch (IOException e) {
      // A later call finds nothing left.
    }
  }

  /** Returns a loopback address whose port is free and is no port of outgoing connections. */
  static String freeAddress() {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", port);
      try (ServerSocket streams = new ServerSocket(port, 1, address.getAddress());
          DatagramSocket datagrams = new DatagramSocket(address)) {
        if (streams.isBound() && datagrams.isBound()) {
          return "127.0.0.1:" + port;
        }
      } catch (IOException e) {
        // The port is in use; another one is tried.
      }
    }
  }

  private String fillTemplate(Daemon daemon) throws IOException {
    String zones = "\"" + String.join("\",\"", ZONES) + "\"";
    String filled =
        Files.readString(root.resolve("deploy/settings.yaml.template"))
            .replace("{{zone}}", daemon.zone)
            .replace("{{#zones}}\"{{@}}\"{{,}}{{/zones}}", zones)
            .replace("{{service}}", daemon.service)
            .replace("{{listen.outbound}}", daemon.outbound)
            .replace("{{listen.inbound}}", daemon.inbound)
            .replace("{{ip}}:{{portRange.0}}", daemon.peers)
            .replace("{{listen.control}}", daemon.control)
            .replace("{{listen.ready}}", daemon.ready)
            .replace("{{provider.address}}", storeAddress)
            .replace("{{#bounds}}\"{{.}}\"{{,}}{{/bounds}}", BOUNDS);
    if (filled.contains("{{")) {
      throw new IllegalStateException("the settings template has an unknown placeholder");
    }
    return filled;
  }

  private List<String> command() throws IOException {
    return Files.readAllLines(root.resolve("deploy/system.toml")).stream()
        .filter(line -> line.startsWith("run = "))
        .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
        .map(line -> List.of(line.split(" ")))
        .findFirst()
        .orElseThrow();
  }
}
