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
 * Spreads membership, withdrawals and usage counters from peer to peer.
 *
 * <p>Each round tells one peer of the zone and, every few rounds, one of another zone. What must
 * spread at once goes to all peers.
 */
public final class PeerExchange {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long DEADLINE_MS = 800;
  private static final long SNAPSHOT_DEADLINE_MS = 3_000;
  private static final int FAR_ROUND = 2;
  private static final int MEMBERS_TOLD = 16;
  private static final int COUNTERS_TOLD = 3;

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

  /** Creates an exchange over the parts that it spreads. */
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

  /** Tells one or two peers. */
  public void runRound() {
    members.tick(clock.now());
    round++;
    List<String> near = addresses(true);
    List<String> far = addresses(false);
    tellOneOf(near);
    tellBillingHolder();
    if (near.isEmpty() || round % FAR_ROUND == 0) {
      tellOneOf(far);
    }
  }

  /** Tells every peer at once. */
  public void broadcast() {
    List<String> all = new ArrayList<>(addresses(true));
    all.addAll(addresses(false));
    all.parallelStream().forEach(this::tell);
  }

  /** Merges what a peer knows and returns what this process knows. */
  public ExchangeMessage receive(ExchangeMessage message) {
    merge(message);
    return message();
  }

  /** The process that seals the windows of this zone needs fresh counters of all others. */
  private void tellBillingHolder() {
    LogReducer.lease(state.snapshot(), LeaseScopes.billing(members.self().getZone()))
        .map(l -> l.getHolder().substring(0, Math.max(0, l.getHolder().indexOf('#'))))
        .filter(holder -> !holder.equals(members.self().getName()))
        .flatMap(this::addressOf)
        .ifPresent(this::tell);
  }

  private Optional<String> addressOf(String name) {
    return members.members(clock.now()).stream()
        .map(MemberTable.Member::entry)
        .filter(m -> m.getName().equals(name))
        .map(m -> instances.addressOf(name, m.getAddress()))
        .findFirst();
  }

  private void tellOneOf(List<String> addresses) {
    if (!addresses.isEmpty()) {
      tell(addresses.get(random.nextInt(addresses.size())));
    }
  }

  private void tell(String address) {
    try {
      ExchangeMessage reply = peers.to(address, DEADLINE_MS).exchange(message());
      merge(reply);
      if (reply.getNextOffset() > state.snapshot().getNextOffset() && knowledge.logIsSilent()) {
        state.advance(
            peers
                .to(address, SNAPSHOT_DEADLINE_MS)
                .fetchSnapshot(SnapshotRequest.getDefaultInstance()));
      }
    } catch (StatusRuntimeException e) {
      logger.atFine().atMostEvery(1, TimeUnit.SECONDS).log("peer %s: %s", address, e.getMessage());
      peers.reopen(address);
    }
  }

  private ExchangeMessage message() {
    return ExchangeMessage.newBuilder()
        .setSender(members.self().getName())
        .addAllMembers(members.digest(clock.now(), MEMBERS_TOLD, random))
        .setNextOffset(state.snapshot().getNextOffset())
        .setRevision(state.snapshot().getRevision())
        .addAllWithdrawn(state.withdrawnAheadOfLog())
        .addAllCounters(ledger.sample(COUNTERS_TOLD, random))
        .addAllSuspects(suspects.recentSuspects(clock.now()))
        .setKnowledgeAgeMs(knowledge.logAgeMs())
        .build();
  }

  private void merge(ExchangeMessage message) {
    members.merge(message.getMembersList(), clock.now());
    state.withdraw(message.getWithdrawnList());
    ledger.merge(message.getCountersList());
    suspects.merge(message.getSuspectsList(), clock.now());
    knowledge.learn(message);
  }

  private List<String> addresses(boolean near) {
    TreeMap<String, String> byName = new TreeMap<>();
    MemberEntry self = members.self();
    members.members(clock.now()).stream()
        .map(MemberTable.Member::entry)
        .filter(m -> m.getZone().equals(self.getZone()) == near)
        .forEach(m -> byName.put(m.getName(), instances.addressOf(m.getName(), m.getAddress())));
    instances.liveEntryInstances().stream()
        .filter(i -> i.getZone().equals(self.getZone()) == near)
        .forEach(i -> byName.put(i.getName(), i.getAddress()));
    byName.remove(self.getName());
    return List.copyOf(byName.values());
  }
}
