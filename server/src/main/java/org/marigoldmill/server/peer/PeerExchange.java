package org.marigoldmill.server.peer;

import com.google.common.flogger.FluentLogger;
import io.grpc.StatusRuntimeException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.marigoldmill.core.config.LogReducer;
import org.marigoldmill.core.lease.LeaseScopes;
import org.marigoldmill.core.membership.MemberTable;
import org.marigoldmill.core.quarantine.SuspectTable;
import org.marigoldmill.schema.peer.ExchangeMessage;
import org.marigoldmill.schema.peer.MemberEntry;
import org.marigoldmill.schema.peer.SnapshotRequest;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.state.Instances;
import org.marigoldmill.server.state.SharedState;
import org.marigoldmill.server.usage.UsageLedger;

/**
 * Gossips membership, withdrawals, suspects and usage counters between entry instances.
 *
 * <p>Each round exchanges messages with one random peer of the zone and, every second round, with
 * one of another zone. Urgent changes are broadcast to all peers.
 */
public final class PeerExchange {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long EXCHANGE_DEADLINE_MS = 800;
  private static final long SNAPSHOT_DEADLINE_MS = 3_000;
  private static final int CROSS_ZONE_ROUNDS = 2;
  private static final int MAX_MEMBERS_SENT = 16;
  private static final int MAX_COUNTERS_SENT = 3;

  private final MemberTable members;
  private final PeerClient peers;
  private final Instances instances;
  private final SharedState state;
  private final UsageLedger ledger;
  private final Knowledge knowledge;
  private final SuspectTable suspects;
  private final Clock clock;
  private final RandomGenerator random;
  private int round;

  /** Creates an exchange over the state that it replicates. */
  public PeerExchange(
      MemberTable members,
      PeerClient peers,
      Instances instances,
      SharedState state,
      UsageLedger ledger,
      Knowledge knowledge,
      SuspectTable suspects,
      Clock clock,
      RandomGenerator random) {
    this.members = members;
    this.peers = peers;
    this.instances = instances;
    this.state = state;
    this.ledger = ledger;
    this.knowledge = knowledge;
    this.suspects = suspects;
    this.clock = clock;
    this.random = random;
  }

  /** Runs one gossip round. */
  public void runGossipRound() {
    members.tick(clock.now());
    round++;
    List<String> sameZone = addresses(true);
    List<String> otherZones = addresses(false);
    exchangeWithRandom(sameZone);
    exchangeWithBillingHolder();
    if (sameZone.isEmpty() || round % CROSS_ZONE_ROUNDS == 0) {
      exchangeWithRandom(otherZones);
    }
  }

  /** Exchanges messages with every peer in parallel. */
  public void broadcast() {
    List<String> all = new ArrayList<>(addresses(true));
    all.addAll(addresses(false));
    all.parallelStream().forEach(this::exchangeWith);
  }

  /** Merges a peer's message and returns this process's own. */
  public ExchangeMessage receive(ExchangeMessage message) {
    merge(message);
    return buildMessage();
  }

  /** The holder of the billing lease needs current counters from all peers to seal windows. */
  private void exchangeWithBillingHolder() {
    LogReducer.lease(state.snapshot(), LeaseScopes.billing(members.self().getZone()))
        .map(l -> l.getHolder().substring(0, Math.max(0, l.getHolder().indexOf('#'))))
        .filter(holder -> !holder.equals(members.self().getName()))
        .flatMap(this::addressOf)
        .ifPresent(this::exchangeWith);
  }

  private Optional<String> addressOf(String name) {
    return members.members(clock.now()).stream()
        .map(MemberTable.Member::entry)
        .filter(m -> m.getName().equals(name))
        .map(m -> instances.addressOf(name, m.getAddress()))
        .findFirst();
  }

  private void exchangeWithRandom(List<String> addresses) {
    if (!addresses.isEmpty()) {
      exchangeWith(addresses.get(random.nextInt(addresses.size())));
    }
  }

  private void exchangeWith(String address) {
    try {
      ExchangeMessage reply = peers.to(address, EXCHANGE_DEADLINE_MS).exchange(buildMessage());
      merge(reply);
      if (reply.getNextOffset() > state.snapshot().getNextOffset() && knowledge.isLogSilent()) {
        state.advance(
            peers
                .to(address, SNAPSHOT_DEADLINE_MS)
                .fetchSnapshot(SnapshotRequest.getDefaultInstance()));
      }
    } catch (StatusRuntimeException e) {
      logger.atFine().atMostEvery(1, TimeUnit.SECONDS).log(
          "exchange with peer %s failed, reopening its channel: %s", address, e.getMessage());
      peers.reopen(address);
    }
  }

  private ExchangeMessage buildMessage() {
    return ExchangeMessage.newBuilder()
        .setSender(members.self().getName())
        .addAllMembers(members.digest(clock.now(), MAX_MEMBERS_SENT, random))
        .setNextOffset(state.snapshot().getNextOffset())
        .setRevision(state.snapshot().getRevision())
        .addAllWithdrawn(state.withdrawnAheadOfLog())
        .addAllCounters(ledger.sample(MAX_COUNTERS_SENT, random))
        .addAllSuspects(suspects.recentSuspects(clock.now()))
        .setKnowledgeAgeMs(knowledge.logContactAgeMs())
        .build();
  }

  private void merge(ExchangeMessage message) {
    members.merge(message.getMembersList(), clock.now());
    state.withdraw(message.getWithdrawnList());
    ledger.merge(message.getCountersList());
    suspects.merge(message.getSuspectsList(), clock.now());
    knowledge.recordMessage(message);
  }

  private List<String> addresses(boolean sameZone) {
    TreeMap<String, String> byName = new TreeMap<>();
    MemberEntry self = members.self();
    members.members(clock.now()).stream()
        .map(MemberTable.Member::entry)
        .filter(m -> m.getZone().equals(self.getZone()) == sameZone)
        .forEach(m -> byName.put(m.getName(), instances.addressOf(m.getName(), m.getAddress())));
    instances.liveEntryInstances().stream()
        .filter(i -> i.getZone().equals(self.getZone()) == sameZone)
        .forEach(i -> byName.put(i.getName(), i.getAddress()));
    byName.remove(self.getName());
    return List.copyOf(byName.values());
  }
}
