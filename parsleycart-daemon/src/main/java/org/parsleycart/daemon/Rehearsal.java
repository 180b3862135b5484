package org.parsleycart.daemon;

import io.undertow.Undertow;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.parsleycart.daemon.settings.DaemonSettings;
import org.parsleycart.link.Addresses;
import org.parsleycart.link.FreePorts;
import org.parsleycart.link.http.HttpCall;
import org.parsleycart.link.http.HttpClient;
import org.parsleycart.platform.standin.StoreStandin;

/**
 * A short life of two daemons on loopback, so that a class archive made at its end holds the
 * classes that a daemon needs.
 */
final class Rehearsal {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration PAUSE = Duration.ofMillis(50);
  private static final int ROUNDS = 60;
  private static final int PORTS = 5;
  private static final String CONFIGURATION =
      """
      {"version":"r1","routes":{
        "a":{"host":"a.example","prefix":"/a/","kind":"safe","timeoutMs":900,"targetLatencyMs":300,
             "priority":1,"service":"one","maxAttempts":2},
        "b":{"host":"a.example","prefix":"/b/","kind":"unsafe","timeoutMs":900,
             "targetLatencyMs":300,"priority":0,"maxAttempts":2,
             "weightedServices":[{"service":"one","weight":9},{"service":"two","weight":1}]}},
       "services":{
        "one":{"healthPath":"/health","maxConnections":10,"coldStartS":1.5,"coldPerS":40.0},
        "two":{"healthPath":"/health","maxConnections":10,"coldStartS":1.5,"coldPerS":40.0}},
       "limits":{"maxHeaderBytes":16384}}
      """;

  private Rehearsal() {}

  /** Plays the life. */
  static void run() throws IOException {
    InetSocketAddress loopback = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    StoreStandin store = StoreStandin.start(loopback);
    HttpClient client = HttpClient.start(1);
    Undertow upstream = upstream();
    upstream.start();
    String upstreamAddress =
        Addresses.format((InetSocketAddress) upstream.getListenerInfo().get(0).getAddress());
    store.put("op", "config", CONFIGURATION);
    List<DaemonSettings> settings = new ArrayList<>();
    List<Daemon> daemons = new ArrayList<>();
    for (String service : List.of("one", "two")) {
      DaemonSettings each = settings(store.address(), service);
      settings.add(each);
      daemons.add(Daemon.start(each));
    }
    for (int round = 0; round < ROUNDS; round++) {
      beat(client, settings.get(round % 2), upstreamAddress, round);
      call(client, settings.get(round % 2), round);
      LockSupport.parkNanos(PAUSE.toNanos());
      if (round == ROUNDS / 2) {
        store.put("op", "rollout/one", "{\"service\":\"one\",\"to\":\"v2\",\"durationS\":5}");
      }
    }
    daemons.forEach(Daemon::close);
    upstream.stop();
    client.close();
    store.close();
  }

  private static Undertow upstream() {
    return Undertow.builder()
        .addHttpListener(0, "127.0.0.1")
        .setHandler(
            exchange -> {
              HttpString identifier = new HttpString("Parsleycart-Attempt-Id");
              String value = exchange.getRequestHeaders().getFirst(identifier);
              exchange.getResponseHeaders().put(identifier, value == null ? "" : value);
              exchange.getResponseSender().send("fine");
            })
        .build();
  }

  private static void beat(
      HttpClient client, DaemonSettings settings, String upstreamAddress, int sequence) {
    String service = settings.upstreamService().orElseThrow();
    String body =
        """
        {"address":"%s","born":1,"info":{"service":"%s","version":"v1","zone":"z","slots":4},
         "status":{"state":"ready","seq":%d,"coldLeftMs":0}}
        """
            .formatted(upstreamAddress, service, sequence);
    client.send(
        Addresses.format(settings.addresses().operators()),
        HttpCall.of("POST", "/parsleycart/Instances.Heartbeat/i-" + service).body(body),
        CALL_TIMEOUT);
  }

  private static void call(HttpClient client, DaemonSettings settings, int round) {
    String callers = Addresses.format(settings.addresses().callers());
    String identifier = Integer.toString(round);
    client.send(
        callers,
        HttpCall.of("GET", "/a/x")
            .header("Host", "a.example")
            .header("Parsleycart-Attempt-Id", identifier)
            .header("Parsleycart-Deadline-Ms", "800"),
        CALL_TIMEOUT);
    client.send(
        callers,
        HttpCall.of("POST", "/b/x")
            .header("Host", "a.example")
            .header("Parsleycart-Attempt-Id", "b" + identifier)
            .body("body"),
        CALL_TIMEOUT);
  }

  private static DaemonSettings settings(String store, String service) throws IOException {
    List<Integer> ports = FreePorts.find(PORTS);
    String text =
        """
        dialect: platform
        zone: z
        zones: [z]
        upstreamService: %s
        addresses: {callers: "127.0.0.1:%d", daemons: "127.0.0.1:%d", control: "127.0.0.1:%d",
                    operators: "127.0.0.1:%d", readiness: "127.0.0.1:%d"}
        platform: "%s"
        peerKeys: [rehearsal-0123456789]
        limits: {trustsSlots: true, inputOutputThreads: 1, drainTimeout: 1s}
        """
            .formatted(
                service,
                ports.get(0),
                ports.get(1),
                ports.get(2),
                ports.get(3),
                ports.get(4),
                store);
    return DaemonSettings.parse("rehearsal", text).get();
  }
}
