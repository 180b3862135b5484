package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.function.Function;
import org.parsleycart.daemon.state.MeshState;
import org.parsleycart.decision.membership.BucketDigests;
import org.parsleycart.decision.message.ControlMessage;
import org.parsleycart.decision.message.ControlMessage.ConfigurationRequest;
import org.parsleycart.decision.message.ControlMessage.EvidenceRequest;
import org.parsleycart.decision.message.ControlMessage.Failure;
import org.parsleycart.decision.message.ControlMessage.InForceRequest;
import org.parsleycart.decision.message.ControlMessage.MembershipAnswer;
import org.parsleycart.decision.message.ControlMessage.MembershipRequest;
import org.parsleycart.decision.message.ControlMessage.UsageRequest;

/** Handles the control requests of other daemons. Safe for use by several threads. */
public final class ControlRequestHandler implements Function<ControlMessage, ControlMessage> {
  private final MeshState state;
  private final GossipWorker gossip;
  private final InForceSurvey survey;
  private final LocalEvidence localEvidence;
  private final LocalUsage localUsage;

  // -- construction

  public ControlRequestHandler(
      MeshState state,
      GossipWorker gossip,
      InForceSurvey survey,
      LocalEvidence localEvidence,
      LocalUsage localUsage) {
    this.state = requireNonNull(state, "state is null");
    this.gossip = requireNonNull(gossip, "gossip is null");
    this.survey = requireNonNull(survey, "survey is null");
    this.localEvidence = requireNonNull(localEvidence, "localEvidence is null");
    this.localUsage = requireNonNull(localUsage, "localUsage is null");
  }

  // -- Function

  @Override
  public ControlMessage apply(ControlMessage request) {
    requireNonNull(request, "request is null");
    if (request instanceof ConfigurationRequest configurationRequest) {
      return state.log().answer(configurationRequest);
    }
    if (request instanceof MembershipRequest membershipRequest) {
      return answerMembership(membershipRequest);
    }
    if (request instanceof InForceRequest inForceRequest) {
      return survey.answerPeer(inForceRequest);
    }
    if (request instanceof EvidenceRequest evidenceRequest) {
      return localEvidence.forService(evidenceRequest.service());
    }
    if (request instanceof UsageRequest usageRequest) {
      return localUsage.answer(usageRequest);
    }
    return new Failure("a message of this type takes no answer");
  }

  private MembershipAnswer answerMembership(MembershipRequest request) {
    gossip.submit(
        (protocol, pullPlanner) -> {
          protocol.mergeRecord(request.self());
          return List.of();
        });
    return new MembershipAnswer(
        state.log().head(),
        BucketDigests.recordsInDifferingBuckets(gossip.view().records(), request),
        state.facts().all(),
        state.quarantine().all());
  }
}
