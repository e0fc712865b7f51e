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

/** Decides which upstreams to order, from the state of the log and the instance list. */
public final class OrderPlanner {
  private OrderPlanner() {}

  /** Returns the oldest order intent of a scope that has no outcome yet. */
  public static Optional<IntentState> openIntent(Snapshot state, String scope) {
    return state.getIntentsList().stream()
        .filter(i -> i.getIntent().getScope().equals(scope))
        .filter(i -> !i.hasOutcome())
        .findFirst();
  }

  /**
   * Returns the next order that a pool needs to reach its target size.
   *
   * <p>Upstreams whose order the platform has accepted count as present even if they are not listed
   * yet, so an outdated list never leads to a second order.
   *
   * @param state state computed from the log
   * @param pool declaration of the pool
   * @param listed last instance list that was read
   * @param expected whether an accepted upstream, given by name, may still appear in the list
   * @param wanted number of upstreams needed for the demand; limited to the bounds of the pool
   * @return the intent to append, without scope and epoch, or empty if nothing is missing
   */
  public static Optional<OrderIntent> nextOrder(
      Snapshot state,
      Pool pool,
      List<PlatformInstance> listed,
      Predicate<String> expected,
      int wanted) {
    int target = Math.max(pool.getMin(), Math.min(pool.getMax(), wanted));
    int present = presentCount(state, pool, listed, expected);
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

  private static int presentCount(
      Snapshot state, Pool pool, List<PlatformInstance> listed, Predicate<String> expected) {
    Set<String> listedNames =
        listed.stream().map(PlatformInstance::getName).collect(Collectors.toSet());
    long live =
        listed.stream()
            .filter(i -> i.getPool().equals(pool.getName()))
            .filter(i -> i.getZone().equals(pool.getZone()))
            .filter(i -> i.getState() == InstanceState.LIVE)
            .count();
    long unlisted =
        state.getIntentsList().stream()
            .filter(i -> i.getIntent().getPool().equals(pool.getName()))
            .filter(i -> i.getIntent().getZone().equals(pool.getZone()))
            .flatMap(i -> i.getOutcome().getUpstreamsList().stream())
            .filter(name -> !listedNames.contains(name))
            .filter(expected)
            .count();
    return (int) (live + unlisted);
  }
}
