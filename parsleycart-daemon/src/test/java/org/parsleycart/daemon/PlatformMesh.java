package org.parsleycart.daemon;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.parsleycart.daemon.settings.DaemonSettings;
import org.parsleycart.link.Addresses;
import org.parsleycart.link.FreePorts;
import org.parsleycart.link.http.HttpClient;
import org.parsleycart.link.http.HttpRequest;
import org.parsleycart.link.http.HttpResponse;
import org.parsleycart.platform.standin.StoreStandin;

/**
 * A few real daemons in one process that speak the dialect of the platform and follow the
 * configuration in a stand-in of its store.
 */
public final class PlatformMesh implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(30);
  private static final int PORTS_PER_DAEMON = 5;

  /** Few, so that a test soon notices connections that are not released. */
  public static final int CONNECTIONS_PER_TARGET = 8;

  private static final int BIND_ATTEMPTS = 20;

  private final StoreStandin store =
      StoreStandin.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  private final HttpClient client = HttpClient.start(1);
  private final List<Member> members = new ArrayList<>();
  private final String furtherSettings;

  private PlatformMesh(String furtherSettings) {
    this.furtherSettings = furtherSettings;
  }

  /** A daemon and the settings with which it runs. */
  public record Member(Daemon daemon, DaemonSettings settings) {
    /** Returns the address to which callers send calls. */
    public String callers() {
      return Addresses.format(settings.addresses().callers());
    }

    /** Returns the address to which upstreams send heartbeats. */
    public String heartbeats() {
      return Addresses.format(settings.addresses().operators());
    }

    /** Returns the address of the readiness check. */
    public String readiness() {
      return Addresses.format(settings.addresses().readiness().orElseThrow());
    }
  }

  /**
   * Starts a daemon for each service and waits until all of them are ready.
   *
   * @param configuration the configuration as the operator of the platform writes it
   */
  public static PlatformMesh start(String configuration, String... services) throws IOException {
    return startWithSettings(configuration, "", services);
  }

  /**
   * Starts a daemon for each service as {@link #start} does.
   *
   * @param furtherSettings lines of settings; {@code {service}} in them is replaced
   */
  public static PlatformMesh startWithSettings(
      String configuration, String furtherSettings, String... services) throws IOException {
    PlatformMesh mesh = new PlatformMesh(furtherSettings);
    mesh.store.put("op", "config", configuration);
    for (String service : services) {
      mesh.members.add(mesh.startMember(service));
    }
    mesh.await(() -> mesh.members.stream().allMatch(mesh::isReady));
    return mesh;
  }

  private Member startMember(String service) throws IOException {
    for (int attempt = 0; attempt < BIND_ATTEMPTS; attempt++) {
      DaemonSettings settings = settings(service, FreePorts.find(PORTS_PER_DAEMON));
      try {
        return new Member(Daemon.start(settings), settings);
      } catch (BindException e) {
        LockSupport.parkNanos(1);
      }
    }
    throw new IOException("no free ports for a daemon after " + BIND_ATTEMPTS + " attempts");
  }

  private DaemonSettings settings(String service, List<Integer> ports) {
    String text =
        """
        dialect: platform
        zone: z
        zones: [z]
        upstreamService: %s
        addresses: {callers: "127.0.0.1:%d", daemons: "127.0.0.1:%d", control: "127.0.0.1:%d",
                    operators: "127.0.0.1:%d", readiness: "127.0.0.1:%d"}
        platform: "%s"
        peerKeys: [test-key-0123456789]
        limits: {trustsSlots: true, inputOutputThreads: 1, drainTimeout: 5s,
                 connectionsPerTarget: %d}
        """
            .formatted(
                service,
                ports.get(0),
                ports.get(1),
                ports.get(2),
                ports.get(3),
                ports.get(4),
                store.address(),
                CONNECTIONS_PER_TARGET);
    return DaemonSettings.parse("test", text + furtherSettings.replace("{service}", service)).get();
  }

  // -- queries

  /** Returns a daemon by its index in the order of the services. */
  public Member member(int index) {
    return members.get(index);
  }

  public StoreStandin store() {
    return store;
  }

  public HttpClient client() {
    return client;
  }

  /** Returns whether the readiness check of a daemon passes. */
  public boolean isReady(Member member) {
    return client
        .send(member.readiness(), HttpRequest.of("GET", "/parsleycart/ready"), TIMEOUT)
        .map(response -> response.status() == 200)
        .getOrElse(false);
  }

  /** Returns whether a daemon routes calls to an upstream of the service. */
  public boolean hasUpstream(Member member, String service) {
    return send(member.heartbeats(), HttpRequest.of("GET", "/status"))
        .text()
        .contains("{\"service\":\"" + service + " ");
  }

  // -- operations

  /** Sends a request and fails if it is not answered. */
  public HttpResponse send(String address, HttpRequest request) {
    return client.send(address, request, TIMEOUT).get();
  }

  /** Sends a heartbeat of a ready upstream to the daemon beside it. */
  public HttpResponse beat(Member member, Heartbeat heartbeat) {
    return send(member.heartbeats(), heartbeat.toRequest());
  }

  /** Reports to the daemon beside an upstream that the upstream has left. */
  public HttpResponse deregister(Member member, String identifier) {
    return send(
        member.heartbeats(),
        HttpRequest.of("POST", "/parsleycart/Instances.Deregister/" + identifier).body("{}"));
  }

  /** Kills a daemon, as if its process had crashed. */
  public void kill(Member member) {
    member.daemon().kill();
  }

  /** Kills a daemon and starts it again with the settings that it had. */
  public Member restart(int index) throws IOException {
    Member member = members.get(index);
    member.daemon().kill();
    Member restarted = new Member(Daemon.start(member.settings()), member.settings());
    members.set(index, restarted);
    return restarted;
  }

  /** Waits for a condition. The time limit only ends a run that hangs. */
  public void await(BooleanSupplier condition) {
    long deadline = System.nanoTime() + MAXIMUM_WAIT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new IllegalStateException("condition not met in time");
      }
      LockSupport.parkNanos(Duration.ofMillis(20).toNanos());
    }
  }

  @Override
  public void close() {
    members.forEach(member -> member.daemon().kill());
    client.close();
    store.close();
  }

  /**
   * A heartbeat of an upstream.
   *
   * @param address the address at which the upstream accepts requests, as {@code host:port}
   * @param bornAt the Unix millisecond of the start of the upstream
   * @param state {@code ready} or {@code draining}
   */
  public record Heartbeat(
      String identifier, String service, String address, long bornAt, int sequence, String state) {

    /** Returns a heartbeat of a ready upstream. */
    public static Heartbeat ready(String identifier, String service, String address, int sequence) {
      return new Heartbeat(identifier, service, address, 1, sequence, "ready");
    }

    private HttpRequest toRequest() {
      String body =
          """
          {"address":"%s","born":%d,
           "info":{"service":"%s","version":"v1","zone":"z","slots":8},
           "status":{"state":"%s","seq":%d,"coldLeftMs":0}}
          """
              .formatted(address, bornAt, service, state, sequence);
      return HttpRequest.of("POST", "/parsleycart/Instances.Heartbeat/" + identifier).body(body);
    }
  }
}
