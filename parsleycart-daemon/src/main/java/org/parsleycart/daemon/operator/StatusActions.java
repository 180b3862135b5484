package org.parsleycart.daemon.operator;

import static java.util.Objects.requireNonNull;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.undertow.util.StatusCodes;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.parsleycart.daemon.call.LocalUpstreams;
import org.parsleycart.daemon.control.GossipWorker;
import org.parsleycart.daemon.control.InForceSurvey;
import org.parsleycart.daemon.control.MembershipView;
import org.parsleycart.daemon.control.PlatformWorker;
import org.parsleycart.daemon.report.EventLog;
import org.parsleycart.daemon.state.MeshState;
import org.parsleycart.decision.message.ControlMessage.InForceAnswer;
import org.parsleycart.decision.message.ControlMessage.InForceRequest;
import org.parsleycart.decision.routing.Candidate;
import org.parsleycart.model.document.Document;

/** The operator requests that report the state of this daemon and of the mesh. */
public final class StatusActions {
  private static final long DEFAULT_TIMEOUT_MILLISECONDS = 2000;

  private final MeshState state;
  private final GossipWorker gossip;
  private final PlatformWorker platformWorker;
  private final InForceSurvey survey;
  private final LocalUpstreams upstreams;
  private final EventLog events;
  private final PrometheusMeterRegistry registry;

  // -- construction

  /** Creates the actions with the components whose state they report. */
  public StatusActions(
      MeshState state,
      GossipWorker gossip,
      PlatformWorker platformWorker,
      InForceSurvey survey,
      LocalUpstreams upstreams,
      EventLog events,
      PrometheusMeterRegistry registry) {
    this.state = requireNonNull(state, "state is null");
    this.gossip = requireNonNull(gossip, "gossip is null");
    this.platformWorker = requireNonNull(platformWorker, "platformWorker is null");
    this.survey = requireNonNull(survey, "survey is null");
    this.upstreams = requireNonNull(upstreams, "upstreams is null");
    this.events = requireNonNull(events, "events is null");
    this.registry = requireNonNull(registry, "registry is null");
  }

  // -- actions

  OperatorResponse readiness(OperatorRequest request) {
    return state.isReady()
        ? OperatorResponse.text(StatusCodes.OK, "ready\n")
        : OperatorResponse.text(StatusCodes.SERVICE_UNAVAILABLE, "not ready\n");
  }

  OperatorResponse metrics(OperatorRequest request) {
    return OperatorResponse.text(StatusCodes.OK, registry.scrape());
  }

  OperatorResponse events(OperatorRequest request) {
    long after = request.number("after").orElse(0L);
    long wait = request.number("wait").orElse(0L);
    return OperatorResponse.ok(events.eventsAfter(after, wait));
  }

  OperatorResponse inForce(OperatorRequest request) {
    long version = request.number("version").orElse(state.configuration().version());
    long timeout = request.number("timeout").orElse(DEFAULT_TIMEOUT_MILLISECONDS);
    InForceAnswer answer =
        survey.answer(new InForceRequest(version, gossip.view().otherIdentifiers(), timeout));
    return OperatorResponse.ok(
        Document.mapping()
            .with("version", version)
            .with("inForce", answer.inForce())
            .with("lagging", answer.lagging())
            .with("silent", answer.unresponsive())
            .with("named", Document.texts(answer.examples()))
            .build());
  }

  OperatorResponse status(OperatorRequest request) {
    MembershipView view = gossip.view();
    return OperatorResponse.ok(
        Document.mapping()
            .with("daemon", view.self().identifier())
            .with("zone", state.zone())
            .with("version", state.configuration().version())
            .with("digest", state.log().head().digest())
            .with("ready", state.isReady())
            .with("isolated", state.isIsolated())
            .with("platformReachable", platformWorker.isPlatformReachable())
            .with("members", memberCounts(view))
            .with("zones", zones())
            .with("services", services())
            .with("upstreams", upstreams())
            .build());
  }

  private static Document.Mapping memberCounts(MembershipView view) {
    Map<String, Long> counts =
        view.records().stream()
            .collect(
                Collectors.groupingBy(
                    record -> record.status().toString(), TreeMap::new, Collectors.counting()));
    Document.MappingBuilder builder = Document.mapping();
    counts.forEach(builder::with);
    return builder.build();
  }

  private Document.Sequence zones() {
    List<Document.Mapping> zones =
        state.configuration().zones().stream()
            .map(
                zone ->
                    Document.mapping()
                        .with("name", zone.name())
                        .with(
                            "withdrawn",
                            state.facts().isWithdrawn(state.configuration(), zone.name()))
                        .build())
            .toList();
    return Document.sequence(zones);
  }

  private Document.Sequence services() {
    Map<String, Long> counts =
        state
            .directory()
            .all()
            .collect(
                Collectors.groupingBy(
                    StatusActions::serviceVersionAndZone, TreeMap::new, Collectors.counting()));
    return Document.sequence(
        counts.entrySet().stream()
            .map(
                entry ->
                    Document.mapping()
                        .with("service", entry.getKey())
                        .with("upstreams", entry.getValue())
                        .build())
            .toList());
  }

  private static String serviceVersionAndZone(Candidate candidate) {
    return candidate.upstream().service()
        + " "
        + candidate.upstream().version()
        + " "
        + candidate.zone();
  }

  private Document.Sequence upstreams() {
    return Document.sequence(
        upstreams.view().stream()
            .map(
                upstream ->
                    Document.mapping()
                        .with("identifier", upstream.announced().identifier())
                        .with("service", upstream.announced().service())
                        .with("version", upstream.announced().version())
                        .with("address", upstream.address())
                        .with("draining", upstream.announced().draining())
                        .with("load", upstream.load().toString())
                        .with("coldReturns", upstream.coldReturns())
                        .build())
            .toList());
  }
}
