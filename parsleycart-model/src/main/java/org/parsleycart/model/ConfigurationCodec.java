package org.parsleycart.model;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.parsleycart.model.Configuration.AcceptedChange;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;
import org.parsleycart.model.document.MessagePackDocuments;
import org.parsleycart.model.document.Problem;

/** Encodes and decodes configuration snapshots. */
final class ConfigurationCodec {
  private static final String VERSION = "version";
  private static final String CHANGE = "change";
  private static final String RECENT_CHANGES = "recentChanges";
  private static final String ZONE_CHANGES = "zoneChanges";

  private ConfigurationCodec() {}

  // -- reading

  /** Decodes a snapshot from MessagePack; returns it or the problems found in the bytes. */
  static Either<List<Problem>, Configuration> read(byte[] bytes) {
    return MessagePackDocuments.parse(bytes).mapLeft(List::of).flatMap(ConfigurationCodec::read);
  }

  private static Either<List<Problem>, Configuration> read(Document document) {
    List<Problem> problems = new ArrayList<>();
    MappingReader reader = MappingReader.of(document, problems);
    long version = reader.requiredNumber(VERSION, 0, Long.MAX_VALUE);
    Map<ResourceKind, SortedMap<String, Resource>> resources = new EnumMap<>(ResourceKind.class);
    for (ResourceKind kind : ResourceKind.values()) {
      reader
          .items(kind.section(), item -> kind.read(item, problems))
          .forEach(resource -> Configuration.put(resources, resource));
    }
    List<AcceptedChange> recent =
        reader.items(RECENT_CHANGES, item -> readAcceptedChange(MappingReader.of(item, problems)));
    Map<String, Long> zoneChanges = new TreeMap<>();
    reader.texts(ZONE_CHANGES).forEach((zone, text) -> zoneChanges.put(zone, Long.valueOf(text)));
    return problems.isEmpty()
        ? Either.right(new Configuration(version, resources, List.copyOf(recent), zoneChanges))
        : Either.left(problems);
  }

  private static AcceptedChange readAcceptedChange(MappingReader reader) {
    return new AcceptedChange(
        reader.requiredText(CHANGE), reader.requiredNumber(VERSION, 1, Long.MAX_VALUE));
  }

  // -- writing

  /** Converts the resources to a document with the structure of a configuration file. */
  static Document.Mapping toDocument(Configuration configuration) {
    return versionAndSections(configuration).build();
  }

  /** Encodes a snapshot as MessagePack; equal snapshots have equal bytes. */
  static byte[] toBytes(Configuration configuration) {
    List<Document.Mapping> recent =
        configuration.recentChanges().stream()
            .map(
                change ->
                    Document.mapping()
                        .with(CHANGE, change.identifier())
                        .with(VERSION, change.version())
                        .build())
            .toList();
    Map<String, String> changes = new TreeMap<>();
    configuration
        .zoneChanges()
        .forEach((zone, changedAt) -> changes.put(zone, changedAt.toString()));
    return MessagePackDocuments.format(
        versionAndSections(configuration)
            .with(RECENT_CHANGES, Document.sequence(recent))
            .withTexts(ZONE_CHANGES, changes)
            .build());
  }

  private static Document.MappingBuilder versionAndSections(Configuration configuration) {
    Document.MappingBuilder builder = Document.mapping().with(VERSION, configuration.version());
    for (ResourceKind kind : ResourceKind.values()) {
      SortedMap<String, Resource> section = configuration.section(kind);
      if (!section.isEmpty()) {
        builder.with(
            kind.section(),
            Document.sequence(section.values().stream().map(Resource::toDocument).toList()));
      }
    }
    return builder;
  }
}
