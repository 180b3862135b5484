package org.parsleycart.daemon.settings;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.parsleycart.decision.spreading.RevocationPolicy;
import org.parsleycart.link.Addresses;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;
import org.parsleycart.model.document.Problem;
import org.parsleycart.model.document.YamlDocuments;
import org.parsleycart.platform.PlatformBounds;
import org.parsleycart.platform.UsageBounds;

/**
 * The settings that a daemon reads from its settings file.
 *
 * @param zone the availability zone of the daemon
 * @param labels the labels by which routes select daemons
 * @param dialect the dialect spoken with callers, upstreams and operators
 * @param upstreamService the service next to the daemon, if known in advance
 * @param zones the zones of the fleet, if known in advance
 * @param addresses the addresses that the daemon listens on
 * @param platform the address of the platform, or empty for the embedded platform
 * @param platformTimeout the timeout of each request to the platform
 * @param peerKeys the keys shared with the other daemons; messages are signed with the first
 * @param seeds the control addresses at which to look for peers first
 * @param revocation how soon a revoked key must stop working
 * @param limits the limits on concurrent work, memory and retries
 * @param traces the export of spans
 * @param usageDuty the usage duty, empty if the deployment does not ask for it
 */
public record DaemonSettings(
    String zone,
    Map<String, String> labels,
    DialectName dialect,
    Optional<String> upstreamService,
    List<String> zones,
    ListenAddresses addresses,
    Optional<String> platform,
    Duration platformTimeout,
    List<String> peerKeys,
    List<String> seeds,
    RevocationPolicy revocation,
    DaemonLimits limits,
    TraceSettings traces,
    Optional<DutySettings> usageDuty) {
  private static final String EMBEDDED = "embedded";
  private static final String PLATFORM_BOUNDS = "platformBounds";
  private static final Duration DEFAULT_PLATFORM_TIMEOUT = Duration.ofSeconds(1);
  private static final int MINIMUM_KEY_LENGTH = 16;
  private static final int MAXIMUM_KEYS = 2;

  // -- construction

  public DaemonSettings {
    requireNonNull(zone, "zone is null");
    labels = Map.copyOf(labels);
    requireNonNull(dialect, "dialect is null");
    requireNonNull(upstreamService, "upstreamService is null");
    zones = List.copyOf(zones);
    requireNonNull(addresses, "addresses is null");
    requireNonNull(platform, "platform is null");
    requireNonNull(platformTimeout, "platformTimeout is null");
    peerKeys = List.copyOf(peerKeys);
    seeds = List.copyOf(seeds);
    requireNonNull(revocation, "revocation is null");
    requireNonNull(limits, "limits is null");
    requireNonNull(traces, "traces is null");
    requireNonNull(usageDuty, "usageDuty is null");
  }

  /**
   * Parses settings.
   *
   * @param source the name of the file, used in problems
   * @param text the YAML text
   * @return the settings, or every problem with its location
   */
  public static Either<List<Problem>, DaemonSettings> parse(String source, String text) {
    return YamlDocuments.parse(source, text).flatMap(DaemonSettings::from);
  }

  private static Either<List<Problem>, DaemonSettings> from(Document document) {
    List<Problem> problems = new ArrayList<>();
    MappingReader reader = MappingReader.of(document, problems);
    DialectName dialect =
        reader.enumConstant("dialect", DialectName.class).orElse(DialectName.PARSLEYCART);
    List<String> boundTexts = reader.textItems(PLATFORM_BOUNDS);
    PlatformBounds bounds = boundsFrom(boundTexts, reader, dialect);
    DaemonSettings settings =
        new DaemonSettings(
            reader.requiredName("zone"),
            reader.texts("labels"),
            dialect,
            reader.text("upstreamService"),
            reader.textItems("zones"),
            ListenAddresses.from(section(reader, "addresses", problems)),
            platformFrom(reader),
            reader.duration("platformTimeout").orElse(DEFAULT_PLATFORM_TIMEOUT),
            keysFrom(reader),
            seedsFrom(reader),
            bounds.revocation(),
            DaemonLimits.from(section(reader, "limits", problems), bounds),
            TraceSettings.from(section(reader, "traces", problems)),
            reader
                .nested("duty")
                .map(duty -> DutySettings.from(duty, UsageBounds.from(boundTexts)))
                .flatMap(DutySettings::ifUsage));
    reader.reportUnknownKeys();
    return problems.isEmpty() ? Either.right(settings) : Either.left(problems);
  }

  private static PlatformBounds boundsFrom(
      List<String> assignments, MappingReader reader, DialectName dialect) {
    PlatformBounds bounds = PlatformBounds.from(assignments);
    PlatformBounds.malformed(assignments)
        .forEach(
            assignment ->
                reader.report(
                    PLATFORM_BOUNDS,
                    "\"" + assignment + "\"",
                    "name=value, with true or false, or a whole number of milliseconds above 0"));
    if (bounds.revocation().isStrict() && dialect != DialectName.PLATFORM) {
      // Without the feed of the platform no version is ever confirmed as the newest.
      reader.report(PLATFORM_BOUNDS, "strict revocation", "it with the dialect platform only");
    }
    return bounds;
  }

  private static MappingReader section(MappingReader reader, String key, List<Problem> problems) {
    Document.Mapping emptySection = new Document.Mapping(reader.location().child(key, 0), Map.of());
    return reader.nested(key).orElseGet(() -> MappingReader.of(emptySection, problems));
  }

  private static Optional<String> platformFrom(MappingReader reader) {
    String text = reader.requiredText("platform");
    if (text.equals(EMBEDDED)) {
      return Optional.empty();
    }
    if (reader.has("platform") && Addresses.parse(text).isEmpty()) {
      reader.report("platform", "\"" + text + "\"", "\"embedded\" or an IP address and port");
    }
    return Optional.of(text);
  }

  private static List<String> keysFrom(MappingReader reader) {
    List<String> keys = reader.textItems("peerKeys");
    boolean areLongEnough = keys.stream().allMatch(key -> key.length() >= MINIMUM_KEY_LENGTH);
    if (keys.isEmpty() || keys.size() > MAXIMUM_KEYS || !areLongEnough) {
      reader.report(
          "peerKeys",
          keys.size() + " keys",
          "one key, or the new and the old one, of at least " + MINIMUM_KEY_LENGTH + " characters");
    }
    return keys;
  }

  private static List<String> seedsFrom(MappingReader reader) {
    List<String> seeds = reader.textItems("seeds");
    seeds.stream()
        .filter(seed -> Addresses.parse(seed).isEmpty())
        .forEach(seed -> reader.report("seeds", "\"" + seed + "\"", "IP addresses and ports"));
    return seeds;
  }

  // -- queries

  /** Returns the identifier of the daemon, which is its control address. */
  public String identifier() {
    return Addresses.format(addresses.control());
  }

  /** Returns the address to which other daemons send calls. */
  public InetSocketAddress callAddress() {
    return addresses.daemons();
  }
}
