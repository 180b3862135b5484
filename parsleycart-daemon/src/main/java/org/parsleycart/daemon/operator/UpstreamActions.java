package org.parsleycart.daemon.operator;

import static java.util.Objects.requireNonNull;

import io.undertow.util.StatusCodes;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.parsleycart.daemon.call.LocalUpstreams;
import org.parsleycart.decision.membership.AnnouncedUpstream;
import org.parsleycart.link.Addresses;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;
import org.parsleycart.model.document.Problem;
import org.parsleycart.model.document.YamlDocuments;

/** The requests of local upstreams: announce or renew, drain, and leave. */
public final class UpstreamActions {
  private static final Duration DEFAULT_RENEW_WITHIN = Duration.ofSeconds(3);

  private final LocalUpstreams upstreams;

  /** The parsed announcement of an upstream. */
  private record Announcement(AnnouncedUpstream upstream, String address, Duration renewWithin) {}

  // -- construction

  public UpstreamActions(LocalUpstreams upstreams) {
    this.upstreams = requireNonNull(upstreams, "upstreams is null");
  }

  // -- actions

  OperatorResponse announce(OperatorRequest request) {
    return parse(request)
        .fold(
            ConfigurationActions::malformedRequest,
            announcement -> {
              upstreams.announce(
                  announcement.upstream(), announcement.address(), announcement.renewWithin());
              long renewWithin = announcement.renewWithin().toMillis();
              return OperatorResponse.ok(
                  Document.mapping().with("renewWithinMilliseconds", renewWithin).build());
            });
  }

  private static Either<List<Problem>, Announcement> parse(OperatorRequest request) {
    return MappingReader.read(
        YamlDocuments.parse("announcement", request.body()),
        reader -> read(request.segment(1), reader));
  }

  private static Announcement read(String identifier, MappingReader reader) {
    AnnouncedUpstream upstream =
        new AnnouncedUpstream(
            identifier,
            reader.requiredName("service"),
            reader.requiredName("version"),
            (int) reader.requiredNumber("slots", 1, AnnouncedUpstream.MAXIMUM_SLOTS),
            false);
    String address = reader.requiredText("address");
    if (reader.has("address") && Addresses.parseTarget(address).isEmpty()) {
      reader.report("address", "\"" + address + "\"", "an IP address and a port above 0");
    }
    Optional<Duration> renewWithin = reader.duration("renewWithin");
    reader.reportUnknownKeys();
    return new Announcement(upstream, address, renewWithin.orElse(DEFAULT_RENEW_WITHIN));
  }

  OperatorResponse drain(OperatorRequest request) {
    return resultOrNotFound(request, upstreams.drain(request.segment(1)), "draining");
  }

  OperatorResponse leave(OperatorRequest request) {
    return resultOrNotFound(request, upstreams.remove(request.segment(1)), "left");
  }

  private static OperatorResponse resultOrNotFound(
      OperatorRequest request, boolean isKnown, String result) {
    return isKnown
        ? OperatorResponse.ok(Document.mapping().with("upstream", result).build())
        : OperatorResponse.error(
            StatusCodes.NOT_FOUND,
            "upstream is not announced at this daemon: " + request.segment(1),
            List.of());
  }
}
