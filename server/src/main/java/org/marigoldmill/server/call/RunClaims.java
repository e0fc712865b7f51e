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
 * Ensures that a non-idempotent request with an idempotency key is run at most once.
 *
 * <p>A claim is sent to three entry instances, in different zones where possible. At least two must
 * reply and all that reply must grant it, so a second claim is detected unless two of the three
 * have been lost since the first.
 */
public final class RunClaims {
  private static final int REPLICAS = 3;
  private static final int QUORUM = 2;
  private static final long PEER_TIMEOUT_MS = 700;
  private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

  private enum Vote {
    GRANTED,
    REFUSED,
    NO_REPLY
  }

  private final String self;
  private final Instances instances;
  private final PeerClient peers;
  private final ClaimTable table;
  private final Clock clock;

  /**
   * Creates a client that acquires and releases run claims on a quorum of replicas.
   *
   * @param self name of this entry instance
   */
  public RunClaims(
      String self, Instances instances, PeerClient peers, ClaimTable table, Clock clock) {
    this.self = self;
    this.instances = instances;
    this.peers = peers;
    this.table = table;
    this.clock = clock;
  }

  /** Returns the claim that a call must acquire; empty if it is idempotent or has no key. */
  Optional<RunClaim> requiredClaim(CallContext call) {
    String key = call.exchange().getRequestHeaders().getFirst(IDEMPOTENCY_KEY_HEADER);
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

  /** Acquires a claim; returns the reason if it was not granted and the call must not run. */
  Optional<ErrorKind> acquire(RunClaim claim) {
    List<MemberEntry> replicas = replicas(claim);
    List<Vote> votes = replicas.parallelStream().map(r -> requestVote(r, claim)).toList();
    if (votes.contains(Vote.REFUSED)) {
      release(claim);
      return Optional.of(ErrorKind.RUN_CLAIMED);
    }
    long granted = votes.stream().filter(v -> v == Vote.GRANTED).count();
    if (granted < Math.min(QUORUM, Math.max(1, replicas.size()))) {
      release(claim);
      return Optional.of(ErrorKind.CLAIM_UNAVAILABLE);
    }
    return Optional.empty();
  }

  /** Releases a claim whose request is known not to have run. */
  void release(RunClaim claim) {
    RunClaim released = claim.toBuilder().setRelease(true).build();
    replicas(claim).parallelStream().forEach(r -> requestVote(r, released));
  }

  /** Applies a claim or a release to the table of this process; returns whether it is granted. */
  public boolean applyLocally(RunClaim claim) {
    if (claim.getRelease()) {
      table.release(claim.getFingerprint(), claim.getClaimant());
      return true;
    }
    return table.claim(claim.getFingerprint(), claim.getClaimant(), clock.now());
  }

  private List<MemberEntry> replicas(RunClaim claim) {
    List<MemberEntry> entries =
        instances.liveEntryInstances().stream().map(RunClaims::toMember).toList();
    return RendezvousHash.selectAcrossZones(claim.getFingerprint(), entries, REPLICAS);
  }

  private Vote requestVote(MemberEntry replica, RunClaim claim) {
    if (replica.getName().equals(self)) {
      return applyLocally(claim) ? Vote.GRANTED : Vote.REFUSED;
    }
    try {
      boolean granted =
          peers.to(replica.getAddress(), PEER_TIMEOUT_MS).claimRun(claim).getGranted();
      return granted ? Vote.GRANTED : Vote.REFUSED;
    } catch (StatusRuntimeException e) {
      return Vote.NO_REPLY;
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
