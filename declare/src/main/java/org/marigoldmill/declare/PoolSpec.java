package org.marigoldmill.declare;

import org.marigoldmill.schema.declaration.Pool;

/** Builder of a pool of upstreams. */
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

  /** Sets the minimum and maximum number of upstreams. */
  public PoolSpec size(int min, int max) {
    message.setMin(min).setMax(max);
    return this;
  }

  /** Sets the maximum number of requests in flight from one entry instance to one upstream. */
  public PoolSpec maxInFlight(int requests) {
    message.setMaxInFlight(requests);
    return this;
  }

  /** Marks the upstreams as refusing orders with an outdated fencing token. */
  public PoolSpec checksFencing() {
    message.setChecksFencing(true);
    return this;
  }

  /** Lets the pool order upstreams that the platform may reclaim at any time. */
  public PoolSpec reclaimable() {
    message.setReclaimable(true);
    return this;
  }

  Pool toMessage() {
    return message.build();
  }
}
