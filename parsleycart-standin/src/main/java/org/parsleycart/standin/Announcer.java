package org.parsleycart.standin;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.parsleycart.link.Threads;
import org.parsleycart.link.http.HttpClient;
import org.parsleycart.link.http.HttpRequest;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.JsonDocuments;

/**
 * Announces an upstream to the daemon on its VM, renews the announcement periodically and finally
 * deregisters the upstream.
 */
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
   * Starts a thread that announces an upstream until the announcer is closed.
   *
   * @param daemon the operators' address of the daemon, {@code host:port}
   * @param identifier the identifier of the upstream
   * @param slots the number of calls that the upstream handles at once
   * @param address the address at which the upstream receives calls, {@code host:port}
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

  /** Requests that the daemon drains the upstream, so that it receives no new calls. */
  public void drain() {
    client.send(daemon, HttpRequest.of("POST", "/upstreams/" + identifier + "/drain"), TIMEOUT);
  }

  /** Stops the renewals and deregisters the upstream. */
  @Override
  public void close() {
    stopped = true;
    client.send(daemon, HttpRequest.of("DELETE", "/upstreams/" + identifier), TIMEOUT);
  }
}
