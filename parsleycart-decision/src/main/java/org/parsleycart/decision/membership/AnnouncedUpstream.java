package org.parsleycart.decision.membership;

import static java.util.Objects.requireNonNull;

import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;

/**
 * An upstream as the daemon beside it announces it.
 *
 * @param identifier unique within the fleet
 * @param service the service it offers
 * @param version the version it runs
 * @param slots how many calls it can run at once
 * @param draining whether it finishes its calls and takes no new ones
 */
public record AnnouncedUpstream(
    String identifier, String service, String version, int slots, boolean draining) {
  /** The most slots that an upstream may announce. */
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
