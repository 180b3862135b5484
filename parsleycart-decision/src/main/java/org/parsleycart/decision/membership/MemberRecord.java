package org.parsleycart.decision.membership;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;
import org.parsleycart.model.document.Problem;

/**
 * The record that a daemon publishes about itself and the upstreams beside it.
 *
 * <p>Only the daemon itself writes the content at one incarnation and sequence. Other daemons
 * change only the status. Records are therefore totally ordered, and the larger one wins in any
 * order of arrival.
 *
 * @param identifier the control address of the daemon, {@code host:port}
 * @param incarnation the start of the process in milliseconds since the epoch, or a larger value
 *     taken over from a refuted claim
 * @param sequence counts the announcements of this incarnation
 * @param status the status of the daemon as seen by the sender of the record
 * @param zone the availability zone of the daemon
 * @param callAddress the address for calls from other daemons, {@code host:port}
 * @param upstreams the upstreams that run beside the daemon
 */
public record MemberRecord(
    String identifier,
    long incarnation,
    long sequence,
    MemberStatus status,
    String zone,
    String callAddress,
    Map<String, String> labels,
    List<AnnouncedUpstream> upstreams) {

  // -- construction

  public MemberRecord {
    requireNonNull(identifier, "identifier is null");
    requireNonNull(status, "status is null");
    requireNonNull(zone, "zone is null");
    requireNonNull(callAddress, "callAddress is null");
    labels = Map.copyOf(labels);
    upstreams = List.copyOf(upstreams);
  }

  /** Reads a record from its document form and adds each problem found to the list. */
  public static MemberRecord from(Document document, List<Problem> problems) {
    MappingReader reader = MappingReader.of(document, problems);
    MemberRecord record =
        new MemberRecord(
            reader.requiredText("member"),
            reader.requiredNumber("incarnation", 0, Long.MAX_VALUE),
            reader.requiredNumber("sequence", 0, Long.MAX_VALUE),
            StatusUpdate.statusFrom(reader),
            reader.requiredText("zone"),
            reader.requiredText("calls"),
            reader.texts("labels"),
            reader.items(
                "upstreams", item -> AnnouncedUpstream.from(MappingReader.of(item, problems))));
    reader.reportUnknownKeys();
    return record;
  }

  /** Returns this record with another status at the same incarnation and sequence. */
  public MemberRecord withStatus(MemberStatus newStatus) {
    return new MemberRecord(
        identifier, incarnation, sequence, newStatus, zone, callAddress, labels, upstreams);
  }

  /** Returns the next announcement of this incarnation. */
  public MemberRecord next(MemberStatus newStatus, List<AnnouncedUpstream> newUpstreams) {
    return new MemberRecord(
        identifier, incarnation, sequence + 1, newStatus, zone, callAddress, labels, newUpstreams);
  }

  // -- queries

  /** Returns whether this record replaces the other one. */
  public boolean isNewerThan(MemberRecord other) {
    requireNonNull(other, "other is null");
    return toStatusUpdate().isNewerThan(other.toStatusUpdate());
  }

  /** Returns the newer of two records of the same member. */
  public MemberRecord merge(MemberRecord other) {
    return other.isNewerThan(this) ? other : this;
  }

  /** Returns the status without the content, for receivers that already hold the content. */
  public StatusUpdate toStatusUpdate() {
    return new StatusUpdate(identifier, incarnation, sequence, status);
  }

  // -- conversion

  /** Returns the document form, as read by {@link #from}. */
  public Document.Mapping toDocument() {
    Document.MappingBuilder builder =
        Document.mapping()
            .with("member", identifier)
            .with("incarnation", incarnation)
            .with("sequence", sequence)
            .with("status", status.code())
            .with("zone", zone)
            .with("calls", callAddress)
            .withTexts("labels", new TreeMap<>(labels));
    return upstreams.isEmpty()
        ? builder.build()
        : builder
            .with(
                "upstreams",
                Document.sequence(upstreams.stream().map(AnnouncedUpstream::toDocument).toList()))
            .build();
  }
}
