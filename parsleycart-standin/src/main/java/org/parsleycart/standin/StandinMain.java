package org.parsleycart.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.parsleycart.link.Addresses;
import org.parsleycart.link.FreePorts;
import org.parsleycart.link.LibraryLogging;
import org.parsleycart.link.http.HttpClient;
import org.parsleycart.model.document.JsonDocuments;
import org.parsleycart.platform.standin.StoreStandin;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs each stand-in as a process of its own, for trial runs. */
@Command(
    name = "parsleycart-standin",
    description = "Runs stand-ins for the platform, upstreams and callers.",
    mixinStandardHelpOptions = true,
    subcommands = {
      StandinMain.PlatformCommand.class,
      StandinMain.UpstreamCommand.class,
      StandinMain.CallsCommand.class,
      StandinMain.PortsCommand.class
    })
public final class StandinMain {

  // -- start

  /** Runs the command and ends the process with its exit code. */
  public static void main(String[] arguments) {
    LibraryLogging.limitToWarnings();
    System.exit(new CommandLine(new StandinMain()).execute(arguments));
  }

  private static InetSocketAddress address(String text) {
    return Addresses.parse(text)
        .orElseThrow(() -> new IllegalArgumentException(text + " is not an IP address and port"));
  }

  private static void runUntilStopped(AutoCloseable resource) throws InterruptedException {
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  try {
                    resource.close();
                  } catch (Exception e) {
                    System.err.println("stand-in failed to close: " + e.getMessage());
                  }
                  stopped.countDown();
                }));
    stopped.await();
  }

  /** Runs a stand-in of the platform. */
  @Command(
      name = "platform",
      description = "Runs a platform stand-in.",
      mixinStandardHelpOptions = true)
  static final class PlatformCommand implements Callable<Integer> {
    @Option(names = "--listen", required = true, description = "IP address and port.")
    private String listen;

    @Override
    public Integer call() throws InterruptedException {
      runUntilStopped(StoreStandin.start(address(listen)));
      return 0;
    }
  }

  /** Runs a stand-in of an upstream and announces it to a daemon. */
  @Command(
      name = "upstream",
      description = "Runs an upstream stand-in.",
      mixinStandardHelpOptions = true)
  static final class UpstreamCommand implements Callable<Integer> {
    @Option(names = "--name", required = true, description = "Identifier of the upstream.")
    private String name;

    @Option(names = "--service", required = true, description = "Service of the upstream.")
    private String service;

    @Option(names = "--release", required = true, description = "Version of the upstream.")
    private String version;

    @Option(
        names = "--slots",
        defaultValue = "20",
        description = "Concurrent calls (default: ${DEFAULT-VALUE}).")
    private int slots;

    @Option(
        names = "--latency-milliseconds",
        defaultValue = "2",
        description = "Time for each call.")
    private long latency;

    @Option(
        names = "--warm-up-milliseconds",
        defaultValue = "0",
        description = "Time from a cold start to full capacity.")
    private long warmUp;

    @Option(names = "--failing", description = "Answer every request with status 500.")
    private boolean failing;

    @Option(
        names = "--ends-on",
        description = "Text in the paths of requests under which the upstream crashes.")
    private Optional<String> deadlyPath = Optional.empty();

    @Option(names = "--listen", required = true, description = "IP address and port.")
    private String listen;

    @Option(names = "--daemon", required = true, description = "Operator address of the daemon.")
    private String daemon;

    @Override
    public Integer call() throws InterruptedException {
      UpstreamModel model =
          new UpstreamModel(
              slots, Duration.ofMillis(latency), Duration.ofMillis(warmUp), InstantSource.system());
      UpstreamStandin standin = UpstreamStandin.start(name, version, model, address(listen));
      standin.setFailing(failing);
      standin.setDeadlyPath(deadlyPath);
      Announcer announcer =
          Announcer.start(HttpClient.start(1), daemon, name, service, version, slots, listen);
      runUntilStopped(
          () -> {
            announcer.close();
            standin.close();
          });
      return 0;
    }
  }

  /** Sends calls at a fixed rate and prints the results. */
  @Command(name = "calls", description = "Sends calls.", mixinStandardHelpOptions = true)
  static final class CallsCommand implements Callable<Integer> {
    @Option(
        names = "--entries",
        split = ",",
        required = true,
        description = "Addresses to which calls are sent.")
    private List<String> entries;

    @Option(names = "--path", required = true, description = "Path of each request.")
    private String path;

    @Option(names = "--rate", defaultValue = "100", description = "Calls per second.")
    private double rate;

    @Option(names = "--seconds", defaultValue = "5", description = "Duration in seconds.")
    private long seconds;

    @Option(names = "--threads", defaultValue = "32", description = "Number of threads.")
    private int threads;

    @Override
    public Integer call() {
      CallDriver driver = new CallDriver(HttpClient.start(2), entries, path, Duration.ofSeconds(5));
      driver.run(rate, Duration.ofSeconds(seconds), threads);
      System.out.println(JsonDocuments.format(driver.toDocument()));
      return 0;
    }
  }

  /** Prints free ports, one on each line. */
  @Command(name = "ports", description = "Prints free ports.", mixinStandardHelpOptions = true)
  static final class PortsCommand implements Callable<Integer> {
    @Parameters(paramLabel = "COUNT", description = "Number of ports.")
    private int count;

    @Override
    public Integer call() throws IOException {
      FreePorts.find(count).forEach(System.out::println);
      return 0;
    }
  }
}
