package org.parsleycart.daemon;

import io.undertow.Undertow;
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
import org.parsleycart.link.http.HttpClient;
import org.parsleycart.platform.standin.SampleTraffic;
import org.parsleycart.platform.standin.StoreStandin;

/**
 * Runs two daemons on loopback for a short time, so that a class archive written at the end of the
 * process holds the classes that a daemon needs.
 */
final class ClassArchiveTrainingRun {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration ROUND_INTERVAL = Duration.ofMillis(50);
  private static final int ROUNDS = 60;
  private static final int PORTS_PER_DAEMON = 5;

  private ClassArchiveTrainingRun() {}

  /** Starts the daemons, sends them calls and a rollout, and stops them. */
  static void run() throws IOException {
    InetSocketAddress loopback = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    StoreStandin store = StoreStandin.start(loopback);
    HttpClient client = HttpClient.start(1);
    Undertow upstream = SampleTraffic.server();
    upstream.start();
    String upstreamAddress =
        Addresses.format((InetSocketAddress) upstream.getListenerInfo().get(0).getAddress());
    SampleTraffic.configure(store);
    List<DaemonSettings> settingsOfDaemons = new ArrayList<>();
    List<Daemon> daemons = new ArrayList<>();
    for (String service : SampleTraffic.SERVICES) {
      DaemonSettings daemonSettings = settings(store.address(), service);
      settingsOfDaemons.add(daemonSettings);
      daemons.add(Daemon.start(daemonSettings));
    }
    for (int round = 0; round < ROUNDS; round++) {
      DaemonSettings daemonSettings = settingsOfDaemons.get(round % settingsOfDaemons.size());
      String service = daemonSettings.upstreamService().orElseThrow();
      String callerAddress = Addresses.format(daemonSettings.addresses().callers());
      client.send(
          Addresses.format(daemonSettings.addresses().operators()),
          SampleTraffic.heartbeat(service, upstreamAddress, round),
          CALL_TIMEOUT);
      client.send(callerAddress, SampleTraffic.read(round), CALL_TIMEOUT);
      client.send(callerAddress, SampleTraffic.write(round), CALL_TIMEOUT);
      LockSupport.parkNanos(ROUND_INTERVAL.toNanos());
      if (round == ROUNDS / 2) {
        SampleTraffic.orderRollout(store);
      }
    }
    daemons.forEach(Daemon::close);
    upstream.stop();
    client.close();
    store.close();
  }

  private static DaemonSettings settings(String store, String service) throws IOException {
    List<Integer> ports = FreePorts.find(PORTS_PER_DAEMON);
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
    return DaemonSettings.parse("training run", text).get();
  }
}
