package org.parsleycart.bench;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.parsleycart.decision.admission.AdmissionControl;
import org.parsleycart.decision.admission.AdmissionDecision;
import org.parsleycart.decision.admission.AdmissionRequest;
import org.parsleycart.decision.admission.AdmissionSettings;
import org.parsleycart.decision.membership.AnnouncedUpstream;
import org.parsleycart.decision.membership.MemberRecord;
import org.parsleycart.decision.membership.MemberStatus;
import org.parsleycart.decision.message.ConfigurationHead;
import org.parsleycart.decision.message.ControlMessage;
import org.parsleycart.decision.message.Gossip;
import org.parsleycart.decision.routing.Candidate;
import org.parsleycart.decision.routing.CandidatePool;
import org.parsleycart.decision.routing.UpstreamDirectory;
import org.parsleycart.decision.routing.UpstreamLoadTable;
import org.parsleycart.decision.routing.UpstreamSelection;
import org.parsleycart.link.EnvelopeCodec;
import org.parsleycart.link.PeerKeys;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.ConfigurationChange;
import org.parsleycart.model.Contract;
import org.parsleycart.model.Digest;
import org.parsleycart.model.RequestKind;
import org.parsleycart.model.Resource;
import org.parsleycart.model.Route;
import org.parsleycart.model.Selector;
import org.parsleycart.model.Service;

/** Benchmarks single decisions against the number of upstreams, members or services. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class DecisionBenchmarks {
  private static final int ROUTES_PER_SERVICE = 3;

  /** Number of upstreams of one service, of members of the fleet, or of services. */
  @Param({"12", "450", "5300"})
  public int size;

  private final Random random = new Random(1);
  private final UpstreamLoadTable loadTable = new UpstreamLoadTable();
  private final UpstreamSelection selection = new UpstreamSelection(loadTable);
  private final InstantSource clock = InstantSource.system();
  private final AdmissionControl<String> admission =
      new AdmissionControl<>(new AdmissionSettings(2, 64), 20, clock);
  private final EnvelopeCodec envelopeCodec =
      new EnvelopeCodec(PeerKeys.of(List.of("bench-key-0123456789")));
  private List<MemberRecord> members;
  private CandidatePool pool;
  private Configuration configuration;
  private ConfigurationChange change;
  private byte[] encodedProbe;

  /** Creates the members, the upstreams, the configuration and the probe datagram. */
  @Setup
  public void prepare() {
    members = IntStream.range(0, size).mapToObj(DecisionBenchmarks::member).toList();
    pool = directory().pool("ledger", "v1");
    configuration = Configuration.empty().apply(services(size)).get();
    change =
        new ConfigurationChange("next", "bench", List.of(service(0).withVersion("v2")), List.of());
    encodedProbe = envelopeCodec.encode(probeMessage());
  }

  private static MemberRecord member(int index) {
    String address = "10.0." + index / 256 + "." + index % 256 + ":7402";
    AnnouncedUpstream upstream =
        new AnnouncedUpstream("upstream-" + index, "ledger", "v1", 20, false);
    return new MemberRecord(
        address,
        1,
        0,
        MemberStatus.ALIVE,
        "zone-" + index % 8,
        address,
        Map.of(),
        List.of(upstream));
  }

  private static Service service(int index) {
    return new Service("service-" + index, "v1", Duration.ofSeconds(10), Map.of());
  }

  private static ConfigurationChange services(int count) {
    Duration second = Duration.ofSeconds(1);
    Contract contract = new Contract("read", RequestKind.INTERACTIVE_READ, second, second, 3);
    Stream<Resource> services = IntStream.range(0, count).mapToObj(DecisionBenchmarks::service);
    Stream<Resource> routes =
        IntStream.range(0, count * ROUTES_PER_SERVICE)
            .mapToObj(
                index ->
                    new Route(
                        "route-" + index,
                        "/service-" + index / ROUTES_PER_SERVICE + "/" + index,
                        "service-" + index / ROUTES_PER_SERVICE,
                        "read",
                        Selector.all()));
    List<Resource> resources =
        Stream.of(Stream.<Resource>of(contract), services, routes)
            .flatMap(stream -> stream)
            .toList();
    return new ConfigurationChange("first", "bench", resources, List.of());
  }

  private UpstreamDirectory directory() {
    return UpstreamDirectory.of(members.stream(), "zone-0", zone -> false);
  }

  private ControlMessage probeMessage() {
    Gossip gossip =
        new Gossip(
            "10.0.0.1:7402",
            new ConfigurationHead(1, "0123456789abcdef"),
            Optional.of(Duration.ofMillis(700)),
            List.of(members.get(0)),
            List.of(members.get(1).toStatusUpdate()),
            List.of());
    return new ControlMessage.Probe(gossip, 1, "10.0.0.1:7402");
  }

  /** Selects an upstream for a call. */
  @Benchmark
  public Candidate chooseUpstream() {
    return selection.choose(pool, Set.of(), Instant.MIN, random).orElseThrow();
  }

  /** Admits a call to an upstream and records its answer. */
  @Benchmark
  public AdmissionDecision<String> admitAndAnswer() {
    AdmissionRequest<String> request =
        new AdmissionRequest<>(
            "call", RequestKind.INTERACTIVE_READ, "read", clock.instant().plusSeconds(1));
    admission.offer(request);
    return admission.recordAnswer("read", Duration.ofMillis(2));
  }

  /** Finds the route of a call. */
  @Benchmark
  public Route findRoute() {
    return configuration.routeFor("/service-0/0/item", Map.of()).orElseThrow();
  }

  /** Builds the upstream directory, as after a change of membership. */
  @Benchmark
  public UpstreamDirectory buildDirectory() {
    return directory();
  }

  /** Applies a change of one service to the configuration and computes the new digest. */
  @Benchmark
  public Digest applyChange() {
    return configuration.apply(change).get().digest();
  }

  /** Decodes a probe datagram and encodes it again, without merging its content. */
  @Benchmark
  public byte[] openAndSealDatagram() {
    return envelopeCodec.encode(envelopeCodec.decode(encodedProbe).get());
  }
}
