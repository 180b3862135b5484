package org.parsleycart.daemon;

import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import org.parsleycart.daemon.control.ControlRequestHandler;
import org.parsleycart.daemon.control.GossipWorker;
import org.parsleycart.daemon.control.InForceSurvey;
import org.parsleycart.daemon.control.LocalEvidence;
import org.parsleycart.daemon.control.PeerDiscovery;
import org.parsleycart.daemon.control.PeerSyncWorker;
import org.parsleycart.daemon.control.PlatformFeedWorker;
import org.parsleycart.daemon.control.PlatformWorker;
import org.parsleycart.daemon.control.UrgentFactPersister;
import org.parsleycart.daemon.settings.DaemonSettings;
import org.parsleycart.daemon.state.MeshState;
import org.parsleycart.decision.membership.GossipProtocol;
import org.parsleycart.decision.membership.GossipSettings;
import org.parsleycart.decision.membership.MemberRecord;
import org.parsleycart.decision.membership.MemberStatus;
import org.parsleycart.decision.membership.MembershipTable;
import org.parsleycart.decision.routing.UpstreamLoadTable;
import org.parsleycart.decision.spreading.Freshness;
import org.parsleycart.decision.spreading.PollSchedule;
import org.parsleycart.decision.spreading.PullPlanner;
import org.parsleycart.link.Addresses;
import org.parsleycart.link.ControlTrafficCounters;
import org.parsleycart.link.DatagramLink;
import org.parsleycart.link.EnvelopeCodec;
import org.parsleycart.link.FrameClient;
import org.parsleycart.link.PeerKeys;
import org.parsleycart.store.ConfigurationAuthority;

/**
 * The parts of a daemon that exchange control messages.
 *
 * @param envelope signs and checks messages
 * @param counters counts messages and bytes
 * @param frames asks other daemons
 * @param gossip the probing duty
 * @param pulls the spreading duty
 * @param authority gives the accepted versions of the configuration
 * @param platformClock the time that all daemons agree on
 * @param platformDuty the platform duty
 * @param feed waits at the platform for new versions
 * @param survey finds out where a version is in force
 * @param answers answers other daemons
 */
record ControlComponents(
    EnvelopeCodec envelope,
    ControlTrafficCounters counters,
    FrameClient frames,
    GossipWorker gossip,
    PeerSyncWorker pulls,
    ConfigurationAuthority authority,
    InstantSource platformClock,
    PlatformWorker platformDuty,
    PlatformFeedWorker feed,
    InForceSurvey survey,
    ControlRequestHandler answers) {

  // -- construction

  static ControlComponents create(
      DaemonSettings settings,
      PeerKeys keys,
      MeshState state,
      UpstreamLoadTable loads,
      LocalEvidence evidence,
      InstantSource clock)
      throws IOException {
    EnvelopeCodec envelope = new EnvelopeCodec(keys);
    ControlTrafficCounters counters = new ControlTrafficCounters();
    FrameClient frames = new FrameClient(envelope, counters);
    PeerSyncWorker pulls = new PeerSyncWorker(frames, state.log(), clock);
    DatagramLink datagrams = DatagramLink.open(settings.addresses().control(), envelope, counters);
    Freshness freshness = new Freshness();
    AtomicBoolean watching = new AtomicBoolean();
    PullPlanner planner =
        new PullPlanner(
            settings.identifier(),
            new Random(),
            state.log()::readThroughVersion,
            () -> watching.get() ? settings.dialect().patienceWithPlatform() : Duration.ZERO);
    GossipWorker gossip =
        gossipDuty(settings, state, loads, freshness, clock, planner, pulls, datagrams);
    PlatformComponents platform = PlatformComponents.create(settings, state.log(), clock);
    PlatformWorker platformDuty =
        new PlatformWorker(
            state,
            platform.authority(),
            gossip,
            pulls,
            new PeerDiscovery(platform.services().table(), settings.seeds(), new Random()),
            new UrgentFactPersister(state, platform.authority()),
            new PollSchedule(clock.instant(), new Random()),
            freshness,
            clock,
            new Random());
    InForceSurvey survey = new InForceSurvey(state, frames);
    ControlRequestHandler answers = new ControlRequestHandler(state, gossip, survey, evidence);
    return new ControlComponents(
        envelope,
        counters,
        frames,
        gossip,
        pulls,
        platform.authority(),
        platform.clock(),
        platformDuty,
        new PlatformFeedWorker(
            platform.authority(),
            platformDuty,
            gossip::view,
            freshness,
            planner::behindSince,
            watching,
            clock,
            new Random()),
        survey,
        answers);
  }

  private static GossipWorker gossipDuty(
      DaemonSettings settings,
      MeshState state,
      UpstreamLoadTable loads,
      Freshness freshness,
      InstantSource clock,
      PullPlanner planner,
      PeerSyncWorker pulls,
      DatagramLink datagrams) {
    Random random = new Random();
    GossipProtocol protocol =
        new GossipProtocol(
            new MembershipTable(selfRecord(settings, clock), clock.instant()),
            GossipSettings.standard(),
            clock,
            random,
            state.log()::head,
            freshness,
            state.facts(),
            planner);
    return new GossipWorker(protocol, planner, datagrams, state, loads, clock, pulls);
  }

  private static MemberRecord selfRecord(DaemonSettings settings, InstantSource clock) {
    return new MemberRecord(
        settings.identifier(),
        clock.millis(),
        0,
        MemberStatus.ALIVE,
        settings.zone(),
        Addresses.format(settings.callAddress()),
        settings.labels(),
        List.of());
  }

  // -- duties

  void start() {
    pulls.start(gossip, platformDuty::recordPeerHead);
    gossip.start();
    platformDuty.start();
    feed.start();
  }

  void stop() {
    feed.stop();
    platformDuty.stop();
    gossip.stop();
    pulls.stop();
  }
}
