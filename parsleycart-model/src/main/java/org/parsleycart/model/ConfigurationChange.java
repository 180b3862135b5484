package org.parsleycart.model;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;
import org.parsleycart.model.document.MessagePackDocuments;
import org.parsleycart.model.document.Problem;

/**
 * Resources to put and resources to remove, accepted as a whole or not at all.
 *
 * @param identifier names this change; a repeat with the same identifier is the same change
 * @param author who asked for it
 * @param upserts the resources to put, each in place of one of the same kind and name
 * @param removals the resources to remove
 */
public record ConfigurationChange(
    String identifier, String author, List<Resource> upserts, List<ResourceReference> removals) {
  private static final String REMOVE = "remove";

  // -- construction

  public ConfigurationChange {
    requireNonNull(identifier, "identifier is null");
    requireNonNull(author, "author is null");
    upserts = List.copyOf(upserts);
    removals = List.copyOf(removals);
  }

  /**
   * Reads a change from its document form, which is also the form of a configuration file.
   *
   * @param document the document
   * @param identifier the identifier when the document names none
   * @param author the author when the document names none
   * @return the change, or every fault with its place
   */
  public static Either<List<Problem>, ConfigurationChange> from(
      Document document, String identifier, String author) {
    requireNonNull(document, "document is null");
    List<Problem> problems = new ArrayList<>();
    MappingReader reader = MappingReader.of(document, problems);
    String actualIdentifier = reader.text("change").orElse(identifier);
    String actualAuthor = reader.text("author").orElse(author);
    List<Resource> upserts =
        Stream.of(ResourceKind.values())
            .flatMap(kind -> readSection(reader, kind, problems).stream())
            .toList();
    List<ResourceReference> removals = readRemovals(reader);
    reader.reportUnknownKeys();
    reportRepeats(upserts, removals, reader, problems);
    return problems.isEmpty()
        ? Either.right(new ConfigurationChange(actualIdentifier, actualAuthor, upserts, removals))
        : Either.left(List.copyOf(problems));
  }

  /** Returns what a later version that was stated as a whole puts and removes. */
  public static ConfigurationChange between(Configuration earlier, Configuration later) {
    requireNonNull(earlier, "earlier is null");
    requireNonNull(later, "later is null");
    List<Resource> upserts =
        later
            .allResources()
            .filter(each -> !earlier.resource(each.reference()).equals(Optional.of(each)))
            .toList();
    List<ResourceReference> removals =
        earlier
            .allResources()
            .map(Resource::reference)
            .filter(reference -> later.resource(reference).isEmpty())
            .toList();
    return new ConfigurationChange("stated-" + later.version(), "operators", upserts, removals);
  }

  private static List<Resource> readSection(
      MappingReader reader, ResourceKind kind, List<Problem> problems) {
    return reader.items(kind.section(), item -> kind.read(item, problems));
  }

  private static List<ResourceReference> readRemovals(MappingReader reader) {
    List<ResourceReference> removals = new ArrayList<>();
    reader
        .nested(REMOVE)
        .ifPresent(
            section -> {
              for (ResourceKind kind : ResourceKind.values()) {
                section
                    .textItems(kind.section())
                    .forEach(name -> removals.add(new ResourceReference(kind, name)));
              }
              section.reportUnknownKeys();
            });
    return removals;
  }

  private static void reportRepeats(
      List<Resource> upserts,
      List<ResourceReference> removals,
      MappingReader reader,
      List<Problem> problems) {
    Set<ResourceReference> seen = new HashSet<>();
    Stream.concat(upserts.stream().map(Resource::reference), removals.stream())
        .filter(reference -> !seen.add(reference))
        .forEach(
            reference ->
                problems.add(
                    new Problem(reader.location(), reference + " twice", "each resource once")));
  }

  // -- queries

  /** Returns the references of all resources that this change puts or removes. */
  public Set<ResourceReference> affectedResources() {
    return Stream.concat(upserts.stream().map(Resource::reference), removals.stream())
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Returns the document form. */
  public Document.Mapping toDocument() {
    Document.MappingBuilder builder =
        Document.mapping().with("change", identifier).with("author", author);
    Map<ResourceKind, List<Resource>> byKind =
        upserts.stream().collect(Collectors.groupingBy(Resource::kind));
    Map<ResourceKind, List<ResourceReference>> removedByKind =
        removals.stream().collect(Collectors.groupingBy(ResourceReference::kind));
    Document.MappingBuilder removed = Document.mapping();
    for (ResourceKind kind : ResourceKind.values()) {
      List<Resource> section = byKind.getOrDefault(kind, List.of());
      if (!section.isEmpty()) {
        builder.with(
            kind.section(), Document.sequence(section.stream().map(Resource::toDocument).toList()));
      }
      List<ResourceReference> gone = removedByKind.getOrDefault(kind, List.of());
      if (!gone.isEmpty()) {
        removed.with(
            kind.section(), Document.texts(gone.stream().map(ResourceReference::name).toList()));
      }
    }
    Document.Mapping removedSections = removed.build();
    return removedSections.entries().isEmpty()
        ? builder.build()
        : builder.with(REMOVE, removedSections).build();
  }

  /** Returns the MessagePack form. */
  public byte[] toBytes() {
    return MessagePackDocuments.format(toDocument());
  }
}
