package org.parsleycart.decision.membership;

import static java.util.Objects.requireNonNull;

import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;

/**
 * An upstream as announced by the daemon that runs beside it.
 *
 * @param identifier unique within the fleet
 * @param slots the number of calls that it can run concurrently
 * @param draining whether it completes its running calls and accepts no new ones
 */
public record AnnouncedUpstream(
    String identifier, String service, String version, int slots, boolean draining) {
  /** The largest number of slots that an upstream may announce. */
  public static final int MAXIMUM_SLOTS = 100_000;

  // -- construction

  public AnnouncedUpstream {
    requireNonNull(identifier, "identifier is null");
    requireNonNull(service, "service is null");
    requireNonNull(version, "version is null");
  }

  static AnnouncedUpstream from(MappingReader reader) {
    AnnouncedUpstream upstream =
        new AnnouncedUpstream(
            reader.requiredText("identifier"),
            reader.requiredText("service"),
            reader.requiredText("version"),
            (int) reader.requiredNumber("slots", 1, MAXIMUM_SLOTS),
            reader.flag("draining").orElse(false));
    reader.reportUnknownKeys();
    return upstream;
  }

  // -- conversion

  Document.Mapping toDocument() {
    Document.MappingBuilder builder =
        Document.mapping()
            .with("identifier", identifier)
            .with("service", service)
            .with("version", version)
            .with("slots", slots);
    return draining ? builder.with("draining", true).build() : builder.build();
  }
}
