package org.parsleycart.daemon.operator;

import static java.util.Objects.requireNonNull;

import io.undertow.util.StatusCodes;
import io.vavr.control.Either;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.parsleycart.daemon.state.MeshState;
import org.parsleycart.model.ConfigurationChange;
import org.parsleycart.model.ResourceKind;
import org.parsleycart.model.Rollout;
import org.parsleycart.model.RolloutPhase;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.Problem;
import org.parsleycart.model.document.YamlDocuments;
import org.parsleycart.store.AcceptanceError;

/** The operator requests that start, read and abort rollouts. */
public final class RolloutActions {
  private final MeshState state;
  private final ChangeAcceptor changeAcceptor;
  private final InstantSource clock;

  // -- construction

  public RolloutActions(MeshState state, ChangeAcceptor changeAcceptor, InstantSource clock) {
    this.state = requireNonNull(state, "state is null");
    this.changeAcceptor = requireNonNull(changeAcceptor, "changeAcceptor is null");
    this.clock = requireNonNull(clock, "clock is null");
  }

  // -- actions

  OperatorResponse start(OperatorRequest request) {
    return parse(request)
        .fold(
            ConfigurationActions::malformedRequest,
            rollout -> accept(request, rollout.withStart(clock.millis())));
  }

  private static Either<List<Problem>, Rollout> parse(OperatorRequest request) {
    List<Problem> problems = new ArrayList<>();
    String source = request.parameter("source").orElse("body");
    return YamlDocuments.parse(source, request.body())
        .flatMap(
            document -> {
              Rollout rollout = (Rollout) ResourceKind.ROLLOUT.read(document, problems);
              return problems.isEmpty() ? Either.right(rollout) : Either.left(problems);
            });
  }

  OperatorResponse read(OperatorRequest request) {
    return state
        .configuration()
        .rollout(request.segment(1))
        .map(rollout -> OperatorResponse.ok(rollout.toDocument()))
        .orElseGet(() -> notFound(request));
  }

  OperatorResponse abort(OperatorRequest request) {
    Optional<Rollout> rollout = state.configuration().rollout(request.segment(1));
    if (rollout.isEmpty()) {
      return notFound(request);
    }
    if (!rollout.get().phase().isActive()) {
      String message =
          "rollout "
              + rollout.get().name()
              + " is not active, its phase is "
              + rollout.get().phase();
      return OperatorResponse.error(StatusCodes.CONFLICT, message, List.of());
    }
    String reason = "aborted by " + request.parameter("author").orElse("operator");
    return accept(request, rollout.get().withPhase(RolloutPhase.ABORTED, reason));
  }

  private OperatorResponse accept(OperatorRequest request, Rollout rollout) {
    String identifier = request.parameter("change").orElseGet(() -> UUID.randomUUID().toString());
    String author = request.parameter("author").orElse("operator");
    ConfigurationChange change =
        new ConfigurationChange(identifier, author, List.of(rollout), List.of());
    Either<AcceptanceError, Long> result = changeAcceptor.accept(change, Optional.empty());
    return result.fold(
        OperatorResponse::error,
        version -> OperatorResponse.ok(Document.mapping().with("version", version).build()));
  }

  private static OperatorResponse notFound(OperatorRequest request) {
    return OperatorResponse.error(
        StatusCodes.NOT_FOUND, "rollout does not exist: " + request.segment(1), List.of());
  }
}
