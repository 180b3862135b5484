package org.parsleycart.daemon.operator;

import static java.util.Objects.requireNonNull;

import io.undertow.util.StatusCodes;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.parsleycart.daemon.control.PlatformWorker;
import org.parsleycart.daemon.control.ZoneCapacity;
import org.parsleycart.daemon.control.ZoneChanges;
import org.parsleycart.daemon.state.MeshState;
import org.parsleycart.decision.message.UrgentFact;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.ConfigurationChange;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.Problem;
import org.parsleycart.model.document.YamlDocuments;
import org.parsleycart.store.AcceptanceError;

/**
 * The operator requests that read or change the configuration and that withdraw or return
 * availability zones.
 */
public final class ConfigurationActions {
  private static final String DEFAULT_AUTHOR = "operator";

  private final MeshState state;
  private final ChangeAcceptor changeAcceptor;
  private final PlatformWorker platformWorker;
  private final ZoneCapacity capacity;

  // -- construction

  public ConfigurationActions(
      MeshState state,
      ChangeAcceptor changeAcceptor,
      PlatformWorker platformWorker,
      ZoneCapacity capacity) {
    this.state = requireNonNull(state, "state is null");
    this.changeAcceptor = requireNonNull(changeAcceptor, "changeAcceptor is null");
    this.platformWorker = requireNonNull(platformWorker, "platformWorker is null");
    this.capacity = requireNonNull(capacity, "capacity is null");
  }

  // -- reading

  OperatorResponse read(OperatorRequest request) {
    Document.Mapping document = state.configuration().toDocument();
    return request.parameter("format").equals(Optional.of("yaml"))
        ? OperatorResponse.text(StatusCodes.OK, YamlDocuments.format(document))
        : OperatorResponse.ok(document);
  }

  OperatorResponse history(OperatorRequest request) {
    List<Document.Mapping> changes =
        state.log().recentChanges().stream()
            .map(
                acceptedChange ->
                    Document.mapping()
                        .with("version", acceptedChange.version())
                        .with("acceptedAt", acceptedChange.acceptedAt())
                        .with("author", acceptedChange.change().author())
                        .with("change", acceptedChange.change().identifier())
                        .with("resources", acceptedChange.change().affectedResources().toString())
                        .build())
            .toList();
    return OperatorResponse.ok(
        Document.mapping().with("changes", Document.sequence(changes)).build());
  }

  // -- changing

  OperatorResponse validate(OperatorRequest request) {
    Either<OperatorResponse, ConfigurationChange> change = parse(request);
    if (change.isLeft()) {
      return change.getLeft();
    }
    return state
        .configuration()
        .apply(change.get())
        .fold(
            violations -> OperatorResponse.error(new AcceptanceError.Invalid(violations)),
            next -> OperatorResponse.ok(Document.mapping().with("valid", true).build()));
  }

  OperatorResponse accept(OperatorRequest request) {
    return parse(request)
        .fold(refusal -> refusal, change -> accept(change, request.number("basedOn")));
  }

  private OperatorResponse accept(ConfigurationChange change, Optional<Long> basedOn) {
    return changeAcceptor
        .accept(change, basedOn)
        .fold(OperatorResponse::error, this::versionResponse);
  }

  private OperatorResponse versionResponse(long version) {
    return OperatorResponse.ok(Document.mapping().with("version", version).build());
  }

  private static Either<OperatorResponse, ConfigurationChange> parse(OperatorRequest request) {
    String source = request.parameter("source").orElse("body");
    String identifier = identifier(request);
    String author = request.parameter("author").orElse(DEFAULT_AUTHOR);
    return YamlDocuments.parse(source, request.body())
        .flatMap(document -> ConfigurationChange.from(document, identifier, author))
        .mapLeft(ConfigurationActions::malformedRequest);
  }

  static OperatorResponse malformedRequest(List<Problem> problems) {
    return OperatorResponse.error(
        StatusCodes.BAD_REQUEST,
        problems.size() + " problems",
        problems.stream().map(Problem::toString).toList());
  }

  private static String identifier(OperatorRequest request) {
    return request.parameter("change").orElseGet(() -> UUID.randomUUID().toString());
  }

  // -- availability zones

  OperatorResponse withdrawZone(OperatorRequest request) {
    String zone = request.segment(1);
    Configuration configuration = state.configuration();
    boolean exists =
        configuration.zones().stream().anyMatch(candidate -> candidate.name().equals(zone));
    if (!exists) {
      return OperatorResponse.error(
          StatusCodes.NOT_FOUND, "availability zone does not exist: " + zone, List.of());
    }
    ZoneCapacity.Forecast forecast = capacity.forecastWithdrawal(zone);
    boolean forced = request.parameter("force").equals(Optional.of("true"));
    if (!forecast.isSufficient() && !forced) {
      return OperatorResponse.error(
          StatusCodes.CONFLICT,
          "the other zones cannot sustain the load; repeat with force to withdraw the zone anyway",
          forecast.shortfalls());
    }
    return changeZone(request, zone, true);
  }

  OperatorResponse returnZone(OperatorRequest request) {
    return changeZone(request, request.segment(1), false);
  }

  private OperatorResponse changeZone(OperatorRequest request, String zone, boolean withdraw) {
    if (state.facts().isWithdrawn(state.configuration(), zone) == withdraw) {
      return versionResponse(state.configuration().version());
    }
    String author = request.parameter("author").orElse(DEFAULT_AUTHOR);
    Optional<ConfigurationChange> change =
        ZoneChanges.change(state.configuration(), zone, withdraw, identifier(request), author);
    if (change.isEmpty()) {
      return returnWithoutOwnWithdrawal(zone, author);
    }
    Either<AcceptanceError, Long> result = changeAcceptor.accept(change.get(), Optional.empty());
    if (state.facts().isWithdrawn(state.configuration(), zone) == withdraw) {
      return versionResponse(state.configuration().version());
    }
    boolean platformUnavailable =
        result.isLeft()
            && (result.getLeft() instanceof AcceptanceError.Unavailable
                || result.getLeft() instanceof AcceptanceError.Unknown);
    return platformUnavailable
        ? applyProvisionally(zone, withdraw, author)
        : result.fold(OperatorResponse::error, this::versionResponse);
  }

  /**
   * Returns a zone that has no withdrawal of its own to remove. Refuses if the selector of another
   * withdrawal covers the zone; otherwise an urgent fact withdrew it, and a newer one returns it.
   */
  private OperatorResponse returnWithoutOwnWithdrawal(String zone, String author) {
    if (state.configuration().isWithdrawn(zone)) {
      String message = "zone " + zone + " is withdrawn by a selector; remove that withdrawal";
      return OperatorResponse.error(StatusCodes.CONFLICT, message, List.of());
    }
    return applyProvisionally(zone, false, author);
  }

  /**
   * Withdraws or returns a zone immediately through an urgent fact, which gossip disseminates. The
   * change is written to the platform when it is reachable again.
   */
  private OperatorResponse applyProvisionally(String zone, boolean withdraw, String author) {
    String reason = (withdraw ? "withdrawn by " : "returned by ") + author;
    UrgentFact fact =
        state.facts().recordZoneDecision(state.configuration(), zone, withdraw, reason);
    platformWorker.announceUrgentFact(fact);
    return OperatorResponse.ok(
        Document.mapping()
            .with("version", state.configuration().version())
            .with("provisional", true)
            .build());
  }
}
