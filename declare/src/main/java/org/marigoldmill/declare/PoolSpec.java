package org.marigoldmill.declare;

import org.marigoldmill.schema.declaration.Pool;

/** A pool of upstreams under construction. */
public final class PoolSpec {
  private final Pool.Builder message = Pool.newBuilder();

  PoolSpec(String name) {
    message.setName(name);
  }

  /** Sets the availability zone. */
  public PoolSpec zone(String zone) {
    message.setZone(zone);
    return this;
  }

  /** Sets the smallest and the largest number of upstreams. */
  public PoolSpec size(int min, int max) {
    message.setMin(min).setMax(max);
    return this;
  }

  /** Sets the most requests outstanding at one upstream from one entry instance. */
  public PoolSpec maxInFlight(int requests) {
    message.setMaxInFlight(requests);
    return this;
  }

  /** Says that the upstreams refuse an order with an old fencing number. */
  public PoolSpec checksFencing() {
    message.setChecksFencing(true);
    return this;
  }

  /** Orders upstreams that the platform may reclaim. */
  public PoolSpec reclaimable() {
    message.setReclaimable(true);
    return this;
  }

  Pool toMessage() {
    return message.build();
  }
}
