package org.parsleycart.decision.membership;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.List;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;
import org.parsleycart.model.document.Problem;

/**
 * The status of a member without the content of its record.
 *
 * @param identifier the control address of the member
 * @param incarnation the incarnation that the status refers to
 * @param sequence the announcement that the status refers to
 */
public record StatusUpdate(
    String identifier, long incarnation, long sequence, MemberStatus status) {
  private static final Comparator<StatusUpdate> ORDER =
      Comparator.comparingLong(StatusUpdate::incarnation)
          .thenComparingLong(StatusUpdate::sequence)
          .thenComparing(StatusUpdate::status);
  private static final List<String> KEYS = List.of("member", "incarnation", "sequence", "status");

  // -- construction

  public StatusUpdate {
    requireNonNull(identifier, "identifier is null");
    requireNonNull(status, "status is null");
  }

  /**
   * Reads an update from its document form, a list of the four components, and adds each problem
   * found to the list of problems.
   */
  public static StatusUpdate from(Document document, List<Problem> problems) {
    MappingReader reader = MappingReader.ofItems(document, KEYS, problems);
    return new StatusUpdate(
        reader.requiredText("member"),
        reader.requiredNumber("incarnation", 0, Long.MAX_VALUE),
        reader.requiredNumber("sequence", 0, Long.MAX_VALUE),
        statusFrom(reader));
  }

  static MemberStatus statusFrom(MappingReader reader) {
    long code = reader.requiredNumber("status", 0, MemberStatus.values().length - 1L);
    return MemberStatus.ofCode(code).orElse(MemberStatus.DEAD);
  }

  // -- queries

  /** Returns whether this update replaces the other one about the same member. */
  public boolean isNewerThan(StatusUpdate other) {
    requireNonNull(other, "other is null");
    return ORDER.compare(this, other) > 0;
  }

  // -- conversion

  /** Returns the document form as a list, which is shorter than a mapping. */
  public Document.Sequence toDocument() {
    return Document.sequence(
        List.of(
            Document.scalar(identifier),
            Document.scalar(incarnation),
            Document.scalar(sequence),
            Document.scalar(status.code())));
  }
}
