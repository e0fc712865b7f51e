package org.marigoldmill.core.supply;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.marigoldmill.schema.declaration.Pool;
import org.marigoldmill.schema.log.IntentState;
import org.marigoldmill.schema.log.OrderIntent;
import org.marigoldmill.schema.log.Snapshot;
import org.marigoldmill.schema.platform.InstanceState;
import org.marigoldmill.schema.platform.PlatformInstance;

/** Decides which orders for upstreams are missing, from the log and the instance list. */
public final class OrderPlanner {
  private OrderPlanner() {}

  /** Returns the oldest intent of a scope that has no outcome yet. */
  public static Optional<IntentState> openIntent(Snapshot state, String scope) {
    return state.getIntentsList().stream()
        .filter(i -> i.getIntent().getScope().equals(scope))
        .filter(i -> !i.hasOutcome())
        .findFirst();
  }

  /**
   * Returns the next order that a pool lacks.
   *
   * <p>Upstreams that the platform has accepted but does not list yet count as present, so a
   * lagging list never leads to a second order.
   *
   * @param state reduced log
   * @param pool declared pool
   * @param listed instance list as last read
   * @param expected whether an accepted but unlisted upstream may still appear
   * @param wanted upstreams that demand asks for, bounded by the pool's limits
   * @return the intent to append, without scope and epoch, or empty
   */
  public static Optional<OrderIntent> nextOrder(
      Snapshot state,
      Pool pool,
      List<PlatformInstance> listed,
      Predicate<String> expected,
      int wanted) {
    int target = Math.max(pool.getMin(), Math.min(pool.getMax(), wanted));
    int present = present(state, pool, listed, expected);
    if (present >= target) {
      return Optional.empty();
    }
    return Optional.of(
        OrderIntent.newBuilder()
            .setPool(pool.getName())
            .setZone(pool.getZone())
            .setCount(target - present)
            .setReclaimable(pool.getReclaimable())
            .build());
  }

  private static int present(
      Snapshot state, Pool pool, List<PlatformInstance> listed, Predicate<String> expected) {
    Set<String> known = listed.stream().map(PlatformInstance::getName).collect(Collectors.toSet());
    long live =
        listed.stream()
            .filter(i -> i.getPool().equals(pool.getName()))
            .filter(i -> i.getZone().equals(pool.getZone()))
            .filter(i -> i.getState() == InstanceState.LIVE)
            .count();
    long ordered =
        state.getIntentsList().stream()
            .filter(i -> i.getIntent().getPool().equals(pool.getName()))
            .filter(i -> i.getIntent().getZone().equals(pool.getZone()))
            .flatMap(i -> i.getOutcome().getUpstreamsList().stream())
            .filter(name -> !known.contains(name))
            .filter(expected)
            .count();
    return (int) (live + ordered);
  }
}
