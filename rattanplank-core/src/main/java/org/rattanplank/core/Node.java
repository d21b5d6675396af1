package org.rattanplank.core;

import java.util.List;

import io.vavr.control.Option;
import org.rattanplank.core.claim.ClaimLimits;
import org.rattanplank.core.claim.Claims;
import org.rattanplank.core.control.ControlAction;
import org.rattanplank.core.control.Controller;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.host.Location;
import org.rattanplank.core.intent.Account;
import org.rattanplank.core.intent.Configuration;
import org.rattanplank.core.intent.ConfigurationAction;
import org.rattanplank.core.intent.ConfigurationManager;
import org.rattanplank.core.member.EntryHosts;
import org.rattanplank.core.member.MemberAction;
import org.rattanplank.core.member.Membership;
import org.rattanplank.core.member.SelfReport;
import org.rattanplank.core.route.Policy;
import org.rattanplank.core.route.Router;
import org.rattanplank.core.store.StoreOwner;
import org.rattanplank.schema.message.ClaimMessage;
import org.rattanplank.schema.message.ControlMessage;
import org.rattanplank.schema.message.CrashNews;
import org.rattanplank.schema.message.MemberMessage;
import org.rattanplank.schema.message.PeerMessage;
import org.rattanplank.schema.message.RegionSummary;

/**
 * The decision logic of one entry host: handles events with their time and returns the actions to perform.
 *
 * <p>Invariant: the same events at the same times with the same seed give the same actions; a node has no socket, clock
 * or thread of its own. Thread safe: several threads may deliver events concurrently. Lock order: one request's lock,
 * then the lock of one component; see {@link RequestFlow}.
 */
public final class Node {
    private final NodeIdentity self;
    private final Membership membership;
    private final ConfigurationManager configurationManager;
    private final Claims claims;
    private final Router router;
    private final Controller controller;
    private final Explanations explanations = new Explanations();
    private final QuarantineExchange quarantine;
    private final RequestFlow requests;
    private volatile boolean leaveRequested;
    private volatile boolean stopped;

    private Node(NodeIdentity self, Policy policy, ClaimLimits claimLimits, long seed) {
        this.self = self;
        membership = Membership.of(self);
        configurationManager = ConfigurationManager.of(self);
        claims = Claims.of(self, claimLimits);
        router = Router.of(self.location(), policy, seed);
        controller = Controller.of(self);
        quarantine = QuarantineExchange.of(self.host(), membership);
        requests = new RequestFlow(self, membership, configurationManager, claims, router, explanations, quarantine);
    }

    /**
     * Creates a node with empty state.
     *
     * @param self the identity of this entry host
     * @param policy the routing policy
     * @param seed the seed of random choices
     * @return the node
     */
    public static Node of(NodeIdentity self, Policy policy, long seed) {
        return of(self, policy, ClaimLimits.defaults(), seed);
    }

    /**
     * Creates a node with empty state.
     *
     * @param self the identity of this entry host
     * @param policy the routing policy
     * @param claimLimits the limits on stored idempotency keys
     * @param seed the seed of random choices
     * @return the node
     */
    public static Node of(NodeIdentity self, Policy policy, ClaimLimits claimLimits, long seed) {
        return new Node(self, policy, claimLimits, seed);
    }

    /**
     * Explains the routing of a request.
     *
     * @param requestId the request
     * @return the explanation, or none if the request is not among the most recent
     */
    public Option<Explanation> explain(String requestId) {
        return explanations.find(requestId);
    }

    /**
     * Returns the entry hosts that a caller should use.
     *
     * @param account the caller's client account, or empty
     * @param nowMillis the time
     * @return the hosts, best first
     */
    public EntryHosts entryHosts(String account, long nowMillis) {
        String home = configurationManager
                .current()
                .account(account)
                .map(Account::homeDataCentre)
                .getOrElse(self.location().dataCentre());
        return membership.entryHosts(account, home, nowMillis);
    }

    /**
     * Returns the configuration in force.
     *
     * @return the most recent configuration received
     */
    public Configuration configuration() {
        return configurationManager.current();
    }

    /**
     * Returns whether callers should send requests to this host.
     *
     * @return whether a configuration is in force and the node is not draining
     */
    public boolean isReady() {
        return configurationManager.current().generation() > 0 && !requests.isDraining();
    }

    /**
     * Returns a summary of the node's state.
     *
     * @return the status
     */
    public NodeStatus status() {
        Configuration configuration = configurationManager.current();
        return new NodeStatus(
                self,
                configuration.generation(),
                configuration.digest(),
                claims.viewNumber(),
                requests.inFlight(),
                requests.isDraining(),
                membership.targetsAcceptingWork(),
                controller.reports(),
                membership.remoteRegions(),
                membership.leaving());
    }

    /**
     * Handles an event.
     *
     * @param event the event
     * @param nowMillis the time, which never decreases
     * @return the actions, in the order in which to perform them
     */
    public List<Action> handle(Event event, long nowMillis) {
        Effects effects = new Effects();
        apply(event, nowMillis, effects);
        while (!effects.decisions().isEmpty()) {
            requests.claimDecided(effects.decisions().poll(), nowMillis, effects);
        }
        return effects.actions();
    }

    private void apply(Event event, long nowMillis, Effects effects) {
        if (event instanceof Event.CallerRequestReceived requested) {
            requests.receive(requested.request(), nowMillis, effects);
        } else if (event instanceof Event.PeerRequestReceived requested) {
            requests.receive(requested.request(), nowMillis, effects);
        } else if (event instanceof Event.RequesterLeft left) {
            requests.requesterLeft(left.requestId(), nowMillis, effects);
        } else if (event instanceof Event.StreamProgressed progressed) {
            requests.streamProgressed(progressed);
        } else if (event instanceof Event.AttemptEnded ended) {
            requests.attemptEnded(ended, nowMillis, effects);
        } else if (event instanceof Event.LoadReported reported) {
            recordLoadReport(reported, nowMillis);
        } else if (event instanceof Event.TargetLeaving leaving) {
            recordLeaving(leaving.target(), nowMillis);
        } else if (event instanceof Event.TargetPauseRequested pause) {
            router.recordPauseRequest(pause.target(), pause.millis(), nowMillis);
        } else if (event instanceof Event.LoadMissed missed) {
            router.recordMissedReport(missed.target(), nowMillis);
        } else if (event instanceof Event.CacheReported cached) {
            router.recordCacheEvents(cached.events(), nowMillis);
        } else if (event instanceof Event.OrderAnswered answered) {
            addControlActions(controller.orderAnswered(answered.orderId(), answered.result(), nowMillis), effects);
        } else if (event instanceof Event.DrainAsked) {
            requests.drain();
        } else if (event instanceof Event.StopOverdue) {
            requests.interruptAll(nowMillis, effects);
        } else if (event instanceof Event.Ticked) {
            tick(nowMillis, effects);
        } else {
            applyExternalEvent(event, nowMillis, effects);
        }
    }

    private void applyExternalEvent(Event event, long nowMillis, Effects effects) {
        if (event instanceof Event.PeerConnected connected) {
            peerConnected(connected, nowMillis, effects);
        } else if (event instanceof Event.PeerLost lost) {
            addMemberActions(membership.disconnected(lost.host(), lost.refused(), nowMillis), nowMillis, effects);
            effects.addClaimActions(claims.disconnected(lost.host(), lost.refused(), nowMillis));
            router.updateRegions(membership.remoteRegions(), nowMillis);
        } else if (event instanceof Event.MessageReceived received) {
            receive(received.host(), received.incarnation(), received.message(), nowMillis, effects);
        } else if (event instanceof Event.HostsListed listed) {
            addMemberActions(membership.updateHostList(listed.list(), nowMillis), nowMillis, effects);
            configurationManager.updatePeers(membership.peerView(), nowMillis);
            effects.addClaimActions(claims.hostListUpdated(listed.list(), nowMillis));
            refreshTargets(nowMillis);
        } else if (event instanceof Event.StoreReplied replied) {
            storeReplied(replied, nowMillis, effects);
        } else if (event instanceof Event.StoreChanged changed) {
            storeChanged(changed, nowMillis, effects);
        } else if (event instanceof Event.WatchBroken broken && broken.owner() == StoreOwner.CONFIGURATION) {
            addConfigurationActions(configurationManager.watchFailed(nowMillis), nowMillis, effects);
        }
    }

    private void peerConnected(Event.PeerConnected peer, long nowMillis, Effects effects) {
        Location location = Location.of(peer.region(), peer.dataCentre());
        addMemberActions(
                membership.connected(peer.host(), peer.incarnation(), location, nowMillis), nowMillis, effects);
        if (location.dataCentre().equals(self.location().dataCentre())) {
            effects.addClaimActions(claims.connected(peer.host(), peer.incarnation(), nowMillis));
        }
        router.updateRegions(membership.remoteRegions(), nowMillis);
        quarantine.connected(peer.host(), nowMillis, effects);
    }

    private void receive(String host, long incarnation, PeerMessage message, long nowMillis, Effects effects) {
        if (message instanceof ClaimMessage claim) {
            effects.addClaimActions(claims.receive(host, incarnation, claim, nowMillis));
        } else if (message instanceof ControlMessage control) {
            addConfigurationActions(configurationManager.receive(host, control, nowMillis), nowMillis, effects);
        } else if (message instanceof MemberMessage member) {
            addMemberActions(membership.receive(host, incarnation, member, nowMillis), nowMillis, effects);
            if (member instanceof CrashNews news) {
                quarantine.receive(host, news, nowMillis, effects);
            } else if (member instanceof RegionSummary) {
                router.updateRegions(membership.remoteRegions(), nowMillis);
            }
        }
    }

    private void recordLoadReport(Event.LoadReported reported, long nowMillis) {
        if (reported.load().leaving()) {
            recordLeaving(reported.load().target(), nowMillis);
        }
        router.recordLoadReport(reported.load(), nowMillis);
        controller.targetReported(reported.load(), nowMillis);
    }

    private void recordLeaving(String target, long nowMillis) {
        membership.leaving(target, nowMillis);
        refreshTargets(nowMillis);
    }

    private void storeReplied(Event.StoreReplied replied, long nowMillis, Effects effects) {
        switch (replied.owner()) {
            case CLAIM -> effects.addClaimActions(claims.storeReplied(replied.callId(), replied.reply(), nowMillis));
            case CONFIGURATION -> addConfigurationActions(
                    configurationManager.storeReplied(replied.callId(), replied.reply(), nowMillis),
                    nowMillis,
                    effects);
            case CONTROL -> addControlActions(
                    controller.storeReplied(replied.callId(), replied.reply(), nowMillis), effects);
            default -> throw new IllegalStateException("no component owns store calls of " + replied.owner());
        }
    }

    private void storeChanged(Event.StoreChanged changed, long nowMillis, Effects effects) {
        if (changed.owner() == StoreOwner.CLAIM) {
            effects.addClaimActions(claims.storeChanged(changed.entries(), changed.revision(), nowMillis));
        } else if (changed.owner() == StoreOwner.CONFIGURATION) {
            addConfigurationActions(
                    configurationManager.storeChanged(changed.entries(), changed.revision(), nowMillis),
                    nowMillis,
                    effects);
        }
    }

    private void tick(long nowMillis, Effects effects) {
        requests.tick(nowMillis, effects);
        quarantine.tick(nowMillis);
        effects.addClaimActions(claims.tick(nowMillis));
        configurationManager.updatePeers(membership.peerView(), nowMillis);
        addConfigurationActions(configurationManager.tick(nowMillis), nowMillis, effects);
        controller.candidateChanged(membership.isControllerCandidate());
        addControlActions(controller.tick(nowMillis), effects);
        SelfReport report = new SelfReport(
                configurationManager.current().generation(),
                requests.isDraining(),
                requests.inFlight(),
                router.summary(nowMillis),
                configurationManager.isStoreReachable(nowMillis));
        addMemberActions(membership.tick(report, nowMillis), nowMillis, effects);
        router.updateRegions(membership.remoteRegions(), nowMillis);
        refreshTargets(nowMillis);
        drain(nowMillis, effects);
    }

    private void drain(long nowMillis, Effects effects) {
        if (!requests.isDraining() || requests.inFlight() > 0 || stopped) {
            return;
        }
        if (!leaveRequested) {
            leaveRequested = true;
            effects.addClaimActions(claims.leave(nowMillis));
        }
        if (claims.hasLeft()) {
            stopped = true;
            effects.add(new Action.Stop());
        }
    }

    private void refreshTargets(long nowMillis) {
        List<ListedHost> targets = membership.targetsAcceptingWork();
        router.updateTargets(targets, nowMillis);
        controller.targetsUpdated(targets, nowMillis);
    }

    private void addMemberActions(List<MemberAction> actions, long nowMillis, Effects effects) {
        for (MemberAction action : actions) {
            if (action instanceof MemberAction.Send send) {
                effects.add(new Action.SendMessage(send.host(), send.message()));
            } else if (action instanceof MemberAction.KeepLinks links) {
                effects.add(new Action.KeepLinks(links.hosts()));
            } else if (action instanceof MemberAction.GenerationReported reportedGeneration) {
                addConfigurationActions(
                        configurationManager.generationReported(
                                reportedGeneration.host(), reportedGeneration.generation(), nowMillis),
                        nowMillis,
                        effects);
            }
        }
    }

    private void addConfigurationActions(List<ConfigurationAction> actions, long nowMillis, Effects effects) {
        for (ConfigurationAction action : actions) {
            if (action instanceof ConfigurationAction.CallStore call) {
                effects.add(new Action.CallStore(StoreOwner.CONFIGURATION, call.callId(), call.command()));
            } else if (action instanceof ConfigurationAction.Send send) {
                effects.add(new Action.SendMessage(send.host(), send.message()));
            } else if (action instanceof ConfigurationAction.Activated inForce) {
                applyConfiguration(inForce.configuration(), nowMillis);
            }
        }
    }

    private void applyConfiguration(Configuration configuration, long nowMillis) {
        membership.updateRetiring(configuration.retiring(), nowMillis);
        router.applyConfiguration(configuration, nowMillis);
        controller.configurationUpdated(configuration, nowMillis);
        refreshTargets(nowMillis);
    }

    private void addControlActions(List<ControlAction> actions, Effects effects) {
        for (ControlAction action : actions) {
            if (action instanceof ControlAction.CallStore call) {
                effects.add(new Action.CallStore(StoreOwner.CONTROL, call.callId(), call.command()));
            } else if (action instanceof ControlAction.Order order) {
                effects.add(new Action.OrderTarget(
                        order.orderId(), order.target(), order.fencingNumber(), order.verb(), order.subject()));
            }
        }
    }
}
