package org.parsleycart.daemon;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.parsleycart.daemon.settings.DaemonSettings;
import org.parsleycart.link.Addresses;
import org.parsleycart.link.FreePorts;
import org.parsleycart.link.http.HttpClient;
import org.parsleycart.link.http.HttpRequest;
import org.parsleycart.link.http.HttpResponse;
import org.parsleycart.platform.standin.StoreStandin;

/** A few real daemons in one process on free ports, with a platform stand-in. */
public final class TestMesh implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(30);
  private static final int BIND_ATTEMPTS = 20;

  private final StoreStandin platform =
      StoreStandin.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  private final HttpClient client = HttpClient.start(1);
  private final List<Member> members = new ArrayList<>();

  /** A daemon and its addresses. */
  public record Member(Daemon daemon, DaemonSettings settings) {
    /** Returns the address to which callers send calls. */
    public String callers() {
      return Addresses.format(settings.addresses().callers());
    }

    /** Returns the address to which operators send requests. */
    public String operators() {
      return Addresses.format(settings.addresses().operators());
    }

    /** Returns the address to which other daemons send calls. */
    public String daemons() {
      return Addresses.format(settings.addresses().daemons());
    }
  }

  /** Starts a daemon in each of the given zones and waits until each reports all of them alive. */
  public static TestMesh start(String... zones) throws IOException {
    TestMesh mesh = new TestMesh();
    for (String zone : zones) {
      mesh.add(zone);
    }
    mesh.await(() -> mesh.members.stream().allMatch(each -> mesh.reportsAlive(each, zones.length)));
    return mesh;
  }

  /** Starts one more daemon, which looks for peers at the given control addresses first. */
  public Member add(String zone, String... seeds) throws IOException {
    for (int attempt = 0; attempt < BIND_ATTEMPTS; attempt++) {
      DaemonSettings settings =
          DaemonSettings.parse("test", settingsText(zone, FreePorts.find(4), seeds)).get();
      try {
        Member member = new Member(Daemon.start(settings), settings);
        members.add(member);
        return member;
      } catch (BindException e) {
        LockSupport.parkNanos(1);
      }
    }
    throw new IOException("no free ports for a daemon after " + BIND_ATTEMPTS + " attempts");
  }

  private String settingsText(String zone, List<Integer> ports, String... seeds) {
    return """
        zone: %s
        addresses: {callers: "127.0.0.1:%d", daemons: "127.0.0.1:%d",
                    control: "127.0.0.1:%d", operators: "127.0.0.1:%d"}
        platform: "%s"
        peerKeys: [test-key-0123456789]
        seeds: [%s]
        limits: {maximumBodyBytes: 100000, replayableBodyBytes: 1000, drainTimeout: 5s}
        """
        .formatted(
            zone,
            ports.get(0),
            ports.get(1),
            ports.get(2),
            ports.get(3),
            platform.address(),
            Stream.of(seeds).map(seed -> '"' + seed + '"').collect(Collectors.joining(", ")));
  }

  // -- queries

  /** Returns a daemon by its index in the order of start. */
  public Member member(int index) {
    return members.get(index);
  }

  public StoreStandin platform() {
    return platform;
  }

  public HttpClient client() {
    return client;
  }

  private boolean reportsAlive(Member member, int count) {
    return send(member.operators(), HttpRequest.of("GET", "/status"))
        .text()
        .contains("\"alive\":" + count);
  }

  // -- operations

  /** Sends a request and fails if it is not answered. */
  public HttpResponse send(String address, HttpRequest request) {
    return client.send(address, request, TIMEOUT).get();
  }

  /**
   * Applies a configuration change at the first daemon and waits until it is in force at all
   * daemons.
   */
  public void apply(String yaml) {
    HttpResponse response =
        send(members.get(0).operators(), HttpRequest.of("POST", "/changes").body(yaml));
    if (response.status() != 200) {
      throw new IllegalStateException(response.text());
    }
    awaitInForce();
  }

  /** Waits until the newest version known to the first daemon is in force at all daemons. */
  public void awaitInForce() {
    await(
        () ->
            send(members.get(0).operators(), HttpRequest.of("GET", "/in-force"))
                .text()
                .contains("\"lagging\":0,\"silent\":0"));
  }

  /** Announces an upstream at a daemon. The announcement does not expire during the test. */
  public void announce(
      Member member, String identifier, String service, String version, String address) {
    String body =
        "{service: %s, version: %s, slots: 4, address: \"%s\", renewWithin: 10m}"
            .formatted(service, version, address);
    HttpResponse response =
        send(member.operators(), HttpRequest.of("PUT", "/upstreams/" + identifier).body(body));
    if (response.status() != 200) {
      throw new IllegalStateException(response.text());
    }
  }

  /**
   * Waits until a daemon routes to the given number of upstreams.
   *
   * @param serviceVersionZone the service, version and zone of the upstreams, separated by spaces
   */
  public void awaitUpstreams(Member member, String serviceVersionZone, int count) {
    String expectedEntry =
        "{\"service\":\"" + serviceVersionZone + "\",\"upstreams\":" + count + "}";
    await(
        () ->
            send(member.operators(), HttpRequest.of("GET", "/status"))
                    .text()
                    .contains(expectedEntry)
                || (count == 0 && !routesTo(member, serviceVersionZone)));
  }

  private boolean routesTo(Member member, String serviceVersionZone) {
    return send(member.operators(), HttpRequest.of("GET", "/status"))
        .text()
        .contains("\"service\":\"" + serviceVersionZone + "\"");
  }

  /** Waits for a condition. The time limit only ends a run that hangs. */
  public void await(BooleanSupplier condition) {
    long deadline = System.nanoTime() + MAXIMUM_WAIT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new IllegalStateException(
            "condition not met in time; status of each daemon: " + statuses());
      }
      LockSupport.parkNanos(Duration.ofMillis(20).toNanos());
    }
  }

  private Map<String, String> statuses() {
    Map<String, String> statuses = new java.util.TreeMap<>();
    members.forEach(
        member ->
            statuses.put(
                member.operators(),
                client
                    .send(member.operators(), HttpRequest.of("GET", "/status"), TIMEOUT)
                    .fold(Object::toString, HttpResponse::text)));
    return statuses;
  }

  @Override
  public void close() {
    members.forEach(member -> member.daemon().kill());
    client.close();
    platform.close();
  }
}
