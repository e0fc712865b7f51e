package org.marigoldmill.declare;

import java.util.List;
import org.marigoldmill.schema.declaration.Service;
import org.marigoldmill.schema.declaration.ServiceKind;

/** A service under construction; it is keyed and its calls are not repeated unless said so. */
public final class ServiceSpec {
  private final Service.Builder message = Service.newBuilder();

  ServiceSpec(String name) {
    message.setName(name);
  }

  /** Sets the pool that runs the service. */
  public ServiceSpec in(String pool) {
    message.setPool(pool);
    return this;
  }

  /** Says that the upstreams are model engines, so that tokens are counted. */
  public ServiceSpec model() {
    message.setKind(ServiceKind.MODEL);
    return this;
  }

  /** Says that a call may be repeated. */
  public ServiceSpec idempotent() {
    message.setIdempotent(true);
    return this;
  }

  /** Lets calls in without a key. */
  public ServiceSpec open() {
    message.setOpen(true);
    return this;
  }

  /** Sets the priority class, 0 to 3; 0 is served first. */
  public ServiceSpec priority(int priority) {
    message.setPriority(priority);
    return this;
  }

  /** Sets the longest duration of a call and the longest silence in it, in milliseconds. */
  public ServiceSpec timeouts(long wholeMs, long progressMs) {
    message.setTimeoutMs(wholeMs).setProgressTimeoutMs(progressMs);
    return this;
  }

  /** Sets the longest queue before the upstreams. */
  public ServiceSpec maxQueue(int calls) {
    message.setMaxQueue(calls);
    return this;
  }

  /** Refuses keyed calls once knowledge of withdrawals is older than this, in milliseconds. */
  public ServiceSpec staleKnowledgeMs(long ms) {
    message.setStaleKnowledgeMs(ms);
    return this;
  }

  /** Lets only some organisations call. */
  public ServiceSpec onlyFor(String... organisations) {
    message.addAllOrganisations(List.of(organisations));
    return this;
  }

  Service toMessage() {
    return message.build();
  }
}
