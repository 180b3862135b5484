package org.parsleycart.standin;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.parsleycart.link.Threads;
import org.parsleycart.link.http.HttpClient;
import org.parsleycart.link.http.HttpRequest;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.JsonDocuments;

/** Announces an upstream to the daemon beside it, renews, and takes its leave. */
public final class Announcer implements AutoCloseable {
  private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(800);
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  private final HttpClient client;
  private final String daemon;
  private final String identifier;
  private final String body;
  private final Thread thread;
  private volatile boolean stopped;

  // -- construction

  private Announcer(HttpClient client, String daemon, String identifier, String body) {
    this.client = client;
    this.daemon = daemon;
    this.identifier = identifier;
    this.body = body;
    this.thread = Threads.newDaemonThread("announcing-" + identifier, this::run);
  }

  /**
   * Starts to announce.
   *
   * @param client sends the requests
   * @param daemon the operators' address of the daemon
   * @param identifier the upstream
   * @param service the service
   * @param version its version
   * @param slots its slots
   * @param address where it takes requests
   */
  public static Announcer start(
      HttpClient client,
      String daemon,
      String identifier,
      String service,
      String version,
      int slots,
      String address) {
    requireNonNull(client, "client is null");
    Document announcement =
        Document.mapping()
            .with("service", service)
            .with("version", version)
            .with("slots", slots)
            .with("address", address)
            .build();
    Announcer announcer =
        new Announcer(client, daemon, identifier, JsonDocuments.format(announcement));
    announcer.thread.start();
    return announcer;
  }

  // -- operation

  private void run() {
    while (!stopped) {
      client.send(daemon, HttpRequest.of("PUT", "/upstreams/" + identifier).body(body), TIMEOUT);
      LockSupport.parkNanos(this, RENEWAL_INTERVAL.toNanos());
    }
  }

  /** Tells the daemon that the upstream takes no new calls. */
  public void drain() {
    client.send(daemon, HttpRequest.of("POST", "/upstreams/" + identifier + "/drain"), TIMEOUT);
  }

  /** Stops renewing and takes leave. */
  @Override
  public void close() {
    stopped = true;
    client.send(daemon, HttpRequest.of("DELETE", "/upstreams/" + identifier), TIMEOUT);
  }
}
