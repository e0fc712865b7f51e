package org.marigoldmill.server.call;

import io.grpc.StatusRuntimeException;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.marigoldmill.core.attempt.ClaimTable;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.key.KeyDirectory;
import org.marigoldmill.core.membership.RendezvousHash;
import org.marigoldmill.schema.peer.MemberEntry;
import org.marigoldmill.schema.peer.RunClaim;
import org.marigoldmill.schema.platform.PlatformInstance;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.peer.PeerClient;
import org.marigoldmill.server.state.Instances;

/**
 * Makes sure that a non-idempotent request with an idempotency key is taken on once.
 *
 * <p>The claim goes to three entry instances, of different zones where there are such. Every one
 * that answers must grant it, and two must answer; a second claim is therefore seen unless two of
 * the three have been lost since the first.
 */
public final class RunClaims {
  private static final int HOLDERS = 3;
  private static final int ANSWERS_NEEDED = 2;
  private static final long DEADLINE_MS = 700;
  private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  private enum Answer {
    GRANTED,
    REFUSED,
    NONE
  }

  private final String self;
  private final Instances instances;
  private final PeerClient peers;
  private final ClaimTable table;
  private final Clock clock;

  /** Creates the claims of one process. */
  public RunClaims(
      String self, Instances instances, PeerClient peers, ClaimTable table, Clock clock) {
    this.self = self;
    this.instances = instances;
    this.peers = peers;
    this.table = table;
    this.clock = clock;
  }

  /** Returns the claim that a call needs before it may run; empty for most calls. */
  Optional<RunClaim> needed(CallContext call) {
    String key = call.exchange().getRequestHeaders().getFirst(IDEMPOTENCY_KEY);
    if (key == null || call.service().getIdempotent()) {
      return Optional.empty();
    }
    String identity = call.organisation() + "\0" + call.service().getName() + "\0" + key;
    return Optional.of(
        RunClaim.newBuilder()
            .setFingerprint(KeyDirectory.hash(identity))
            .setClaimant(self + "/" + UUID.randomUUID())
            .build());
  }

  /** Returns why a call must not run, or empty when it may. */
  Optional<ErrorKind> claim(RunClaim claim) {
    List<MemberEntry> holders = holders(claim);
    List<Answer> answers = holders.parallelStream().map(h -> ask(h, claim)).toList();
    if (answers.contains(Answer.REFUSED)) {
      release(claim);
      return Optional.of(ErrorKind.RUN_CLAIMED);
    }
    long granted = answers.stream().filter(a -> a == Answer.GRANTED).count();
    if (granted < Math.min(ANSWERS_NEEDED, Math.max(1, holders.size()))) {
      release(claim);
      return Optional.of(ErrorKind.CLAIM_UNAVAILABLE);
    }
    return Optional.empty();
  }

  /** Gives a claim up, because its request surely has not run. */
  void release(RunClaim claim) {
    RunClaim given = claim.toBuilder().setRelease(true).build();
    holders(claim).parallelStream().forEach(h -> ask(h, given));
  }

  /** Answers the claim of a peer. */
  public boolean answer(RunClaim claim) {
    if (claim.getRelease()) {
      table.release(claim.getFingerprint(), claim.getClaimant());
      return true;
    }
    return table.claim(claim.getFingerprint(), claim.getClaimant(), clock.now());
  }

  private List<MemberEntry> holders(RunClaim claim) {
    List<MemberEntry> listed =
        instances.liveEntryInstances().stream().map(RunClaims::toMember).toList();
    return RendezvousHash.selectAcrossZones(claim.getFingerprint(), listed, HOLDERS);
  }

  private Answer ask(MemberEntry holder, RunClaim claim) {
    if (holder.getName().equals(self)) {
      return answer(claim) ? Answer.GRANTED : Answer.REFUSED;
    }
    try {
      boolean granted = peers.to(holder.getAddress(), DEADLINE_MS).claimRun(claim).getGranted();
      return granted ? Answer.GRANTED : Answer.REFUSED;
    } catch (StatusRuntimeException e) {
      return Answer.NONE;
    }
  }

  private static MemberEntry toMember(PlatformInstance instance) {
    return MemberEntry.newBuilder()
        .setName(instance.getName())
        .setZone(instance.getZone())
        .setAddress(instance.getAddress())
        .build();
  }
}
