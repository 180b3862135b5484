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
 * Resources to insert, replace and remove in one atomic change.
 *
 * @param identifier makes the change idempotent; a repeat with the same identifier is not applied
 * @param author the person or component that requested the change
 * @param upserts the resources to insert, each replacing one of the same kind and name
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
   * Reads a change from a document, which has the structure of a configuration file.
   *
   * @param identifier the identifier if the document contains none
   * @param author the author if the document contains none
   * @return the change, or all problems with their locations
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
    reportDuplicates(upserts, removals, reader, problems);
    return problems.isEmpty()
        ? Either.right(new ConfigurationChange(actualIdentifier, actualAuthor, upserts, removals))
        : Either.left(List.copyOf(problems));
  }

  /** Returns the change that turns the earlier configuration into the later one. */
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

  private static void reportDuplicates(
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
                    new Problem(
                        reader.location(), reference + " more than once", "each resource once")));
  }

  /**
   * Returns the change that has the effect of this change and then of a later one. Where both
   * affect a resource, the later one prevails.
   */
  public ConfigurationChange followedBy(ConfigurationChange later) {
    requireNonNull(later, "later is null");
    Set<ResourceReference> replaced = later.affectedResources();
    Stream<Resource> keptUpserts =
        upserts.stream().filter(each -> !replaced.contains(each.reference()));
    Stream<ResourceReference> keptRemovals =
        removals.stream().filter(each -> !replaced.contains(each));
    return new ConfigurationChange(
        later.identifier,
        later.author,
        Stream.concat(keptUpserts, later.upserts.stream()).toList(),
        Stream.concat(keptRemovals, later.removals.stream()).toList());
  }

  // -- queries

  /** Returns the references of all resources that this change inserts, replaces or removes. */
  public Set<ResourceReference> affectedResources() {
    return Stream.concat(upserts.stream().map(Resource::reference), removals.stream())
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Converts the change to a document that {@link #from} reads. */
  public Document.Mapping toDocument() {
    Document.MappingBuilder builder =
        Document.mapping().with("change", identifier).with("author", author);
    Map<ResourceKind, List<Resource>> byKind =
        upserts.stream().collect(Collectors.groupingBy(Resource::kind));
    Map<ResourceKind, List<ResourceReference>> removedByKind =
        removals.stream().collect(Collectors.groupingBy(ResourceReference::kind));
    Document.MappingBuilder removeBuilder = Document.mapping();
    for (ResourceKind kind : ResourceKind.values()) {
      List<Resource> section = byKind.getOrDefault(kind, List.of());
      if (!section.isEmpty()) {
        builder.with(
            kind.section(), Document.sequence(section.stream().map(Resource::toDocument).toList()));
      }
      List<ResourceReference> removedInKind = removedByKind.getOrDefault(kind, List.of());
      if (!removedInKind.isEmpty()) {
        removeBuilder.with(
            kind.section(),
            Document.texts(removedInKind.stream().map(ResourceReference::name).toList()));
      }
    }
    Document.Mapping removeSections = removeBuilder.build();
    return removeSections.entries().isEmpty()
        ? builder.build()
        : builder.with(REMOVE, removeSections).build();
  }

  /** Encodes the change as MessagePack. */
  public byte[] toBytes() {
    return MessagePackDocuments.format(toDocument());
  }
}
