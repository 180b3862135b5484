package org.parsleycart.model;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;
import org.parsleycart.model.document.Problem;

/** The kinds of resources. Each kind has a section in configuration files and reads its items. */
public enum ResourceKind {
  AVAILABILITY_ZONE("zones") {
    @Override
    Resource read(MappingReader reader) {
      return AvailabilityZone.from(reader);
    }
  },
  CONTRACT("contracts") {
    @Override
    Resource read(MappingReader reader) {
      return Contract.from(reader);
    }
  },
  SERVICE("services") {
    @Override
    Resource read(MappingReader reader) {
      return Service.from(reader);
    }
  },
  ROUTE("routes") {
    @Override
    Resource read(MappingReader reader) {
      return Route.from(reader);
    }
  },
  ROLLOUT("rollouts") {
    @Override
    Resource read(MappingReader reader) {
      return Rollout.from(reader);
    }
  },
  WITHDRAWAL("withdrawals") {
    @Override
    Resource read(MappingReader reader) {
      return Withdrawal.from(reader);
    }
  },
  CALLER_LIMITS("callerLimits") {
    @Override
    Resource read(MappingReader reader) {
      return CallerLimits.from(reader);
    }
  },
  ORGANISATION("organisations") {
    @Override
    Resource read(MappingReader reader) {
      return Organisation.from(reader);
    }
  },
  PUBLICATION("publications") {
    @Override
    Resource read(MappingReader reader) {
      return Publication.from(reader);
    }
  };

  private final String section;

  ResourceKind(String section) {
    this.section = section;
  }

  // -- queries

  /** Returns the key of the section that holds resources of this kind. */
  public String section() {
    return section;
  }

  /** Returns the kind whose section has the given key, or empty if there is none. */
  public static Optional<ResourceKind> ofSection(String section) {
    return Stream.of(values()).filter(kind -> kind.section.equals(section)).findFirst();
  }

  // -- reading

  abstract Resource read(MappingReader reader);

  /**
   * Reads one resource of this kind.
   *
   * @param problems the list to which every problem is added
   * @return the resource; not to be used if a problem was added
   */
  public Resource read(Document document, List<Problem> problems) {
    MappingReader reader = MappingReader.of(document, problems);
    Resource resource = read(reader);
    reader.reportUnknownKeys();
    return resource;
  }

  @Override
  public String toString() {
    return section;
  }
}
