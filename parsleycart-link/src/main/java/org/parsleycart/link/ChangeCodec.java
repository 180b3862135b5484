package org.parsleycart.link;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.parsleycart.decision.message.VersionedChange;
import org.parsleycart.model.ConfigurationChange;
import org.parsleycart.model.Digest;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;
import org.parsleycart.model.document.MessagePackDocuments;
import org.parsleycart.model.document.Problem;

/** Converts accepted changes to documents and back, for messages and platform rows. */
public final class ChangeCodec {
  private static final ConfigurationChange EMPTY_CHANGE =
      new ConfigurationChange("", "", List.of(), List.of());

  private static final String DIFF_BASE = "statedAfter";

  private ChangeCodec() {}

  // -- documents

  /** Converts an accepted change to a document. */
  public static Document.Mapping toDocument(VersionedChange accepted) {
    requireNonNull(accepted, "accepted is null");
    Document.MappingBuilder builder =
        Document.mapping()
            .with("version", accepted.version())
            .with("acceptedAt", accepted.acceptedAt())
            .with("digest", accepted.digest().hexadecimal())
            .with("change", accepted.change().toDocument());
    accepted.diffBase().ifPresent(base -> builder.with(DIFF_BASE, base));
    return builder.build();
  }

  /** Reads an accepted change; the result is not to be used if a problem was added. */
  public static VersionedChange from(Document document, List<Problem> problems) {
    requireNonNull(document, "document is null");
    MappingReader reader = MappingReader.of(document, problems);
    return new VersionedChange(
        reader.requiredNumber("version", 1, Long.MAX_VALUE),
        reader.requiredNumber("acceptedAt", 0, Long.MAX_VALUE),
        readChange(reader, problems),
        new Digest(reader.requiredText("digest")),
        reader.optionalLong(DIFF_BASE, 0, Long.MAX_VALUE));
  }

  private static ConfigurationChange readChange(MappingReader reader, List<Problem> problems) {
    Document document = reader.document("change").orElseGet(() -> Document.mapping().build());
    Either<List<Problem>, ConfigurationChange> change = ConfigurationChange.from(document, "", "");
    change.peekLeft(problems::addAll);
    return change.getOrElse(EMPTY_CHANGE);
  }

  // -- bytes

  /** Encodes an accepted change as MessagePack. */
  public static byte[] toBytes(VersionedChange accepted) {
    return MessagePackDocuments.format(toDocument(accepted));
  }

  /** Decodes an accepted change from MessagePack, or returns the problems found. */
  public static Either<List<Problem>, VersionedChange> from(byte[] bytes) {
    requireNonNull(bytes, "bytes is null");
    return MessagePackDocuments.parse(bytes)
        .mapLeft(List::of)
        .flatMap(
            document -> {
              List<Problem> problems = new ArrayList<>();
              VersionedChange change = from(document, problems);
              return problems.isEmpty() ? Either.right(change) : Either.left(problems);
            });
  }
}
