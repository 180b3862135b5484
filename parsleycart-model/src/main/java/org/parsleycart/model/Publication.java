package org.parsleycart.model;

import static java.util.Objects.requireNonNull;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;

/**
 * What is known of the rows from which a configuration was published.
 *
 * @param generation the generation that operators gave their document; later documents have larger
 *     ones
 * @param retained the resources that stay in force although the platform has lost them, until it
 *     holds them again
 */
public record Publication(String name, long generation, Set<ResourceReference> retained)
    implements Resource {
  private static final String NAME = "operators";
  private static final String GENERATION = "generation";
  private static final List<ResourceKind> RETAINED_KINDS =
      List.of(ResourceKind.WITHDRAWAL, ResourceKind.ROLLOUT);
  private static final Publication NONE = new Publication(NAME, 0, Set.of());

  // -- construction

  public Publication {
    requireNonNull(name, "name is null");
    retained = Set.copyOf(retained);
  }

  /** Returns the publication of a document of the given generation. */
  public static Publication of(long generation, Set<ResourceReference> retained) {
    return new Publication(NAME, generation, retained);
  }

  /** Returns the publication of a configuration that was not published from rows. */
  public static Publication none() {
    return NONE;
  }

  static Publication from(MappingReader reader) {
    String name = reader.requiredName("name");
    long generation = reader.number(GENERATION, 0, Long.MAX_VALUE).orElse(0L);
    Set<ResourceReference> retained = new HashSet<>();
    RETAINED_KINDS.forEach(
        kind ->
            reader
                .textItems(kind.section())
                .forEach(resource -> retained.add(new ResourceReference(kind, resource))));
    return new Publication(name, generation, retained);
  }

  // -- queries

  /** Returns whether a resource stays in force although the platform has lost it. */
  public boolean isRetained(Resource resource) {
    return retained.contains(resource.reference());
  }

  // -- Resource

  @Override
  public ResourceKind kind() {
    return ResourceKind.PUBLICATION;
  }

  @Override
  public Document.Mapping toDocument() {
    Document.MappingBuilder builder =
        Document.mapping().with("name", name).with(GENERATION, generation);
    RETAINED_KINDS.forEach(
        kind -> {
          List<String> names = retainedNames(kind);
          if (!names.isEmpty()) {
            builder.with(kind.section(), Document.texts(names));
          }
        });
    return builder.build();
  }

  private List<String> retainedNames(ResourceKind kind) {
    return retained.stream()
        .filter(reference -> reference.kind() == kind)
        .map(ResourceReference::name)
        .sorted()
        .toList();
  }

  @Override
  public Stream<Violation> violations(Configuration configuration) {
    return Stream.empty();
  }
}
